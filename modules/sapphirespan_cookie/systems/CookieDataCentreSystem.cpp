#include "sapphirespan_cookie/systems/CookieDataCentreSystem.h"

#include "sapphirespan_cookie/systems/CookiePacketSystem.h"
#include "sapphirespan_cookie/systems/CookieProbing.h"
#include "sapphirespan_cookie/systems/CookieVerdictSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Known to be out of reach by itself, or not there any more. */
bool isSettled(const UpstreamRow &row)
{
    return row.entry.phase == RegistrationPhase::departed || row.evidence.state == Reachability::unreachable;
}

template<typename Visit>
void forEachOf(CookieState &state, const std::string &dataCentre, Visit visit)
{
    for (auto &[cookie, row] : state.upstreams.rows()) {
        if (row.entry.dataCentre == dataCentre && row.entry.phase != RegistrationPhase::departed) {
            visit(row);
        }
    }
}

/** Time after a data centre became dark in which its upstreams' last packets may still be acknowledged by clients. */
constexpr Milliseconds lastWords {500};

bool hasProgressSince(CookieState &state, const std::string &dataCentre, SteadyTime since)
{
    bool isSeen = false;
    forEachOf(state, dataCentre,
              [&](const UpstreamRow &row) { isSeen = isSeen || (!isSettled(row) && row.evidence.lastProgressAt > since); });
    return isSeen;
}

bool makesProgress(CookieState &state, const std::string &dataCentre)
{
    return hasProgressSince(state, dataCentre, state.now - suspectAfterNoProgress);
}

void become(DataCentreEvidence &evidence, Reachability reachability, SteadyTime now)
{
    evidence.state = reachability;
    evidence.stateSince = now;
}

/** Tries some upstreams of a data centre at random. */
void startSample(CookieState &state, const std::string &name, DataCentreEvidence &evidence)
{
    std::vector<UpstreamRow *> candidates;
    forEachOf(state, name, [&candidates](UpstreamRow &row) {
        if (row.evidence.state != Reachability::unreachable || row.evidence.isUnreachableWithoutProbe) {
            candidates.push_back(&row);
        }
    });
    std::shuffle(candidates.begin(), candidates.end(), state.random);
    candidates.resize(std::min(candidates.size(), dataCentreSampleSize));
    evidence.pendingSampleProbes = static_cast<std::uint8_t>(candidates.size());
    evidence.isSampleInconclusive = false;
    for (auto *row : candidates) {
        requestProbe(state, *row, ProbePurpose::dataCentre);
    }
    requestControlProbe(state);
}

void question(CookieState &state, const std::string &name)
{
    if (name == state.settings.dataCentre) {
        return;
    }
    auto &evidence = state.dataCentreEvidence[name];
    if (evidence.state != Reachability::reachable || state.now - evidence.lastAnswerAt < dataCentreAnswerValidity) {
        return;
    }
    become(evidence, Reachability::suspect, state.now);
    evidence.consecutiveSilentSamples = 0;
    evidence.peerVerdictCheckAt.reset();
    forEachOf(state, name, [&state](UpstreamRow &row) {
        if (state.now - row.evidence.lastProgressAt >= suspectAfterNoProgress) {
            avoidDuringDataCentreCheck(row.evidence, state.now);
        }
    });
    startSample(state, name, evidence);
}

/** Ends what runs to a data centre that is out of reach. */
void darken(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    if (evidence.state != Reachability::unreachable) {
        become(evidence, Reachability::unreachable, state.now);
        announce(state, CookieEventKind::dataCentreUnreachable, 0, name + ": " + std::string(reason));
    }
    forEachOf(state, name, [&state](UpstreamRow &row) {
        if (state.now - row.evidence.lastProgressAt >= suspectAfterNoProgress) {
            extendUnreachablePeriod(row.evidence, state.now);
            markUnreachableWithoutProbe(row.evidence, state.now);
            state.upstreamsToEvaluate.insert(row.cookie);
        }
    });
    resetFlowsToUnreachableUpstreams(state);
}

void waitInTheDark(CookieState &state, DataCentreEvidence &evidence, SteadyTime triedAt)
{
    evidence.lastFailureAt = triedAt;
    const auto pause = std::min(initialRetryBackoff * (1 << std::min<int>(evidence.retryBackoffExponent, 3)), maxRetryBackoff);
    evidence.unreachableUntil = triedAt
        + Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(pause).count()) * (0.75 + 0.75 * uniformRandom(state))));
    evidence.retryBackoffExponent = static_cast<std::uint8_t>(std::min(evidence.retryBackoffExponent + 1, 8));
}

/** Something there answers: all of its upstreams are given flows again, and each is judged by itself. */
void lighten(CookieState &state, const std::string &name, DataCentreEvidence &evidence, std::string_view reason)
{
    const bool wasDark = evidence.state == Reachability::unreachable;
    become(evidence, Reachability::reachable, state.now);
    evidence.isUnreachableByPeerVerdicts = false;
    evidence.isReportedUnreachable = false;
    evidence.retryBackoffExponent = 0;
    evidence.consecutiveSilentSamples = 0;
    evidence.peerVerdictCheckAt.reset();
    if (!wasDark) {
        return;
    }
    announce(state, CookieEventKind::dataCentreRecovered, 0, name + ": " + std::string(reason));
    forEachOf(state, name, [&state](UpstreamRow &row) {
        if (row.evidence.isUnreachableWithoutProbe) {
            noteReachableVerdict(row.evidence, state.now, true, state.now);
        }
    });
}

void endSample(CookieState &state, const std::string &name, DataCentreEvidence &evidence)
{
    if (evidence.isSampleInconclusive) {
        if (evidence.state == Reachability::suspect) {
            become(evidence, Reachability::reachable, state.now);
        } else {
            waitInTheDark(state, evidence, state.now);
        }
        return;
    }
    ++evidence.consecutiveSilentSamples;
    const int needed = evidence.isReportedUnreachable ? 1 : 2;
    if (evidence.state == Reachability::suspect && evidence.consecutiveSilentSamples < needed) {
        startSample(state, name, evidence);
        return;
    }
    evidence.isUnreachableByPeerVerdicts = false;
    waitInTheDark(state, evidence, state.now);
    darken(state, name, evidence, "none of the upstreams tried there answered");
    recordOwnVerdict(state, {0, name}, ProbeResult::silent);
}

bool isRetryDue(const CookieState &state, const std::string &name, const DataCentreEvidence &evidence)
{
    const bool isMine
        = evidence.isUnreachableByPeerVerdicts || state.verdicts.isRetryProber({0, name}, ownWitnessId(state), state.settings.dataCentre);
    return state.now >= evidence.unreachableUntil + (isMine ? Milliseconds(0) : backupRetryDelay);
}

} // namespace

void evaluateDataCentres(CookieState &state)
{
    std::map<std::string_view, int> stalled;
    for (const auto cookie : state.upstreamsToEvaluate) {
        const auto *row = state.upstreams.find(cookie);
        if (row != nullptr && !isSettled(*row)) {
            stalled[row->entry.dataCentre] += row->evidence.stalledFlows + row->evidence.stalledOpenings;
        }
    }
    for (const auto &[name, flows] : stalled) {
        if (const std::string dataCentre(name); flows >= minStallsToSuspectDataCentre && !makesProgress(state, dataCentre)) {
            question(state, dataCentre);
        }
    }
    for (auto &[name, evidence] : state.dataCentreEvidence) {
        const bool isDark = evidence.state == Reachability::unreachable;
        if (evidence.peerVerdictCheckAt && state.now >= *evidence.peerVerdictCheckAt) {
            evidence.peerVerdictCheckAt.reset();
            question(state, name);
        } else if (isDark && hasProgressSince(state, name, evidence.stateSince + lastWords)) {
            lighten(state, name, evidence, "a flow made progress");
            recordOwnVerdict(state, {0, name}, ProbeResult::connected);
        } else if (isDark && evidence.pendingSampleProbes == 0 && isRetryDue(state, name, evidence)) {
            if (evidence.isUnreachableByPeerVerdicts) {
                lighten(state, name, evidence, "nobody found it dark again");
            } else {
                startSample(state, name, evidence);
            }
        }
    }
}

void markDataCentreSuspectIfStalled(CookieState &state, const UpstreamRow &row)
{
    if (!makesProgress(state, row.entry.dataCentre)) {
        question(state, row.entry.dataCentre);
    }
}

void handleSampleProbeResult(CookieState &state, UpstreamRow &row, ProbeResult result, bool isConclusive)
{
    const auto found = state.dataCentreEvidence.find(row.entry.dataCentre);
    if (found == state.dataCentreEvidence.end() || found->second.pendingSampleProbes == 0) {
        return;
    }
    auto &evidence = found->second;
    --evidence.pendingSampleProbes;
    if (result != ProbeResult::silent) {
        evidence.lastAnswerAt = state.now;
        const bool wasDark = evidence.state == Reachability::unreachable;
        if (evidence.state != Reachability::reachable) {
            lighten(state, found->first, evidence, "a connection attempt was answered");
        }
        if (wasDark) {
            recordOwnVerdict(state, {0, found->first}, ProbeResult::connected);
        }
        return;
    }
    evidence.isSampleInconclusive = evidence.isSampleInconclusive || !isConclusive;
    if (evidence.pendingSampleProbes == 0 && evidence.state != Reachability::reachable) {
        endSample(state, found->first, evidence);
    }
}

void handleDataCentreVerdict(CookieState &state, const Verdict &verdict)
{
    const auto &name = verdict.subject.dataCentre;
    auto &evidence = state.dataCentreEvidence[name];
    if (!isFailure(verdict.result)) {
        if (evidence.state == Reachability::unreachable && verdict.foundAt > evidence.lastFailureAt
            && verdict.foundAt > evidence.stateSince) {
            lighten(state, name, evidence, "a peer reached it");
        }
        return;
    }
    if (evidence.state == Reachability::unreachable) {
        if (evidence.isUnreachableByPeerVerdicts) {
            evidence.lastFailureAt = std::max(evidence.lastFailureAt, verdict.foundAt);
            evidence.unreachableUntil = evidence.lastFailureAt + verdictLifetime;
        } else if (verdict.foundAt - evidence.lastFailureAt > initialRetryBackoff / 2) {
            waitInTheDark(state, evidence, verdict.foundAt);
        }
        forEachOf(state, name, [&](UpstreamRow &row) { extendUnreachablePeriod(row.evidence, verdict.foundAt); });
        return;
    }
    if (evidence.lastAnswerAt > verdict.foundAt || makesProgress(state, name)) {
        return;
    }
    evidence.isReportedUnreachable = true;
    bool hasFlows = false;
    forEachOf(state, name, [&](UpstreamRow &row) {
        const bool isAccepted = noteUnreachableVerdict(row.evidence, verdict, state.now, uniformRandom(state));
        hasFlows = hasFlows || (isAccepted && row.load.activeFlows > 0);
    });
    if (state.verdicts.countUnreachableVerdicts(verdict.subject, {state.settings.dataCentre}, state.now) >= unreachableQuorum) {
        evidence.isUnreachableByPeerVerdicts = true;
        evidence.lastFailureAt = verdict.foundAt;
        evidence.unreachableUntil = verdict.foundAt + verdictLifetime;
        darken(state, name, evidence, "several peers found it so");
    } else if (hasFlows && evidence.state == Reachability::reachable && !evidence.peerVerdictCheckAt) {
        evidence.peerVerdictCheckAt = state.now
            + Microseconds(static_cast<std::int64_t>(static_cast<double>(Microseconds(maxCheckDelay).count()) * uniformRandom(state)));
    }
}

bool isDataCentreSuspectOrUnreachable(const CookieState &state, const std::string &dataCentre)
{
    const auto found = state.dataCentreEvidence.find(dataCentre);
    return found != state.dataCentreEvidence.end() && found->second.state != Reachability::reachable;
}

} // namespace sapphirespan
