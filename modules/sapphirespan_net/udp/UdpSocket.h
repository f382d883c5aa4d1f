#pragma once

#include "sapphirespan_net/loop/EventLoop.h"

#include <vector>

namespace sapphirespan {

/** A datagram to send: a header and a payload, sent as one. */
struct OutgoingDatagram {
    Endpoint to;
    std::span<const std::uint8_t> header;
    std::span<const std::uint8_t> payload;
};

/** A UDP socket that receives and sends in batches. Thread safety: none. */
class UdpSocket
{
public:
    /** Called for each datagram; the bytes are valid until the batch ends, and may be changed. */
    using DatagramHandler = std::function<void(const Endpoint &from, std::span<std::uint8_t> datagram)>;

    /** Binds a socket. @returns nothing, with the reason, when the endpoint cannot be bound */
    static std::unique_ptr<UdpSocket> bind(const Endpoint &endpoint, LastReason &reason);

    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /** Receives from now on: begin, then each datagram, then end, for every batch. */
    void start(EventLoop &loop, std::function<void()> beginBatch, DatagramHandler datagram, std::function<void()> endBatch);

    /** Sends datagrams in batches. @returns how many the system took; the rest is lost, as any datagram may be */
    std::size_t send(std::span<const OutgoingDatagram> datagrams);

    /** Handles the datagrams that have arrived and are not read yet; at most as many as the socket holds. @pre start() */
    void receiveWaiting();

    /** @returns the endpoint that the socket is bound to. */
    const Endpoint &localEndpoint() const
    {
        return m_local;
    }

private:
    UdpSocket(int descriptor, Endpoint local);
    bool receiveBatch();

    struct Buffers;
    struct Outgoing;

    int m_descriptor;
    Endpoint m_local;
    std::unique_ptr<Buffers> m_buffers;
    std::unique_ptr<Outgoing> m_outgoing;
    std::function<void()> m_beginBatch;
    DatagramHandler m_datagram;
    std::function<void()> m_endBatch;
    EventHandle m_readable;
};

} // namespace sapphirespan
