#include "sapphirespan_cookie/flows/FlowBook.h"

namespace sapphirespan {

bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

FlowRow adoptedFlow(const ClientPacket &packet, FlowCookie cookie, SteadyTime now)
{
    FlowRow flow;
    flow.cookie = cookie;
    flow.phase = FlowPhase::open;
    flow.nextSequence = packet.sequence + packet.payloadBytes;
    flow.acknowledged = packet.acknowledged;
    flow.isWaiting = packet.payloadBytes > 0;
    flow.waitingSince = now;
    flow.lastSeen = now;
    return flow;
}

FlowStep advance(FlowRow &flow, const ClientPacket &packet, SteadyTime now)
{
    FlowStep step;
    if (flow.phase == FlowPhase::opening) {
        flow.phase = FlowPhase::open;
        flow.acknowledged = packet.acknowledged;
        flow.nextSequence = packet.sequence;
        flow.repeats = 0;
        step.isProgress = true;
    } else if (isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        flow.repeats = 0;
        step.isProgress = true;
        if (flow.isWaiting) {
            step.responseTime = now - flow.waitingSince;
            flow.isWaiting = false;
        }
    }
    const auto end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes > 0 && isAfter(end, flow.nextSequence)) {
        flow.nextSequence = end;
        step.isNewRequest = !flow.isWaiting;
        flow.isWaiting = true;
        flow.waitingSince = now;
    } else if (packet.payloadBytes > 0 && !step.isProgress && now - flow.waitingSince >= shortestRepetition) {
        step.isFirstRepeat = flow.repeats == 0;
        flow.repeats = static_cast<std::uint8_t>(flow.repeats < 0xff ? flow.repeats + 1 : flow.repeats);
    }
    if (packet.isClosing || packet.isReset) {
        flow.phase = FlowPhase::closed;
        flow.isWaiting = false;
    }
    flow.lastSeen = now;
    return step;
}

void forgetFlows(FlowBook &flows, Milliseconds idleTimeout, SteadyTime now)
{
    std::erase_if(flows, [&](const auto &item) {
        const auto &flow = item.second;
        return now - flow.lastSeen > (flow.phase == FlowPhase::closed ? closedFlowMemory : idleTimeout);
    });
}

} // namespace sapphirespan
