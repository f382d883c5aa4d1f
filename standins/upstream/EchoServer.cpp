#include "EchoServer.h"

extern "C" {
#include <lwip/tcp.h>
#include <lwip/tcpip.h>
}

namespace sapphirespan {

/** One accepted connection; owned by its protocol control block. */
struct EchoConnection {
    EchoServer *server = nullptr;
    std::string input;

    static err_t accepted(void *context, tcp_pcb *block, err_t error)
    {
        if (error != ERR_OK || block == nullptr) {
            return ERR_VAL;
        }
        auto *connection = new EchoConnection {static_cast<EchoServer *>(context), {}};
        ++connection->server->m_connections;
        tcp_arg(block, connection);
        tcp_recv(block, received);
        tcp_err(block, failed);
        return ERR_OK;
    }

    static void failed(void *context, err_t /*error*/)
    {
        auto *connection = static_cast<EchoConnection *>(context);
        --connection->server->m_connections;
        delete connection;
    }

    static err_t received(void *context, tcp_pcb *block, pbuf *data, err_t /*error*/)
    {
        auto *connection = static_cast<EchoConnection *>(context);
        if (data == nullptr) {
            tcp_arg(block, nullptr);
            tcp_recv(block, nullptr);
            tcp_err(block, nullptr);
            --connection->server->m_connections;
            delete connection;
            tcp_close(block);
            return ERR_OK;
        }
        for (const auto *part = data; part != nullptr; part = part->next) {
            connection->input.append(static_cast<const char *>(part->payload), part->len);
        }
        tcp_recved(block, data->tot_len);
        pbuf_free(data);
        connection->answerLines(block);
        return ERR_OK;
    }

    void answerLines(tcp_pcb *block)
    {
        for (auto end = input.find('\n'); end != std::string::npos; end = input.find('\n')) {
            const auto line = input.substr(0, end);
            input.erase(0, end + 1);
            const auto answer = "ANS " + (line.size() > 4 ? line.substr(4) : "") + " " + server->m_service + " " + server->m_name + "\n";
            ++server->m_answers;
            tcp_write(block, answer.data(), static_cast<u16_t>(answer.size()), TCP_WRITE_FLAG_COPY);
        }
        tcp_output(block);
    }
};

EchoServer::EchoServer(std::string service, std::string name, std::uint16_t port)
    : m_service(std::move(service))
    , m_name(std::move(name))
{
    LOCK_TCPIP_CORE();
    auto *block = tcp_new();
    tcp_bind(block, IP_ADDR_ANY, port);
    block = tcp_listen_with_backlog(block, 255);
    tcp_arg(block, this);
    tcp_accept(block, EchoConnection::accepted);
    UNLOCK_TCPIP_CORE();
}

} // namespace sapphirespan
