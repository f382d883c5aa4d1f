#include "sapphirespan_cookie/state/CookieState.h"

#include "sapphirespan_cookie/knowledge/StoreRevision.h"

#include <algorithm>
#include <cstdio>

namespace sapphirespan {

namespace {

std::string revisionText(std::uint64_t revision)
{
    return "generation " + std::to_string(storeGeneration(revision)) + " at revision " + std::to_string(revisionInGeneration(revision));
}

} // namespace

CookieState::CookieState(CookieInstanceSettings instanceSettings, const PacketFormat &packetFormat, const Clock &instanceClock)
    : settings(std::move(instanceSettings))
    , format(packetFormat)
    , clock(instanceClock)
    , now(instanceClock.steadyNow())
    , wallNow(instanceClock.wallNow())
    , startedAt(now)
    , lastTickAt(now)
    , lastFlowSweepAt(now)
    , lastClientPacketAt(now)
    , sharesComputedAt(now)
    , peers({settings.name, settings.incarnation, settings.dataCentre, settings.reportEndpoint, settings.controlEndpoint})
    , random(settings.randomSeed)
{
}

void announce(CookieState &state, CookieEventKind kind, const FlowEnds &flow, FlowCookie upstream, std::string_view detail)
{
    state.signalEvent.emit({kind, flow, upstream, detail});
}

void announce(CookieState &state, CookieEventKind kind, FlowCookie upstream, std::string_view detail)
{
    state.signalEvent.emit({kind, std::nullopt, upstream, detail});
}

std::string upstreamText(const UpstreamRow &row)
{
    std::array<char, 48> id {};
    std::snprintf(id.data(), id.size(), "%llx@%lld ", static_cast<unsigned long long>(row.entry.id),
                  static_cast<long long>(row.entry.startedAt));
    return id.data() + row.address.toText();
}

double uniformRandom(CookieState &state)
{
    return std::uniform_real_distribution<double>()(state.random);
}

bool isReadingBacklog(const CookieState &state)
{
    return state.resumedAt && state.now - *state.resumedAt < backlogReadingTime;
}

bool isRunningLate(const CookieState &state)
{
    return state.now < state.runningLateUntil || state.now - state.lastTickAt > lateTickThreshold || isReadingBacklog(state);
}

bool hasRoutesAndUpstreams(const CookieState &state)
{
    return state.routes.isLoaded() && state.areUpstreamsLoaded;
}

bool isInitialLoadComplete(const CookieState &state)
{
    return hasRoutesAndUpstreams(state) && (!state.settings.appliesEvacuations || state.evacuations.isLoaded());
}

void raiseConfirmedRevision(CookieState &state, StoreDataKind kind, std::uint64_t revision)
{
    auto &confirmed = state.confirmedRevisions;
    const auto known = std::max(confirmed.routes, confirmed.upstreams);
    auto &ofKind = kind == StoreDataKind::routes ? confirmed.routes : confirmed.upstreams;
    ofKind = std::max(ofKind, revision);
    if (known != 0 && storeGeneration(revision) > storeGeneration(known)) {
        announce(state, CookieEventKind::storeRestored, 0, revisionText(revision) + ", after " + revisionText(known));
    }
}

void confirmStoreData(CookieState &state, StoreDataKind kind, std::uint64_t revision, SteadyTime confirmedAt)
{
    auto &ofKind = kind == StoreDataKind::routes ? state.routesConfirmedAt : state.upstreamsConfirmedAt;
    ofKind = std::max(ofKind, confirmedAt);
    raiseConfirmedRevision(state, kind, revision);
}

Milliseconds storeDataAge(const CookieState &state)
{
    return std::chrono::duration_cast<Milliseconds>(state.now - std::min(state.upstreamsConfirmedAt, state.routesConfirmedAt));
}

bool isStoreDataStale(const CookieState &state)
{
    return storeDataAge(state) > staleStoreDataAge;
}

} // namespace sapphirespan
