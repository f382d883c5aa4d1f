#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <unordered_map>

namespace sapphirespan {

/** State of a flow as inferred from its client's packets. */
enum class FlowPhase : std::uint8_t {
    opening,
    open,
    closed, ///< closed or reset by the client, or reset by this instance
};

/** A flow whose packets recently passed through this instance. It is only a hint, since any other instance may forward
    packets of the same flow. */
struct FlowRow {
    FlowCookie cookie = 0;
    FlowPhase phase = FlowPhase::opening;
    bool isAwaitingResponse = false; ///< the client sent a request whose response has not begun
    bool hasCarriedRequest = false;
    bool isUpstreamConfirmed = false; ///< the packet that ends the handshake was read here, so that its upstream is certain
    bool usesColdSlot = false; ///< its opening used up a slot of a cold upstream
    bool isOpeningRepeated = false; ///< a copy of the opening was read, so another instance may have placed one as well
    bool isRequestRepeated = false; ///< likewise of the request; also set if it may have begun at another instance
    std::uint8_t retransmissions = 0; ///< by the client since the last progress
    std::uint32_t openingSequence = 0;
    std::uint32_t nextSequence = 0; ///< one beyond the highest byte sent by the client
    std::uint32_t acknowledgedSequence = 0; ///< highest of the upstream's bytes that the client acknowledged
    SteadyTime lastPacketAt {};
    SteadyTime lastRequestDataAt {}; ///< when the client last sent new data
    SteadyTime requestStartedAt {}; ///< when the first data of the latest request was read
    SteadyTime lastProgressAt {};
    SteadyTime openingPlacedAt {}; ///< when the opening was last placed on an upstream (at first or by a move)
};

/** Effect of one client packet on its flow. */
struct FlowUpdate {
    bool isProgress = false; ///< the packet shows that the upstream has answered since the previous one
    bool isNewRequest = false; ///< the client began to wait for a response
    bool isFurtherRequest = false; ///< a new request on a flow that has carried one before
    bool isFirstRetransmission = false; ///< first retransmission of data since the last progress
    bool isClosed = false; ///< the client closed or reset the flow by this packet
    std::uint32_t responseBytes = 0; ///< of the response that began, as far as it is acknowledged
    std::uint32_t requestBytes = 0; ///< new data that the client sent
    std::optional<Microseconds> openingTime; ///< from the placement of the opening to its confirmation, if it was sent only once
    std::optional<Microseconds> responseTime; ///< from the last new byte of the request to the beginning of the response
    std::optional<SteadyTime> effectOf; ///< when the earlier packet was forwarded here that this one shows to have arrived
};

/** Time without progress before a request after which what its client acknowledges next belongs to the response to it, not to the rest
    of an earlier one. */
inline constexpr Milliseconds minPauseBeforeRequest {20};

/** Minimum interval after which a repeated packet counts as a retransmission by the client, whose first comes after
    200 ms. Copies that arrive closer together were delayed on the path and say nothing about the upstream. */
inline constexpr Milliseconds minRetransmissionInterval {150};

/** @returns whether sequence number a comes after b, modulo 2^32 (RFC 1982). */
bool isSequenceAfter(std::uint32_t a, std::uint32_t b);

/** Distance of sequence numbers within which a packet belongs to a flow: a few times what either end has on the way. Those of another flow,
    or of another upstream that answered the same opening, begin at random. */
inline constexpr std::int32_t maxSequenceDistance = 64 * 1200;

/** @returns whether a packet is the first one after the handshake of a flow whose opening was read here. What its client acknowledges
    is the answer of the upstream at which the flow opens. */
bool endsHandshake(const FlowRow &flow, const ClientPacket &packet);

/** @returns whether a packet belongs to a flow whose upstream is certain. Its cookie may be that of another upstream, which answered a copy
    of the opening later. */
bool continuesConfirmedFlow(const FlowRow &flow, const ClientPacket &packet);

/** Creates the row of a flow whose opening this instance has not seen. */
FlowRow makeMidstreamFlow(const ClientPacket &packet, FlowCookie cookie, SteadyTime now);

/** Updates a flow by a packet that is not an opening. */
FlowUpdate updateFlow(FlowRow &flow, const ClientPacket &packet, SteadyTime now);

using FlowTrackingTable = std::unordered_map<FlowEnds, FlowRow>;

/** Time for which a closed flow is kept; covers the client's last retransmissions. */
inline constexpr Milliseconds closedFlowRetention {2000};

/** Time without packets after which a flow is taken to pass through another instance and no longer counts as load here. */
inline constexpr Milliseconds activeFlowTimeout {4000};

/** Time without packets after which a flow that awaits a response no longer counts as a waiting request here. */
inline constexpr Milliseconds waitingFlowTimeout {1000};

/** Removes flows without packets for longer than `idleTimeout`, closed ones after closedFlowRetention. */
void removeExpiredFlows(FlowTrackingTable &flows, Milliseconds idleTimeout, SteadyTime now);

} // namespace sapphirespan
