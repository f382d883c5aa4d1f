#include "LwipTunnel.h"

extern "C" {
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/tcpip.h>
}

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sapphirespan {

namespace {

constexpr int pollMilliseconds = 50;
constexpr std::size_t largestPacket = 9216;
constexpr int socketBufferBytes = 8 << 20;
constexpr u16_t interfaceMtu = 1400;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    std::memcpy(&address.sin_addr, endpoint.address.bytes.data(), IpAddress::sizeV4);
    return address;
}

} // namespace

struct LwipTunnel::Interface {
    int socket = -1;
    sockaddr_in peer {};
    netif handle {};

    static err_t output(netif *interface, pbuf *packet, const ip4_addr_t * /*to*/)
    {
        auto *self = static_cast<Interface *>(interface->state);
        std::array<std::uint8_t, largestPacket> bytes;
        const auto length = pbuf_copy_partial(packet, bytes.data(), static_cast<u16_t>(bytes.size()), 0);
        ::sendto(self->socket, bytes.data(), length, 0, reinterpret_cast<const ::sockaddr *>(&self->peer), sizeof self->peer);
        return ERR_OK;
    }

    static err_t initialise(netif *interface)
    {
        interface->name[0] = 's';
        interface->name[1] = 's';
        interface->output = output;
        interface->mtu = interfaceMtu;
        return ERR_OK;
    }
};

std::unique_ptr<LwipTunnel> LwipTunnel::open(const Endpoint &tunnel, const Endpoint &peer, const IpAddress &address, LastReason &reason)
{
    auto interface = std::make_unique<Interface>();
    interface->socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    const auto local = addressOf(tunnel);
    if (::bind(interface->socket, reinterpret_cast<const ::sockaddr *>(&local), sizeof local) != 0) {
        reason.set("cannot bind UDP " + tunnel.toText() + ": " + std::strerror(errno));
        ::close(interface->socket);
        return nullptr;
    }
    ::setsockopt(interface->socket, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof socketBufferBytes);
    interface->peer = addressOf(peer);
    tcpip_init(nullptr, nullptr);
    ip4_addr_t own;
    std::memcpy(&own.addr, address.bytes.data(), IpAddress::sizeV4);
    ip4_addr_t mask;
    IP4_ADDR(&mask, 255, 255, 255, 255);
    ip4_addr_t gateway;
    IP4_ADDR(&gateway, 0, 0, 0, 0);
    LOCK_TCPIP_CORE();
    netif_add(&interface->handle, &own, &mask, &gateway, interface.get(), Interface::initialise, tcpip_input);
    netif_set_default(&interface->handle);
    netif_set_up(&interface->handle);
    netif_set_link_up(&interface->handle);
    UNLOCK_TCPIP_CORE();
    return std::unique_ptr<LwipTunnel>(new LwipTunnel(std::move(interface)));
}

LwipTunnel::LwipTunnel(std::unique_ptr<Interface> interface)
    : m_interface(std::move(interface))
    , m_receiver([this] { receive(); })
{
}

LwipTunnel::~LwipTunnel()
{
    m_isStopping = true;
    m_receiver.join();
    ::close(m_interface->socket);
}

void LwipTunnel::receive()
{
    std::array<std::uint8_t, largestPacket> bytes;
    while (!m_isStopping) {
        pollfd readable {m_interface->socket, POLLIN, 0};
        if (::poll(&readable, 1, pollMilliseconds) <= 0) {
            continue;
        }
        const auto length = ::recv(m_interface->socket, bytes.data(), bytes.size(), 0);
        if (length <= 0) {
            continue;
        }
        auto *packet = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(length), PBUF_RAM);
        if (packet == nullptr) {
            continue;
        }
        pbuf_take(packet, bytes.data(), static_cast<u16_t>(length));
        if (m_interface->handle.input(packet, &m_interface->handle) != ERR_OK) {
            pbuf_free(packet);
        }
    }
}

} // namespace sapphirespan
