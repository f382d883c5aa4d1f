#include "sapphirespan_cookie/flows/FlowBook.h"

#include <utility>

namespace sapphirespan {

namespace {

/** Begins a request. If this instance missed earlier data, these may be a copy of what passed through another one. */
void beginRequest(FlowRow &flow, const ClientPacket &packet, SteadyTime now)
{
    flow.isAwaitingResponse = true;
    flow.requestStartedAt = now;
    flow.isRequestRepeated = packet.sequence != flow.nextSequence || now - flow.lastProgressAt < minPauseBeforeRequest;
}

} // namespace

bool isSequenceAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

bool endsHandshake(const FlowRow &flow, const ClientPacket &packet)
{
    return flow.phase == FlowPhase::opening && packet.sequence == flow.openingSequence + 1;
}

bool continuesConfirmedFlow(const FlowRow &flow, const ClientPacket &packet)
{
    const auto isNear = [](std::uint32_t a, std::uint32_t b) {
        const auto distance = static_cast<std::int32_t>(a - b);
        return distance >= -maxSequenceDistance && distance <= maxSequenceDistance;
    };
    return flow.isUpstreamConfirmed && isNear(packet.sequence, flow.nextSequence) && isNear(packet.acknowledged, flow.acknowledgedSequence);
}

FlowRow makeMidstreamFlow(const ClientPacket &packet, FlowCookie cookie, SteadyTime now)
{
    FlowRow flow;
    flow.cookie = cookie;
    flow.phase = FlowPhase::open;
    flow.nextSequence = packet.sequence + packet.payloadBytes;
    flow.acknowledgedSequence = packet.acknowledged;
    flow.isAwaitingResponse = packet.payloadBytes > 0;
    flow.hasCarriedRequest = true;
    flow.isRequestRepeated = true;
    flow.lastRequestDataAt = now;
    flow.lastPacketAt = now;
    return flow;
}

FlowUpdate updateFlow(FlowRow &flow, const ClientPacket &packet, SteadyTime now)
{
    FlowUpdate update;
    if (flow.phase == FlowPhase::opening) {
        update.openingTime = flow.retransmissions == 0 ? std::optional(now - flow.openingPlacedAt) : std::nullopt;
        flow.phase = FlowPhase::open;
        flow.acknowledgedSequence = packet.acknowledged;
        flow.nextSequence = packet.sequence;
        flow.retransmissions = 0;
        update.isProgress = true;
        if (!flow.isOpeningRepeated && !packet.isReset && packet.cookie == flow.cookie) {
            update.effectOf = flow.openingPlacedAt;
        }
    } else if (isSequenceAfter(packet.acknowledged, flow.acknowledgedSequence)) {
        update.responseBytes = packet.acknowledged - flow.acknowledgedSequence;
        flow.acknowledgedSequence = packet.acknowledged;
        flow.retransmissions = 0;
        flow.lastProgressAt = now;
        update.isProgress = true;
        if (flow.isAwaitingResponse) {
            update.responseTime = now - flow.lastRequestDataAt;
            flow.isAwaitingResponse = false;
            if (!flow.isRequestRepeated && !packet.isReset) {
                update.effectOf = flow.requestStartedAt;
            }
        }
    }
    const auto endSequence = packet.sequence + packet.payloadBytes;
    const bool isNewData = packet.payloadBytes > 0 && isSequenceAfter(endSequence, flow.nextSequence);
    flow.isRequestRepeated |= packet.payloadBytes > 0 && (!isNewData || packet.sequence != flow.nextSequence);
    if (isNewData) {
        update.requestBytes = endSequence - flow.nextSequence;
        update.isNewRequest = !flow.isAwaitingResponse;
        update.isFurtherRequest = update.isNewRequest && std::exchange(flow.hasCarriedRequest, true);
        if (update.isNewRequest) {
            beginRequest(flow, packet, now);
        }
        flow.nextSequence = endSequence;
        flow.lastRequestDataAt = now;
    } else if (packet.payloadBytes > 0 && !update.isProgress && now - flow.lastRequestDataAt >= minRetransmissionInterval) {
        update.isFirstRetransmission = flow.retransmissions == 0;
        flow.retransmissions = static_cast<std::uint8_t>(flow.retransmissions < 0xff ? flow.retransmissions + 1 : flow.retransmissions);
    }
    if (packet.isClosing || packet.isReset) {
        update.isClosed = flow.phase != FlowPhase::closed;
        flow.phase = FlowPhase::closed;
        flow.isAwaitingResponse = false;
    }
    flow.lastPacketAt = now;
    return update;
}

void removeExpiredFlows(FlowTrackingTable &flows, Milliseconds idleTimeout, SteadyTime now)
{
    std::erase_if(flows, [&](const auto &item) {
        const auto &flow = item.second;
        return now - flow.lastPacketAt > (flow.phase == FlowPhase::closed ? closedFlowRetention : idleTimeout);
    });
}

} // namespace sapphirespan
