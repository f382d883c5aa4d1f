#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <unordered_map>

namespace sapphirespan {

/** How far a flow has come, judged by its client's packets. */
enum class FlowPhase : std::uint8_t {
    opening,
    open,
    closed, ///< the client closed or reset it, or this instance did
};

/** One flow whose packets came through this instance lately. Only a hint: any other instance may forward the flow. */
struct FlowRow {
    FlowCookie cookie = 0;
    FlowPhase phase = FlowPhase::opening;
    bool isAwaitingResponse = false; ///< a request is on its way whose response has not begun
    std::uint8_t retransmissions = 0; ///< packets repeated since the last progress
    std::uint32_t openingSequence = 0;
    std::uint32_t nextSequence = 0; ///< one beyond the highest byte that the client sent
    std::uint32_t acknowledgedSequence = 0; ///< highest byte of the upstream that the client acknowledged
    SteadyTime lastPacketAt {};
    SteadyTime lastRequestDataAt {};
    SteadyTime openingForwardedAt {}; ///< when its opening was last forwarded
};

/** What one packet changed about its flow. */
struct FlowUpdate {
    bool isProgress = false; ///< the upstream has answered since the packet before
    bool isNewRequest = false; ///< the client began to wait
    bool isFirstRetransmission = false; ///< the client repeats data for the first time since the last progress
    std::optional<Microseconds> responseTime; ///< from the request's last new byte until its response began
};

/** Shortest time after which a packet that comes again is a repetition by its client, whose first comes after 200 ms. Two
    copies sooner than that were held up together on their way here, and say nothing about the upstream. */
inline constexpr Milliseconds minRetransmissionInterval {150};

/** @returns whether sequence number a comes after b, modulo 2^32 (RFC 1982). */
bool isSequenceAfter(std::uint32_t a, std::uint32_t b);

/** Takes the row of a flow that this instance has not seen from its opening on. */
FlowRow makeMidstreamFlow(const ClientPacket &packet, FlowCookie cookie, SteadyTime now);

/** Advances a flow by one packet that does not open it. */
FlowUpdate updateFlow(FlowRow &flow, const ClientPacket &packet, SteadyTime now);

using FlowTrackingTable = std::unordered_map<FlowEnds, FlowRow>;

/** Time after which a closed flow is forgotten; its client's last repetitions come within it. */
inline constexpr Milliseconds closedFlowRetention {2000};

/** Time after which a silent flow is taken to go through another instance, and no longer counts as load here. */
inline constexpr Milliseconds activeFlowTimeout {4000};

/** Time after which a waiting flow that sends nothing no longer counts as waiting here. */
inline constexpr Milliseconds waitingFlowTimeout {1000};

/** Forgets closed flows, and those silent for longer than `idleTimeout`. */
void removeExpiredFlows(FlowTrackingTable &flows, Milliseconds idleTimeout, SteadyTime now);

} // namespace sapphirespan
