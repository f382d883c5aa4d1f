#include "sapphirespan_cookie/systems/CookiePacketSystem.h"

#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"
#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieFlowEndSystem.h"
#include "sapphirespan_cookie/systems/CookieLocalitySystem.h"
#include "sapphirespan_cookie/systems/CookiePrioritySystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

namespace sapphirespan {

namespace {

/** Progress within this time shows that an upstream is alive and that an unanswered opening packet was lost in transit. */
constexpr Milliseconds recentProgressTime {100};

/** Counts and announces a dropped packet. @param counter the counter of the reason */
void dropPacket(CookieState &state, std::uint64_t &counter, const ClientPacket &packet, const char *reason)
{
    ++counter;
    announce(state, CookieEventKind::packetDropped, packet.ends, packet.cookie, reason);
}

void forwardPacket(CookieState &state, const UpstreamRow &row, std::span<const std::uint8_t> bytes)
{
    ++state.counters.forwarded;
    state.outbox.addForward(row.address, state.format.forwardHeader(row.entry.id), bytes);
}

/** Handles a packet to an address without a route. */
void handleUnroutable(CookieState &state, const ClientPacket &packet)
{
    if (isStoreDataStale(state)) {
        dropPacket(state, state.counters.droppedNoRoute, packet, "no route is known, and routes may be out of date");
        return;
    }
    if (packet.isOpening) {
        rejectOrDropOpening(state, OpeningRejection::noRoute, packet, "no route");
    } else if (!packet.isReset) {
        endOrDropWithoutRoute(state, packet);
    }
}

/** The upstream that an opening went to before, if it left that unanswered. */
struct UnansweredUpstream {
    FlowCookie cookie = 0; ///< 0 for none
    bool usesColdSlot = false; ///< as of its flow
};

/** @returns the inputs to the choice of an upstream for an opening, with all that bars upstreams from it. First openings and copies are
    subject to the same. @param service, dataCentre outlive the context */
ChoiceContext openingContext(CookieState &state, const std::string &service, const std::string &dataCentre,
                             const UnansweredUpstream &unanswered)
{
    ChoiceContext context {state.now, service, dataCentre, unanswered.cookie};
    context.hasSlotOfUnanswered = unanswered.usesColdSlot;
    excludeEvacuated(state, context);
    addColdUpstreamCondition(state, context);
    return context;
}

/** @returns whether a first opening of the route might go to an upstream, and so a copy may. */
bool mayTakeCopy(CookieState &state, const Route &route, const FlowRow &flow, const UpstreamRow *row)
{
    if (row == nullptr || !RouteDirectory::mayPick(route, row->entry.service)) {
        return false;
    }
    const auto context = openingContext(state, row->entry.service, row->entry.dataCentre, {flow.cookie, flow.usesColdSlot});
    return mayTakeOpening(*row, context);
}

/** Chooses an upstream for a new flow and forwards its opening packet there.
    @param unanswered the upstream that left an earlier opening packet unanswered
    @param elsewhere a data centre that takes the flow since home would reject it, or nothing */
void placeFlow(CookieState &state, const ClientPacket &packet, const std::string &service, std::span<std::uint8_t> bytes,
               const UnansweredUpstream &unanswered, const std::optional<PreferredDataCentre> &elsewhere = std::nullopt)
{
    const bool isMoved = unanswered.cookie != 0;
    const auto choice = elsewhere ? *elsewhere : chooseDataCentre(state, service, packet.ends.service);
    auto context = openingContext(state, service, choice.dataCentre, unanswered);
    context.tieBreakSeed = state.random();
    context.staysInDataCentre = choice.isStrict;
    context.isReservedForOthers = reservationFor(state, service, packet.ends.service);
    auto *row = chooseUpstream(state.upstreams, context);
    noteColdUpstreamChoice(state, context, row);
    if (row == nullptr && isOnlyEvacuatedLeft(state, service)) {
        rejectOrDropOpening(state, OpeningRejection::evacuated, packet, describeEvacuations(state));
        return;
    }
    if (row == nullptr) {
        rejectOrDropOpening(state, OpeningRejection::noUpstream, packet, reasonWithoutUpstream(state));
        return;
    }
    countPlacement(state, choice, *row);
    auto &flow = state.flows[packet.ends];
    flow = {};
    flow.cookie = row->cookie;
    flow.openingSequence = packet.sequence;
    flow.lastPacketAt = state.now;
    flow.openingPlacedAt = state.now;
    flow.isOpeningRepeated = packet.acknowledged != 0 || isMoved;
    flow.usesColdSlot = isLimitedCold(state, *row);
    ++row->load.activeFlows;
    noteOpening(row->evidence, state.now);
    state.upstreamsToEvaluate.insert(row->cookie);
    ++(isMoved ? state.counters.flowsMoved : state.counters.flowsPlaced);
    announce(state, isMoved ? CookieEventKind::flowMoved : CookieEventKind::flowPlaced, packet.ends, row->cookie,
             isMoved ? "its opening packet was not answered" : "");
    state.format.writeCookie(bytes, row->cookie);
    forwardPacket(state, *row, bytes);
}

/** Places a new flow unless its service is overloaded. One that another data centre has room for goes there, and one whose flow may be
    open through another instance is placed in any case. */
void admitFlow(CookieState &state, const ClientPacket &packet, const Route &route, std::span<std::uint8_t> bytes)
{
    const auto &service = RouteDirectory::pickServiceByWeight(route, state.random());
    std::optional<PreferredDataCentre> elsewhere;
    const bool isRetransmitted = packet.acknowledged != 0;
    if (!isRetransmitted) {
        if (const auto decision = admitRequest(state, service, route, packet.ends.client.address); !decision.isAdmitted) {
            elsewhere = overflowDataCentre(state, service);
            if (!elsewhere && tryRejectForOverload(state, packet, describe(decision))) {
                return;
            }
            noteRejectionWithheld(state, service, packet.ends.service, decision);
        }
    }
    placeFlow(state, packet, service, bytes, {}, elsewhere);
}

/** Forwards a copy of an opening to the upstream that got the first one, or to another one if that one is barred by now or shows no
    progress. While the flow is open no copy moves it: its upstream holds it, whatever bars it from new ones. */
void handleOpeningCopy(CookieState &state, const ClientPacket &packet, const Route &route, FlowRow &flow, std::span<std::uint8_t> bytes)
{
    flow.isOpeningRepeated = true;
    auto *row = state.upstreams.find(flow.cookie);
    const bool isBarred = flow.phase != FlowPhase::open && !mayTakeCopy(state, route, flow, row);
    const bool isRetransmission = state.now - flow.openingPlacedAt >= minRetransmissionInterval;
    if (flow.phase == FlowPhase::opening && isRetransmission) {
        if (flow.retransmissions++ == 0 && row != nullptr) {
            noteStall(row->evidence, true, state.now);
            state.upstreamsToEvaluate.insert(row->cookie);
        }
        if (isBarred || state.now - row->evidence.lastProgressAt > recentProgressTime) {
            const auto &service = RouteDirectory::pickServiceByWeight(route, state.random());
            placeFlow(state, packet, service, bytes, {flow.cookie, flow.usesColdSlot});
            return;
        }
    }
    if (isBarred) { // another upstream might answer beside the one that got the opening just now
        dropPacket(state, state.counters.droppedBarredCopies, packet, "its upstream may take no opening of the route any more");
    } else if (row != nullptr) {
        flow.lastPacketAt = state.now;
        state.format.writeCookie(bytes, row->cookie);
        forwardPacket(state, *row, bytes);
    }
}

/** Places a new flow, or handles a copy of its opening. */
void handleOpeningPacket(CookieState &state, const ClientPacket &packet, std::span<std::uint8_t> bytes)
{
    const auto *route = state.routes.find(packet.ends.service);
    if (route == nullptr) {
        handleUnroutable(state, packet);
        return;
    }
    if (route->services.empty()) {
        rejectOrDropOpening(state, OpeningRejection::noUpstream, packet, "the route has no service");
        return;
    }
    const auto known = state.flows.find(packet.ends);
    if (known == state.flows.end() || known->second.openingSequence != packet.sequence) {
        admitFlow(state, packet, *route, bytes);
        return;
    }
    handleOpeningCopy(state, packet, *route, known->second, bytes);
}

/** Probes the host of an upstream again that answered a request although its host was found silent before that was sent. If it is still
    silent, probes of this host prove nothing. */
void checkHostSilence(CookieState &state, UpstreamRow &row, SteadyTime requestedAt)
{
    auto &evidence = row.evidence;
    const bool isContradicted = evidence.lastHostSilenceAt && requestedAt > *evidence.lastHostSilenceAt
        && state.now - *evidence.lastHostSilenceAt < failureValidity && !evidence.isHostSilenceRefuted;
    if (isContradicted && !evidence.isHostProbePending && state.now - evidence.lastHostProbeAt >= minVerificationInterval) {
        evidence.isHostSilenceContested = true;
        probeHost(state, row);
    }
}

/** Tells peers that an upstream lives whose host they proved silent, if it answered a request that was sent since. */
void contradictPeers(CookieState &state, const UpstreamRow &row, const FlowUpdate &update)
{
    const bool isAnswered
        = update.responseTime && row.evidence.isReportedHostSilent && state.now - *update.responseTime > row.evidence.avoidedSince;
    if (isAnswered) {
        recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::connected);
    }
}

/** Updates the evidence and load of an upstream from what one packet changed about its flow.
    @param ends of the flow */
void applyFlowUpdate(CookieState &state, UpstreamRow &row, const FlowEnds &ends, const FlowRow &flow, const FlowUpdate &update)
{
    const auto &route = ends.service;
    auto &load = row.load;
    if (update.responseTime) {
        checkHostSilence(state, row, state.now - *update.responseTime);
    }
    noteFlowUpdate(state, row.entry, route, update);
    if (update.openingTime && update.effectOf) {
        noteRoundTrip(state.linkDelay, RoundTripKind::opening, *update.openingTime, state.now);
    }
    contradictPeers(state, row, update);
    const bool wasUnreachable = row.evidence.state == Reachability::unreachable;
    const auto unreachableSince = row.evidence.stateSince;
    if (update.isProgress && noteProgress(row.evidence, state.now)) {
        announce(state, CookieEventKind::upstreamRecovered, row.cookie, "a flow made progress");
        if (wasUnreachable) {
            ++state.counters.progressWhileUnreachable;
            recordOwnVerdict(state, {row.cookie, {}}, ProbeResult::connected);
            if (!showsSameProcess(flow, update, unreachableSince)) {
                noteAnswersAgain(state, row);
            }
        }
    }
    if (update.isFirstRetransmission) {
        noteStall(row.evidence, false, state.now);
        state.upstreamsToEvaluate.insert(row.cookie);
    }
    if (update.effectOf) {
        noteEffectRead(state.openingAge, ends, *update.effectOf, state.now);
    }
    if (update.isClosed) {
        load.activeFlows -= load.activeFlows > 0 ? 1 : 0;
    }
    if (update.isNewRequest) {
        ++load.waitingRequests;
    }
    if (update.isFurtherRequest) {
        noteRequestOnOpenFlow(state, row.entry.service, route);
    }
    if (update.responseTime) {
        const ResponseSample response {*update.responseTime, update.responseBytes, row.entry.dataCentre};
        noteServiceResponse(state, row.entry.service, route, response);
        noteResponseByPriority(state, row, route, response);
        constexpr double newSampleWeight = 0.1; // in the exponential moving average
        const double sample = static_cast<double>(update.responseTime->count()) / 1000;
        load.averageFirstByteMs
            = load.averageFirstByteMs > 0 ? load.averageFirstByteMs * (1 - newSampleWeight) + sample * newSampleWeight : sample;
        load.waitingRequests -= load.waitingRequests > 0 ? 1 : 0;
    }
}

/** Probes an upstream to which a packet goes although it was unreachable when last probed, or although its data centre is
    unreachable and this upstream was not probed by itself. An answer of its port shows as well that its host is up. */
void verifyUnreachable(CookieState &state, UpstreamRow &row, const FlowRow &flow)
{
    if (row.entry.phase == RegistrationPhase::departed) {
        const bool isDue = flow.retransmissions > 0 && !row.evidence.confirmationAskedAt && !row.evidence.isHostProbePending;
        if (isDue && state.now - row.evidence.lastHostProbeAt >= minVerificationInterval) {
            askForConfirmation(state, row);
        }
    } else if (isCheckDueWithDataCentre(row.evidence, state.now)) {
        scheduleCheck(row.evidence, state.now, 0);
        state.upstreamsToEvaluate.insert(row.cookie);
    } else if (isVerificationDue(row.evidence, state.now)) {
        probeHost(state, row);
        probeUpstream(state, row);
    } else if (isConfirmationDue(row.evidence, state.now)) {
        askForConfirmation(state, row);
    }
}

/** @returns the upstream of a packet that does not open a flow, or null if it is not known. @param known its flow, or null */
UpstreamRow *upstreamOf(CookieState &state, const ClientPacket &packet, const FlowRow *known)
{
    if (known != nullptr && continuesConfirmedFlow(*known, packet)) {
        if (auto *row = state.upstreams.find(known->cookie); row != nullptr) {
            return row;
        }
    }
    auto *row = state.upstreams.find(packet.cookie);
    return row == nullptr && packet.cookie == 0 && known != nullptr ? state.upstreams.find(known->cookie) : row;
}

/** Replaces what is known of a flow whose packet goes to another upstream than its opening, or whose opening was not read here.
    @param known the flow, or null */
FlowRow &adoptFlow(CookieState &state, const ClientPacket &packet, FlowCookie cookie, const FlowRow *known)
{
    auto flow = makeMidstreamFlow(packet, cookie, state.now);
    if (known != nullptr && endsHandshake(*known, packet)) {
        flow.openingSequence = known->openingSequence; // so that further copies of the opening stay with the flow
        flow.isUpstreamConfirmed = true;
    }
    return state.flows[packet.ends] = flow;
}

/** Handles a packet that does not open a flow. Its cookie determines its upstream, unless the flow is known to be open at another one; the
    current and former services of its route are not consulted, since an instance started after a route change does not know the
    former ones. The upstream itself rejects a flow that it does not hold. */
void handleNonOpeningPacket(CookieState &state, const ClientPacket &packet, std::span<std::uint8_t> bytes)
{
    if (state.routes.find(packet.ends.service) == nullptr) {
        handleUnroutable(state, packet);
        return;
    }
    const auto found = state.flows.find(packet.ends);
    auto *known = found != state.flows.end() ? &found->second : nullptr;
    auto *row = upstreamOf(state, packet, known);
    if (row == nullptr) {
        dropPacket(state, state.counters.droppedUnknownCookie, packet, "the cookie matches no known upstream");
        return;
    }
    const bool isKnown = known != nullptr && known->cookie == row->cookie;
    auto &flow = isKnown ? *known : adoptFlow(state, packet, row->cookie, known);
    if (isKnown) {
        flow.isUpstreamConfirmed = flow.isUpstreamConfirmed || endsHandshake(flow, packet);
        const auto update = updateFlow(flow, packet, state.now);
        applyFlowUpdate(state, *row, packet.ends, flow, update);
    }
    if (tryEndFlow(state, packet, flow, *row)) {
        return;
    }
    if (packet.payloadBytes > 0) {
        verifyUnreachable(state, *row, flow);
    }
    forwardPacket(state, *row, bytes);
}

void processPacket(CookieState &state, std::span<std::uint8_t> bytes)
{
    const auto packet = state.format.decode(bytes);
    if (!packet) {
        ++state.counters.droppedMalformed;
        return;
    }
    notePacketRead(state.openingAge, packet->isOpening, state.now);
    if (packet->isOpening) {
        handleOpeningPacket(state, *packet, bytes);
    } else {
        handleNonOpeningPacket(state, *packet, bytes);
    }
}

/** Drops held packets that are too old, and the oldest beyond `maxHeldPackets`. */
void dropExpiredHeldPackets(CookieState &state)
{
    while (!state.heldPackets.empty()
           && (state.heldPackets.size() > maxHeldPackets || state.now - state.heldPackets.front().arrivedAt > heldPacketLifetime)) {
        ++state.counters.droppedNoRoute;
        state.heldPackets.pop_front();
    }
}

/** Holds a packet until the initial load is complete, which takes at most a tenth of a second from the start; a client
    would retransmit a dropped packet only later than that. */
void holdPacket(CookieState &state, std::span<const std::uint8_t> bytes)
{
    state.heldPackets.push_back({{bytes.begin(), bytes.end()}, state.now});
    dropExpiredHeldPackets(state);
}

} // namespace

void handleClientPacket(CookieState &state, std::span<std::uint8_t> bytes)
{
    ++state.counters.packets;
    state.lastClientPacketAt = state.now;
    if (!isInitialLoadComplete(state)) {
        holdPacket(state, bytes);
        return;
    }
    processPacket(state, bytes);
}

void releaseHeldPackets(CookieState &state)
{
    dropExpiredHeldPackets(state);
    if (!isInitialLoadComplete(state)) {
        return;
    }
    for (auto &packet : std::exchange(state.heldPackets, {})) {
        processPacket(state, state.outbox.retainBytes(std::move(packet.bytes)));
    }
}

} // namespace sapphirespan
