#include "CallerRun.h"

extern "C" {
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
}

#include <algorithm>
#include <cstring>

namespace sapphirespan {

/** One connection of a caller; all methods run under lwIP's core lock. */
struct CallerConnection {
    CallerRun *run = nullptr;
    const CallerTarget *target = nullptr;
    tcp_pcb *block = nullptr;
    bool isConnected = false;
    bool isBroken = false;
    std::uint64_t openRequest = 0; ///< id of the request that waits for its answer, or 0
    SteadyTime lastRequest {};
    std::string input;
    std::uint16_t localPort = 0;
    std::string upstream; ///< name in the latest answer
    std::string breakText;

    static err_t connected(void *context, tcp_pcb * /*block*/, err_t /*error*/)
    {
        static_cast<CallerConnection *>(context)->isConnected = true;
        return ERR_OK;
    }

    static void failed(void *context, err_t error)
    {
        auto *connection = static_cast<CallerConnection *>(context);
        connection->block = nullptr;
        connection->noteBroken("lwIP error " + std::to_string(error));
    }

    void noteBroken(const std::string &reason)
    {
        isBroken = true;
        const auto wall = std::chrono::duration_cast<Milliseconds>(run->m_clock.wallNow().time_since_epoch()).count();
        breakText = reason + " at time_ms=" + std::to_string(wall);
    }

    std::string text() const
    {
        const auto reason = isBroken ? breakText : isConnected ? std::string("no answer") : std::string("never connected");
        return "broken: port=" + std::to_string(localPort) + " service=" + target->service + " upstream=" + upstream
            + " request=" + std::to_string(openRequest) + ": " + reason;
    }

    static err_t received(void *context, tcp_pcb *block, pbuf *data, err_t /*error*/)
    {
        auto *connection = static_cast<CallerConnection *>(context);
        if (data == nullptr) {
            connection->noteBroken("closed by the upstream"); // the caller wants to keep it
            return ERR_OK;
        }
        for (const auto *part = data; part != nullptr; part = part->next) {
            connection->input.append(static_cast<const char *>(part->payload), part->len);
        }
        tcp_recved(block, data->tot_len);
        pbuf_free(data);
        connection->checkAnswers();
        return ERR_OK;
    }

    void checkAnswers()
    {
        for (auto end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
            const auto line = input.substr(0, end);
            input.erase(0, end + 1);
            const auto expected = "ANS " + std::to_string(openRequest) + " " + target->service + " ";
            if (openRequest == 0 || line.rfind(expected, 0) != 0) {
                ++run->m_counts.misdelivered;
                continue;
            }
            const auto took = std::chrono::duration_cast<Milliseconds>(run->m_clock.steadyNow() - lastRequest).count();
            run->m_counts.slowestMs = std::max<std::int64_t>(run->m_counts.slowestMs, took);
            ++run->m_counts.answers;
            upstream = line.substr(expected.size());
            openRequest = 0;
        }
    }

    void sendRequest()
    {
        const auto id = run->m_nextId++;
        const auto line = "REQ " + std::to_string(id) + "\n";
        if (tcp_write(block, line.data(), static_cast<u16_t>(line.size()), TCP_WRITE_FLAG_COPY) != ERR_OK) {
            return;
        }
        openRequest = id;
        lastRequest = run->m_clock.steadyNow();
        ++run->m_counts.requests;
        tcp_output(block);
    }
};

CallerRun::CallerRun(std::vector<CallerTarget> targets, std::size_t connections, Milliseconds requestInterval)
    : m_targets(std::move(targets))
    , m_interval(requestInterval)
{
    openUpTo(connections);
}

CallerRun::~CallerRun() = default;

void CallerRun::openUpTo(std::size_t count)
{
    LOCK_TCPIP_CORE();
    while (m_connections.size() < count) {
        open(m_targets[m_connections.size() % m_targets.size()]);
    }
    UNLOCK_TCPIP_CORE();
}

void CallerRun::open(const CallerTarget &target)
{
    auto connection = std::make_unique<CallerConnection>();
    connection->run = this;
    connection->target = &target;
    connection->block = tcp_new();
    if (connection->block == nullptr) {
        connection->noteBroken("no control block");
        m_connections.push_back(std::move(connection));
        return;
    }
    tcp_arg(connection->block, connection.get());
    tcp_recv(connection->block, CallerConnection::received);
    tcp_err(connection->block, CallerConnection::failed);
    ip_addr_t address;
    std::memset(&address, 0, sizeof address);
    std::uint32_t raw = 0;
    std::memcpy(&raw, target.address.address.bytes.data(), sizeof raw);
    ip_addr_set_ip4_u32(&address, raw);
    tcp_connect(connection->block, &address, target.address.port, CallerConnection::connected);
    connection->localPort = connection->block->local_port;
    m_connections.push_back(std::move(connection));
}

void CallerRun::advance()
{
    LOCK_TCPIP_CORE();
    const auto now = m_clock.steadyNow();
    for (const auto &connection : m_connections) {
        const bool isIdle = connection->isConnected && !connection->isBroken && connection->openRequest == 0;
        if (isIdle && !m_isFinishing && now - connection->lastRequest >= m_interval) {
            connection->sendRequest();
        }
    }
    UNLOCK_TCPIP_CORE();
}

bool CallerRun::finish()
{
    LOCK_TCPIP_CORE();
    m_isFinishing = true;
    const bool isDone = std::all_of(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return connection->isBroken || (connection->isConnected && connection->openRequest == 0);
    });
    UNLOCK_TCPIP_CORE();
    return isDone;
}

std::vector<std::string> CallerRun::brokenConnections()
{
    std::vector<std::string> lines;
    LOCK_TCPIP_CORE();
    for (const auto &connection : m_connections) {
        const bool isUnfinished = m_isFinishing && (!connection->isConnected || connection->openRequest != 0);
        if (connection->isBroken || isUnfinished) {
            lines.push_back(connection->text());
        }
    }
    UNLOCK_TCPIP_CORE();
    return lines;
}

CallerCounts CallerRun::counts()
{
    LOCK_TCPIP_CORE();
    auto counts = m_counts;
    counts.connections = m_connections.size();
    for (const auto &connection : m_connections) {
        const bool isUnfinished = m_isFinishing && (!connection->isConnected || connection->openRequest != 0);
        counts.broken += connection->isBroken || isUnfinished ? 1 : 0;
    }
    UNLOCK_TCPIP_CORE();
    return counts;
}

} // namespace sapphirespan
