#include "sapphirespan_cookie/systems/CookiePacketSystem.h"

#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

namespace sapphirespan {

namespace {

/** Knowledge older than this may lack a route, so that an unknown address is not rejected for good. */
constexpr Milliseconds oldKnowledge {2500};

/** Progress so recent shows that an upstream lives and that an unanswered opening was lost on its way. */
constexpr Milliseconds aliveLately {100};

/** Time after which an upstream that is no longer listed is taken to be gone for good; an entry that expired while the
    store was away is back within two seconds of its return. */
constexpr Milliseconds certainlyGoneAfter {4000};

/** Progress within this time shows that an upstream that is no longer listed still serves, as when only its way to the
    store is cut. */
constexpr Milliseconds signOfLife {4000};

void drop(CookieState &state, std::uint64_t &count, const ClientPacket &packet, const char *reason)
{
    ++count;
    announce(state, CookieEventKind::packetDropped, packet.ends, packet.cookie, reason);
}

void sendReset(CookieState &state, const FlowEnds &ends, std::uint32_t sequence)
{
    const Ipv4Endpoint to {ends.client.address, state.settings.returnPort};
    state.outbox.addOwned(CookieOutputKind::reset, toEndpoint(to), state.format.reset(ends, sequence));
}

void rejectOpening(CookieState &state, std::uint64_t &count, const ClientPacket &packet, const char *reason)
{
    ++count;
    announce(state, CookieEventKind::openingRejected, packet.ends, 0, reason);
    sendReset(state, packet.ends, 0);
}

void endFlow(CookieState &state, std::uint64_t &count, const FlowEnds &ends, FlowRow &flow, const char *reason)
{
    ++count;
    flow.phase = FlowPhase::closed;
    flow.isAwaitingResponse = false;
    announce(state, CookieEventKind::flowReset, ends, flow.cookie, reason);
    sendReset(state, ends, flow.acknowledgedSequence);
}

void forward(CookieState &state, const UpstreamRow &row, std::span<const std::uint8_t> bytes)
{
    ++state.accounts.forwarded;
    state.outbox.addForward(row.address, state.format.forwardHeader(row.entry.id), bytes);
}

void handleUnroutable(CookieState &state, const ClientPacket &packet)
{
    if (knowledgeAge(state) > oldKnowledge) {
        drop(state, state.accounts.droppedNoRoute, packet, "no route is known, and routes may be out of date");
        return;
    }
    if (packet.isOpening) {
        rejectOpening(state, state.accounts.resetNoRoute, packet, "no route");
    } else if (!packet.isReset) {
        ++state.accounts.resetNoRoute;
        announce(state, CookieEventKind::flowReset, packet.ends, packet.cookie, "the route was removed");
        sendReset(state, packet.ends, packet.acknowledged);
    }
}

/** An opening that its upstream left unanswered goes elsewhere, unless the upstream is seen to live. */
bool shouldMove(const CookieState &state, const UpstreamRow *row)
{
    return row == nullptr || row->entry.phase != RegistrationPhase::ready || state.now - row->evidence.lastProgressAt > aliveLately;
}

void place(CookieState &state, const ClientPacket &packet, const Route &route, std::span<std::uint8_t> bytes, FlowCookie avoided)
{
    const auto &service = RouteDirectory::pickServiceByWeight(route, state.random());
    const ChoiceContext context {state.now, service, state.settings.dataCentre, avoided, state.random()};
    auto *row = chooseUpstream(state.upstreams, context);
    if (row == nullptr) {
        rejectOpening(state, state.accounts.resetNoUpstream, packet, "no ready upstream");
        return;
    }
    auto &flow = state.flows[packet.ends];
    flow = {};
    flow.cookie = row->cookie;
    flow.openingSequence = packet.sequence;
    flow.lastPacketAt = state.now;
    flow.openingForwardedAt = state.now;
    ++row->load.activeFlows;
    noteOpening(row->evidence, state.now);
    state.upstreamsToEvaluate.insert(row->cookie);
    ++(avoided != 0 ? state.accounts.flowsMoved : state.accounts.flowsPlaced);
    announce(state, avoided != 0 ? CookieEventKind::flowMoved : CookieEventKind::flowPlaced, packet.ends, row->cookie,
             avoided != 0 ? "its opening was not answered" : "");
    state.format.writeCookie(bytes, row->cookie);
    forward(state, *row, bytes);
}

void handleOpening(CookieState &state, const ClientPacket &packet, std::span<std::uint8_t> bytes)
{
    const auto *route = state.routes.find(packet.ends.service);
    if (route == nullptr) {
        handleUnroutable(state, packet);
        return;
    }
    if (route->services.empty()) {
        rejectOpening(state, state.accounts.resetNoUpstream, packet, "the route has no service");
        return;
    }
    const auto known = state.flows.find(packet.ends);
    if (known == state.flows.end() || known->second.openingSequence != packet.sequence) {
        place(state, packet, *route, bytes, 0);
        return;
    }
    auto &flow = known->second;
    auto *row = state.upstreams.find(flow.cookie);
    if (flow.phase == FlowPhase::opening && state.now - flow.openingForwardedAt >= minRetransmissionInterval) {
        if (flow.retransmissions++ == 0 && row != nullptr) {
            noteStall(row->evidence, true);
            state.upstreamsToEvaluate.insert(row->cookie);
        }
        if (shouldMove(state, row)) {
            place(state, packet, *route, bytes, flow.cookie);
            return;
        }
    }
    if (row != nullptr) {
        flow.lastPacketAt = state.now;
        state.format.writeCookie(bytes, row->cookie);
        forward(state, *row, bytes);
    }
}

bool isCertainlyGone(const CookieState &state, const UpstreamRow &row)
{
    const bool hasSignOfLife = state.now - row.evidence.lastProgressAt < signOfLife;
    return row.departedAt && state.now - *row.departedAt > certainlyGoneAfter && !hasSignOfLife && knowledgeAge(state) < oldKnowledge;
}

void noteStep(CookieState &state, UpstreamRow &row, const FlowUpdate &step)
{
    auto &load = row.load;
    const bool wasDark = row.evidence.state == Reachability::unreachable;
    if (step.isProgress && noteProgress(row.evidence, state.now)) {
        announce(state, CookieEventKind::upstreamRecovered, row.cookie, "a flow made progress");
        if (wasDark) {
            recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::connected);
        }
    }
    if (step.isFirstRetransmission) {
        noteStall(row.evidence, false);
        state.upstreamsToEvaluate.insert(row.cookie);
    }
    if (step.isNewRequest) {
        ++load.waitingRequests;
    }
    if (step.responseTime) {
        constexpr double newShare = 0.1; // of the moving average
        const double sample = static_cast<double>(step.responseTime->count()) / 1000;
        load.averageFirstByteMs = load.averageFirstByteMs > 0 ? load.averageFirstByteMs * (1 - newShare) + sample * newShare : sample;
        load.waitingRequests -= load.waitingRequests > 0 ? 1 : 0;
    }
}

/** The cookie alone tells where an open flow is. Services that its route had before say nothing: an instance that was
    started since then does not know them. The upstream itself rejects a flow that it does not hold. */
void handleOpen(CookieState &state, const ClientPacket &packet, std::span<std::uint8_t> bytes)
{
    if (state.routes.find(packet.ends.service) == nullptr) {
        handleUnroutable(state, packet);
        return;
    }
    const auto known = state.flows.find(packet.ends);
    auto *row = state.upstreams.find(packet.cookie);
    if (row == nullptr && packet.cookie == 0 && known != state.flows.end()) {
        row = state.upstreams.find(known->second.cookie);
    }
    if (row == nullptr) {
        drop(state, state.accounts.droppedUnknownCookie, packet, "the cookie names no upstream");
        return;
    }
    const bool isKnown = known != state.flows.end() && known->second.cookie == row->cookie;
    auto &flow = isKnown ? known->second : (state.flows[packet.ends] = makeMidstreamFlow(packet, row->cookie, state.now));
    if (isKnown) {
        noteStep(state, *row, updateFlow(flow, packet, state.now));
    }
    if (packet.payloadBytes > 0 && row->evidence.state == Reachability::unreachable) {
        endFlow(state, state.accounts.resetUpstreamUnreachable, packet.ends, flow, "its upstream is dark");
    } else if (packet.payloadBytes > 0 && isCertainlyGone(state, *row)) {
        endFlow(state, state.accounts.resetUpstreamDeparted, packet.ends, flow, "its upstream has departed");
    } else {
        forward(state, *row, bytes);
    }
}

void decideOn(CookieState &state, std::span<std::uint8_t> bytes)
{
    const auto packet = state.format.decode(bytes);
    if (!packet) {
        ++state.accounts.droppedMalformed;
        return;
    }
    if (packet->isOpening) {
        handleOpening(state, *packet, bytes);
    } else {
        handleOpen(state, *packet, bytes);
    }
}

void dropOutdated(CookieState &state)
{
    while (!state.heldPackets.empty()
           && (state.heldPackets.size() > maxHeldPackets || state.now - state.heldPackets.front().arrivedAt > heldPacketLifetime)) {
        ++state.accounts.droppedNoRoute;
        state.heldPackets.pop_front();
    }
}

/** An instance learns routes and upstreams within a tenth of a second of its start; clients would repeat later. */
void hold(CookieState &state, std::span<const std::uint8_t> bytes)
{
    state.heldPackets.push_back({{bytes.begin(), bytes.end()}, state.now});
    dropOutdated(state);
}

} // namespace

void handleClientPacket(CookieState &state, std::span<std::uint8_t> bytes)
{
    ++state.accounts.packets;
    state.lastClientPacketAt = state.now;
    if (!hasRoutesAndUpstreams(state)) {
        hold(state, bytes);
        return;
    }
    decideOn(state, bytes);
}

void releaseHeldPackets(CookieState &state)
{
    dropOutdated(state);
    if (!hasRoutesAndUpstreams(state)) {
        return;
    }
    for (auto &packet : std::exchange(state.heldPackets, {})) {
        decideOn(state, state.outbox.retainBytes(std::move(packet.bytes)));
    }
}

/** Idle ones too: their clients would send on them later, and may not repeat what they sent. */
void resetFlowsToUnreachableUpstreams(CookieState &state)
{
    for (auto &[ends, flow] : state.flows) {
        if (flow.phase != FlowPhase::open) {
            continue;
        }
        if (const auto *row = state.upstreams.find(flow.cookie); row != nullptr && row->evidence.state == Reachability::unreachable) {
            endFlow(state, state.accounts.resetUpstreamUnreachable, ends, flow, "its upstream is dark");
        }
    }
}

} // namespace sapphirespan
