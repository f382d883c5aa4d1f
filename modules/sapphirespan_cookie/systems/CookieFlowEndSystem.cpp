#include "sapphirespan_cookie/systems/CookieFlowEndSystem.h"

#include "sapphirespan_cookie/evidence/SuspicionText.h"

namespace sapphirespan {

namespace {

/** Time without a store outage after which an upstream that is no longer listed counts as permanently departed; an entry that
    expired during an outage is listed again within two seconds of the store's return. */
constexpr Milliseconds departureConfirmationTime {4000};

/** Progress within this time shows that an upstream that is no longer listed still serves, for example because only its
    connection to the store is lost. */
constexpr Milliseconds servingProgressTime {4000};

/** Number of retransmissions without progress that show that an upstream which is no longer listed does not serve a flow. One that
    lives acknowledges the first at the latest, so that there is no second. */
constexpr std::uint8_t unansweredRetransmissions = 2;

/** Time by which the age of the routes may be too low: what peers and the store say of it waits in links, at each hop. */
constexpr Milliseconds confirmationMargin {2000};

/** Counters of a rejection, and of one that is not sent. */
struct RejectionCounters {
    std::uint64_t &sent;
    std::uint64_t &withheld;
};

RejectionCounters countersOf(CookieCounters &counters, OpeningRejection rejection)
{
    switch (rejection) {
    case OpeningRejection::noRoute:
        return {counters.resetNoRoute, counters.withheldNoRoute};
    case OpeningRejection::evacuated:
        return {counters.resetEvacuated, counters.withheldNoUpstream};
    case OpeningRejection::overload:
        return {counters.resetOverload, counters.withheldOverload};
    case OpeningRejection::noUpstream:
    case OpeningRejection::count:
        break;
    }
    return {counters.resetNoUpstream, counters.withheldNoUpstream};
}

void sendReset(CookieState &state, const FlowEnds &ends, std::uint32_t sequence)
{
    const Ipv4Endpoint to {ends.client.address, state.settings.returnPort};
    state.outbox.addOwned(CookieOutputKind::reset, toEndpoint(to), state.format.reset(ends, sequence));
}

void rejectOpening(CookieState &state, OpeningRejection rejection, const ClientPacket &packet, std::string_view reason)
{
    ++countersOf(state.counters, rejection).sent;
    announce(state, CookieEventKind::openingRejected, packet.ends, 0, reason);
    sendReset(state, packet.ends, 0);
}

/** Counts and announces a rejection that is not sent. @param outcome what is done with the opening instead */
void withholdRejection(CookieState &state, OpeningRejection rejection, const ClientPacket &packet, std::string_view reason,
                       const char *outcome)
{
    ++countersOf(state.counters, rejection).withheld;
    const auto age = packet.acknowledged != 0 ? "copy" : describeAge(state.openingAge, state.clock.steadyNow());
    announce(state, CookieEventKind::rejectionWithheld, packet.ends, 0, std::string(reason) + "; " + age + ", " + outcome);
}

/** @returns whether the flow of an opening may be open through another instance, so that a reset could break it.

    A copy tells that the first opening has been unanswered for 200 ms. Whether another instance has placed that one meanwhile,
    this one cannot know, so a copy is never rejected. The age of a first opening is bounded by what was read lately. An instance that
    reads little and hears of the store in time has a link in which nothing waits, though it has no bound. */
bool mayBeOpenElsewhere(const CookieState &state, const ClientPacket &packet)
{
    if (!state.settings.admission.checksOpeningAge) {
        return false;
    }
    if (packet.acknowledged != 0) {
        return true;
    }
    const bool isCounted = state.now - state.startedAt >= readingWindow;
    const bool isQuiet = isCounted && !isRunningLate(state) && !isStoreDataStale(state) && hasLittleToRead(state.openingAge);
    return !isQuiet && mayBeRepeatedElsewhere(state.openingAge, state.clock.steadyNow());
}

/** @returns whether a first opening may be rejected for overload. When nothing is known of its age it is placed, which gives a sample;
    an instance that reads little has no need to reject. */
bool mayRejectForOverload(const CookieState &state)
{
    return !state.settings.admission.checksOpeningAge || !mayBeRepeatedElsewhere(state.openingAge, state.clock.steadyNow());
}

std::string ageText(std::string_view name, const std::optional<SteadyTime> &time, SteadyTime now)
{
    const auto age = time ? std::to_string(std::chrono::duration_cast<Milliseconds>(now - *time).count()) + " ms ago" : "never";
    return ", " + std::string(name) + " " + age;
}

/** @returns how old everything is that speaks for or against ending a flow of this upstream. */
std::string proofText(const CookieState &state, const UpstreamRow &row)
{
    const auto &evidence = row.evidence;
    return suspicionText(evidence, state.now) + ageText("host silent", evidence.lastHostSilenceAt, state.now)
        + ageText("host asked", evidence.lastHostProbeAt, state.now) + ageText("host answered", evidence.lastHostAnswerAt, state.now)
        + ageText("answered control sent", state.lastAnsweredHostProbeStartedAt, state.now)
        + ageText("own link slow", state.linkDelay.lastSlowAt, state.now) + ageText("unlisted", row.departedAt, state.now)
        + ageText("store confirmed", std::min(state.upstreamsConfirmedAt, state.routesConfirmedAt), state.now)
        + ageText("started", state.startedAt, state.now);
}

/** Closes an open flow with a reset to its client. @param counter the counter of the reason */
void endFlow(CookieState &state, std::uint64_t &counter, const FlowEnds &ends, FlowRow &flow, const UpstreamRow &row,
             const std::string &reason)
{
    ++counter;
    const bool isIdle = !flow.isAwaitingResponse;
    state.counters.idleFlowsEnded += isIdle ? 1 : 0;
    announce(state, CookieEventKind::flowReset, ends, flow.cookie,
             reason + "; " + (isIdle ? "idle" : "waiting") + ageText("last packet", flow.lastPacketAt, state.now)
                 + ", retransmissions: " + std::to_string(flow.retransmissions) + ", " + proofText(state, row));
    flow.phase = FlowPhase::closed;
    flow.isAwaitingResponse = false;
    sendReset(state, ends, flow.acknowledgedSequence);
}

/** @returns whether an upstream has left for good rather than only lost its connection to the store, or its entry by a restore of
    the store. One whose address a later start has is gone. One that said that it drains has left if the store could be asked for long
   enough and lists it no more. Another one may still live, so its host has to be silent. */
bool isDepartureConfirmed(const CookieState &state, const UpstreamRow &row)
{
    if (!row.departedAt) {
        return false;
    }
    if (state.upstreams.isReplaced(row)) {
        return true;
    }
    const auto &evidence = row.evidence;
    if (!row.hasDrained) {
        return evidence.hostSilenceConfirmedAt && *evidence.hostSilenceConfirmedAt > evidence.lastProgressAt
            && state.now - *evidence.hostSilenceConfirmedAt < failureValidity;
    }
    const bool hasRecentProgress = state.now - evidence.lastProgressAt < servingProgressTime;
    return !hasRecentProgress && !isStoreDataStale(state)
        && state.now - std::max(*row.departedAt, state.storeLastOutOfReachAt) > departureConfirmationTime;
}

/** Ends a flow whose upstream is proven gone. @returns whether it did */
bool endIfUpstreamIsGone(CookieState &state, const FlowEnds &ends, FlowRow &flow, const UpstreamRow &row)
{
    if (mayResetFlows(row.evidence, state.now)) {
        endFlow(state, state.counters.resetUpstreamUnreachable, ends, flow, row, "the host of its upstream is silent");
        return true;
    }
    if (flow.retransmissions >= unansweredRetransmissions && isDepartureConfirmed(state, row)) {
        endFlow(state, state.counters.resetUpstreamDeparted, ends, flow, row, "its upstream has departed");
        return true;
    }
    return false;
}

/** @returns whether the route of an open flow was removed, and not only not heard of yet. Either this instance forwarded packets of the
    flow until a later configuration came without the route, or the store had no such configuration after a packet of the flow came. */
bool isRouteRemoved(CookieState &state, const ClientPacket &packet)
{
    const auto known = state.flows.find(packet.ends);
    const bool wasRouted = known != state.flows.end() && known->second.phase == FlowPhase::open && known->second.cookie == packet.cookie;
    if (wasRouted && !state.unroutedFlows.contains(packet.ends)) {
        return true;
    }
    if (state.unroutedFlows.size() >= maxUnroutedFlows) {
        return false;
    }
    const auto since = state.unroutedFlows.try_emplace(packet.ends, state.now).first->second;
    return state.routesConfirmedAt - since > confirmationMargin;
}

} // namespace

void rejectOrDropOpening(CookieState &state, OpeningRejection rejection, const ClientPacket &packet, std::string_view reason)
{
    if (mayBeOpenElsewhere(state, packet)) {
        withholdRejection(state, rejection, packet, reason, "dropped");
    } else {
        rejectOpening(state, rejection, packet, reason);
    }
}

bool tryRejectForOverload(CookieState &state, const ClientPacket &packet, std::string_view reason)
{
    if (mayRejectForOverload(state)) {
        rejectOpening(state, OpeningRejection::overload, packet, reason);
        return true;
    }
    withholdRejection(state, OpeningRejection::overload, packet, reason, "placed");
    return false;
}

void endOrDropWithoutRoute(CookieState &state, const ClientPacket &packet)
{
    if (!isRouteRemoved(state, packet)) {
        ++state.counters.droppedNoRoute;
        announce(state, CookieEventKind::packetDropped, packet.ends, packet.cookie, "its route may not be known yet");
        return;
    }
    ++state.counters.resetNoRoute;
    ++state.counters.openFlowsResetNoRoute;
    announce(state, CookieEventKind::flowReset, packet.ends, packet.cookie,
             "the route was removed; version " + std::to_string(state.routes.configuration().version)
                 + ageText("confirmed", state.routesConfirmedAt, state.now) + ageText("started", state.startedAt, state.now));
    sendReset(state, packet.ends, packet.acknowledged);
}

bool tryEndFlow(CookieState &state, const ClientPacket &packet, FlowRow &flow, const UpstreamRow &row)
{
    return packet.payloadBytes > 0 && endIfUpstreamIsGone(state, packet.ends, flow, row);
}

void endFlowsOfGoneUpstreams(CookieState &state)
{
    for (auto &[ends, flow] : state.flows) {
        if (flow.phase != FlowPhase::open) {
            continue;
        }
        if (const auto *row = state.upstreams.find(flow.cookie); row != nullptr) {
            endIfUpstreamIsGone(state, ends, flow, *row);
        }
    }
}

} // namespace sapphirespan
