#include "sapphirespan_net/udp/UdpSocket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace sapphirespan {

namespace {

constexpr std::size_t batchSize = 64;
constexpr std::size_t largestDatagram = 9216; // a jumbo frame
constexpr int socketBufferBytes = 8 << 20;

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;
};

SocketAddress socketAddressOf(const Endpoint &endpoint)
{
    SocketAddress address;
    if (endpoint.address.family == IpAddress::familyV4) {
        auto *v4 = reinterpret_cast<sockaddr_in *>(&address.storage);
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        std::memcpy(&v4->sin_addr, endpoint.address.bytes.data(), IpAddress::sizeV4);
        address.length = sizeof(sockaddr_in);
    } else {
        auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address.storage);
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        std::memcpy(&v6->sin6_addr, endpoint.address.bytes.data(), IpAddress::sizeV6);
        address.length = sizeof(sockaddr_in6);
    }
    return address;
}

Endpoint endpointOf(const sockaddr_storage &storage)
{
    if (storage.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&storage);
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(&v4->sin_addr);
        return {IpAddress::fromBytes({bytes, IpAddress::sizeV4}), ntohs(v4->sin_port)};
    }
    const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&storage);
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(&v6->sin6_addr);
    return {IpAddress::fromBytes({bytes, IpAddress::sizeV6}), ntohs(v6->sin6_port)};
}

iovec vectorOf(std::span<const std::uint8_t> bytes)
{
    return {const_cast<std::uint8_t *>(bytes.data()), bytes.size()}; // sendmmsg only reads
}

} // namespace

struct UdpSocket::Buffers {
    std::array<std::array<std::uint8_t, largestDatagram>, batchSize> bytes;
    std::array<iovec, batchSize> vectors {};
    std::array<sockaddr_storage, batchSize> senders {};
    std::array<mmsghdr, batchSize> messages {};
};

/** Kept between batches: setting up all of it for a single packet would cost more than sending that. */
struct UdpSocket::Outgoing {
    std::array<std::array<iovec, 2>, batchSize> vectors;
    std::array<SocketAddress, batchSize> addresses;
    std::array<mmsghdr, batchSize> messages;
};

std::unique_ptr<UdpSocket> UdpSocket::bind(const Endpoint &endpoint, LastReason &reason)
{
    const int family = endpoint.address.family == IpAddress::familyV4 ? AF_INET : AF_INET6;
    const int descriptor = ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = socketAddressOf(endpoint);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address.storage), address.length) != 0) {
        reason.set("cannot bind UDP " + endpoint.toText() + ": " + std::strerror(errno));
        if (descriptor >= 0) {
            ::close(descriptor);
        }
        return nullptr;
    }
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof socketBufferBytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof socketBufferBytes);
    sockaddr_storage bound {};
    socklen_t length = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    return std::unique_ptr<UdpSocket>(new UdpSocket(descriptor, endpointOf(bound)));
}

UdpSocket::UdpSocket(int descriptor, Endpoint local)
    : m_descriptor(descriptor)
    , m_local(local)
    , m_buffers(std::make_unique_for_overwrite<Buffers>())
    , m_outgoing(std::make_unique_for_overwrite<Outgoing>())
{
    auto &[bytes, vectors, senders, messages] = *m_buffers;
    for (std::size_t index = 0; index < batchSize; ++index) {
        vectors[index] = {bytes[index].data(), largestDatagram};
        messages[index] = {};
        messages[index].msg_hdr.msg_name = &senders[index];
        messages[index].msg_hdr.msg_namelen = sizeof senders[index];
        messages[index].msg_hdr.msg_iov = &vectors[index];
        messages[index].msg_hdr.msg_iovlen = 1;
    }
}

UdpSocket::~UdpSocket()
{
    ::close(m_descriptor);
}

void UdpSocket::start(EventLoop &loop, std::function<void()> beginBatch, DatagramHandler datagram, std::function<void()> endBatch)
{
    m_beginBatch = std::move(beginBatch);
    m_datagram = std::move(datagram);
    m_endBatch = std::move(endBatch);
    m_readable = loop.onReadable(m_descriptor, [this] { receiveBatch(); });
}

/** @returns whether there was anything to read. */
bool UdpSocket::receiveBatch()
{
    auto &[bytes, vectors, senders, messages] = *m_buffers;
    const int received = ::recvmmsg(m_descriptor, messages.data(), batchSize, MSG_DONTWAIT, nullptr);
    if (received <= 0) {
        return false;
    }
    m_beginBatch();
    for (std::size_t index = 0; index < static_cast<std::size_t>(received); ++index) {
        messages[index].msg_hdr.msg_namelen = sizeof senders[index];
        m_datagram(endpointOf(senders[index]), {bytes[index].data(), messages[index].msg_len});
    }
    m_endBatch();
    return true;
}

void UdpSocket::receiveWaiting()
{
    constexpr int mostBatches = 256; // more than fit into the socket's buffer; new ones may come all the while
    for (int batch = 0; batch < mostBatches && receiveBatch(); ++batch) { }
}

std::size_t UdpSocket::send(std::span<const OutgoingDatagram> datagrams)
{
    if (datagrams.empty()) {
        return 0;
    }
    auto &[vectors, addresses, messages] = *m_outgoing;
    std::size_t taken = 0;
    for (std::size_t start = 0; start < datagrams.size(); start += batchSize) {
        const auto count = std::min(batchSize, datagrams.size() - start);
        for (std::size_t index = 0; index < count; ++index) {
            const auto &datagram = datagrams[start + index];
            addresses[index] = socketAddressOf(datagram.to);
            vectors[index] = {vectorOf(datagram.header), vectorOf(datagram.payload)};
            messages[index] = {};
            messages[index].msg_hdr.msg_name = &addresses[index].storage;
            messages[index].msg_hdr.msg_namelen = addresses[index].length;
            messages[index].msg_hdr.msg_iov = vectors[index].data();
            messages[index].msg_hdr.msg_iovlen = vectors[index].size();
        }
        std::size_t next = 0;
        while (next < count) {
            const int sent = ::sendmmsg(m_descriptor, messages.data() + next, static_cast<unsigned>(count - next), 0);
            taken += sent > 0 ? static_cast<std::size_t>(sent) : 0;
            next += sent > 0 ? static_cast<std::size_t>(sent) : 1; // a datagram that cannot be sent is skipped
        }
    }
    return taken;
}

} // namespace sapphirespan
