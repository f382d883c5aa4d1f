#include "sapphirespan_cookie/instance/CookieInstance.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieJudgeSystem.h"
#include "sapphirespan_cookie/systems/CookieKnowledgeSystem.h"
#include "sapphirespan_cookie/systems/CookieLocalitySystem.h"
#include "sapphirespan_cookie/systems/CookiePacketSystem.h"
#include "sapphirespan_cookie/systems/CookiePeerSystem.h"

namespace sapphirespan {

namespace {

/** Interval at which flows are expired and loads recounted. */
constexpr Milliseconds flowSweepInterval {500};

/** Time after a tick that came late during which upstreams are not evaluated. */
constexpr Milliseconds lateTickRecoveryTime {150};

/** Time since the latest tick after which the process is assumed to have been suspended; ticks come every 50 ms. */
constexpr Milliseconds pauseThreshold {600};

/** Evidence from before a pause says nothing about the upstreams' current state. Another instance may have taken over
    watching the store meanwhile. */
void handlePause(CookieState &state)
{
    state.resumedAt = state.now;
    announce(state, CookieEventKind::instancePaused, 0, "");
    for (auto &[cookie, row] : state.upstreams.rows()) {
        resetEvidence(row.evidence, state.now);
    }
}

/** Time by which calendar time gets ahead of the steady clock from which the machine may have been suspended: the steady clock does not
    count that time. A calendar clock that is set forward looks the same, which costs a repeated proof. */
constexpr Milliseconds suspensionThreshold {100};

void forgetHostSilences(CookieState &state)
{
    for (auto &[cookie, row] : state.upstreams.rows()) {
        forgetHostSilence(row.evidence);
    }
}

/** Reports a new verdict without waiting for the next tick; until peers receive it, they keep sending flows to the
    unreachable upstream. */
void reportNewVerdict(CookieState &state)
{
    if (state.hasUnreportedVerdict) {
        sendDueReports(state);
    }
}

void startLeavingIfDue(CookieState &state)
{
    if (!state.leaveDeadline || state.leavingSince || (state.now < *state.leaveDeadline && state.peers.shouldDeferLeaving(state.now))) {
        return;
    }
    state.leavingSince = state.now;
    state.isReportUrgent = true;
    announce(state, CookieEventKind::instanceLeaving, 0, "");
}

} // namespace

CookieInstance::CookieInstance(const CookieInstanceSettings &settings, const PacketFormat &format, const Clock &clock)
    : m_state(std::make_unique<CookieState>(settings, format, clock))
{
}

CookieInstance::~CookieInstance() = default;

void CookieInstance::beginBatch()
{
    const auto lastBatchAt = std::exchange(m_state->now, m_state->clock.steadyNow());
    const auto lastBatchWallTime = std::exchange(m_state->wallNow, m_state->clock.wallNow());
    if (m_state->wallNow - lastBatchWallTime > m_state->now - lastBatchAt + suspensionThreshold) {
        forgetHostSilences(*m_state);
    }
    if (m_state->now - m_state->lastTickAt > pauseThreshold) {
        m_state->lastTickAt = m_state->now;
        handlePause(*m_state);
    }
}

void CookieInstance::packetArrived(std::span<std::uint8_t> bytes)
{
    handleClientPacket(*m_state, bytes);
}

void CookieInstance::peerDatagramArrived(std::span<const std::uint8_t> datagram)
{
    handlePeerDatagram(*m_state, datagram);
    reportNewVerdict(*m_state);
}

void CookieInstance::upstreamsListed(const UpstreamList &list)
{
    mergeStoreList(*m_state, list);
}

void CookieInstance::upstreamsChanged(const UpstreamChanges &changes)
{
    mergeStoreChanges(*m_state, changes);
}

void CookieInstance::routesArrived(const RouteConfiguration &configuration)
{
    applyRouteConfiguration(*m_state, configuration);
}

void CookieInstance::evacuationsListed(const EvacuationList &list)
{
    mergeStoreEvacuationList(*m_state, list);
}

void CookieInstance::evacuationsChanged(const EvacuationList &changes)
{
    mergeStoreEvacuationChanges(*m_state, changes);
}

void CookieInstance::storeConfirmed(StoreDataKind part, std::uint64_t revision)
{
    auto &state = *m_state;
    if (isReadingBacklog(state)) {
        raiseConfirmedRevision(state, part, revision);
    } else {
        const bool wasOutOfReach = storeDataAge(state) > outOfReachStoreDataAge;
        confirmStoreData(state, part, revision, state.now);
        const bool isFoundAgain = wasOutOfReach && storeDataAge(state) <= outOfReachStoreDataAge;
        state.isReportUrgent = state.isReportUrgent || isFoundAgain; // spares the peers a query by the age of their data
    }
    state.storeFailedAt.reset();
}

void CookieInstance::storeFailed()
{
    m_state->isReportUrgent = m_state->isReportUrgent || !m_state->storeFailedAt;
    m_state->storeFailedAt = m_state->now;
    updateStoreWatch(*m_state); // an instance that asks by the age of its data does so once
}

void CookieInstance::snapshotArrived(const StoreDataSnapshot &snapshot)
{
    mergePeerSnapshot(*m_state, snapshot);
}

void CookieInstance::probeEnded(const ProbeRequest &request, ProbeResult result)
{
    ++m_state->probeCounters.ended[static_cast<std::size_t>(request.purpose)][static_cast<std::size_t>(result)];
    handleProbeResult(*m_state, request, result);
    reportNewVerdict(*m_state);
}

void CookieInstance::probeAnsweredLate(const ProbeRequest &request, ProbeResult result)
{
    ++m_state->probeCounters.answeredLate[static_cast<std::size_t>(request.purpose)];
    handleLateProbeAnswer(*m_state, request, result);
}

void CookieInstance::probeNotMade(const ProbeRequest &request)
{
    ++m_state->probeCounters.notMade[static_cast<std::size_t>(request.purpose)];
    handleProbeNotMade(*m_state, request);
}

void CookieInstance::leaveRequested(SteadyTime latest)
{
    if (!m_state->leaveDeadline) {
        m_state->leaveDeadline = latest;
        m_state->isReportUrgent = true;
    }
}

std::optional<SteadyTime> CookieInstance::leavingSince() const
{
    return m_state->leavingSince;
}

void CookieInstance::setSeeds(const std::vector<Endpoint> &seeds)
{
    m_state->settings.seeds = seeds;
}

void CookieInstance::tick()
{
    beginBatch();
    auto &state = *m_state;
    if (state.now - state.lastTickAt > lateTickThreshold) {
        state.runningLateUntil = state.now + lateTickRecoveryTime;
    }
    state.lastTickAt = state.now;
    if (storeDataAge(state) > outOfReachStoreDataAge) {
        state.storeLastOutOfReachAt = state.now;
    }
    updateEvacuations(state);
    releaseHeldPackets(state);
    if (state.now >= state.runningLateUntil) {
        evaluateUpstreams(state);
    }
    if (state.now - state.lastFlowSweepAt >= flowSweepInterval) {
        recountLoadAndExpireState(state);
    }
    updateDataCentreShares(state);
    startLeavingIfDue(state);
    updateStoreWatch(state);
    requestDueSnapshots(state);
    sendReportsToNewPeers(state);
    sendDueReports(state);
}

CookieOutbox &CookieInstance::outbox()
{
    return m_state->outbox;
}

std::vector<ProbeRequest> CookieInstance::takeProbeRequests()
{
    return std::exchange(m_state->probeRequests, {});
}

std::vector<SnapshotRequest> CookieInstance::takeSnapshotRequests()
{
    return std::exchange(m_state->snapshotRequests, {});
}

bool CookieInstance::shouldQueryStore() const
{
    return m_state->watchReason != WatchReason::none;
}

StoreRevisions CookieInstance::storeRevisions() const
{
    auto revisions = m_state->confirmedRevisions;
    revisions.evacuations = m_state->evacuations.revision();
    return revisions;
}

bool CookieInstance::isReady() const
{
    return isInitialLoadComplete(*m_state) && !m_state->leavingSince;
}

Milliseconds CookieInstance::timeSinceLastPacket() const
{
    return std::chrono::duration_cast<Milliseconds>(m_state->clock.steadyNow() - m_state->lastClientPacketAt);
}

std::optional<StoreDataSnapshot> CookieInstance::snapshot(const SnapshotScope &scope)
{
    auto result = makeSnapshot(*m_state, scope);
    m_state->counters.snapshotsServed += result ? 1 : 0;
    return result;
}

const CookieCounters &CookieInstance::counters() const
{
    return m_state->counters;
}

const CookieState &CookieInstance::state() const
{
    return *m_state;
}

sigc::signal<void(const CookieEvent &)> &CookieInstance::signalEvent()
{
    return m_state->signalEvent;
}

} // namespace sapphirespan
