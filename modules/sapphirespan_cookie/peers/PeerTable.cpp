#include "sapphirespan_cookie/peers/PeerTable.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Peers by rank that every report tells of, so that all agree on who watches although each hears few others. */
constexpr std::ptrdiff_t firstSighted = 4;

} // namespace

std::uint64_t rankKey(const std::string &name)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char byte : name) {
        hash = (hash ^ static_cast<std::uint8_t>(byte)) * 0x100000001b3U;
    }
    return hash;
}

bool isAlive(const PeerRow &row, SteadyTime now)
{
    return now - row.lastAliveAt < peerLivenessTimeout;
}

PeerRow *PeerTable::merge(const PeerReport &report, SteadyTime now)
{
    if (report.sender.name == m_self.name) {
        return nullptr;
    }
    auto &row = m_rows[report.sender.name];
    const bool isOtherStart = report.sender.incarnation < row.descriptor.incarnation && isAlive(row, now);
    const bool isOld
        = isOtherStart || (report.sender.incarnation == row.descriptor.incarnation && report.sequenceNumber <= row.lastSequenceNumber);
    if (isOld) {
        return nullptr;
    }
    if (report.sender.incarnation != row.descriptor.incarnation || report.phase != row.phase) {
        row.phaseSince = now;
    }
    row.descriptor = report.sender;
    row.phase = report.phase;
    row.reachesStore = report.reachesStore;
    row.isWatchingStore = report.isWatchingStore;
    row.lastSequenceNumber = report.sequenceNumber;
    row.storeDataVersion = report.storeDataVersion;
    row.storeDataConfirmedAt = now - Milliseconds(report.storeDataAgeMs);
    row.lastAliveAt = now;
    row.lastReportAt = now;
    return &row;
}

void PeerTable::take(const KnownPeer &sighting, SteadyTime now)
{
    if (sighting.descriptor.name == m_self.name) {
        m_self.incarnation = std::max(m_self.incarnation, sighting.descriptor.incarnation + (sighting.descriptor == m_self ? 0 : 1));
        return;
    }
    if (sighting.descriptor.reportEndpoint == m_self.reportEndpoint) {
        return;
    }
    auto &row = m_rows[sighting.descriptor.name];
    if (sighting.descriptor.incarnation < row.descriptor.incarnation) {
        return;
    }
    if (sighting.descriptor.incarnation > row.descriptor.incarnation) {
        row.descriptor = sighting.descriptor;
        row.lastSequenceNumber = 0;
    }
    if (const auto seenAt = now - Milliseconds(sighting.sinceLastAliveMs); seenAt > row.lastAliveAt) {
        row.phaseSince = sighting.phase != row.phase ? seenAt : row.phaseSince;
        row.phase = sighting.phase;
        row.reachesStore = sighting.reachesStore;
        row.lastAliveAt = seenAt;
    }
}

void PeerTable::evictSilent(SteadyTime now)
{
    std::erase_if(m_rows, [now](const auto &item) { return now - item.second.lastAliveAt > peerRetentionPeriod; });
}

bool PeerTable::shouldWatchStore(bool selfReachesStore, SteadyTime now) const
{
    if (!selfReachesStore) {
        return false;
    }
    const auto mine = rankKey(m_self.name);
    std::size_t better = 0;
    for (const auto &[name, row] : m_rows) {
        const bool isCandidate = isAlive(row, now) && row.reachesStore && row.phase == PeerPhase::serving;
        better += isCandidate && rankKey(name) < mine ? 1 : 0;
    }
    return better < storeWatcherCount;
}

bool PeerTable::shouldDeferLeaving(SteadyTime now) const
{
    std::size_t all = 1;
    std::size_t staying = 0;
    for (const auto &[name, row] : m_rows) {
        const auto silence = now - row.lastAliveAt;
        if (row.descriptor.dataCentre != m_self.dataCentre || silence > restartTimeout) {
            continue;
        }
        ++all;
        const bool isArriving = row.phase == PeerPhase::serving && now - row.phaseSince < fabricReadmissionDelay;
        const bool isAhead = row.phase == PeerPhase::waitingToLeave && rankKey(name) < rankKey(m_self.name);
        const bool isOut = row.phase == PeerPhase::leaving || row.phase == PeerPhase::starting;
        staying += silence <= restartSilenceThreshold && !isOut && !isArriving && !isAhead ? 1 : 0;
    }
    return all > 1 && staying + 1 < all && 2 * staying < all;
}

std::size_t PeerTable::rank(SteadyTime now) const
{
    const auto mine = rankKey(m_self.name);
    return static_cast<std::size_t>(std::count_if(
        m_rows.begin(), m_rows.end(), [&](const auto &item) { return isAlive(item.second, now) && rankKey(item.first) < mine; }));
}

std::size_t PeerTable::rankInDataCentre(SteadyTime now) const
{
    const auto mine = rankKey(m_self.name);
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &item) {
        return isAlive(item.second, now) && item.second.descriptor.dataCentre == m_self.dataCentre && rankKey(item.first) < mine;
    }));
}

std::vector<Endpoint> PeerTable::selectReportTargets(ReportScope reach, SteadyTime now, std::mt19937_64 &random)
{
    std::vector<Endpoint> inside;
    std::vector<Endpoint> outside;
    for (const auto &[name, row] : m_rows) {
        if (now - row.lastAliveAt < 4 * peerLivenessTimeout) { // a cut may heal; silent peers are still told for a while
            (row.descriptor.dataCentre == m_self.dataCentre ? inside : outside).push_back(row.descriptor.reportEndpoint);
        }
    }
    ++m_round;
    if (m_rows.size() >= fullMeshMaxInstances) {
        std::shuffle(inside.begin(), inside.end(), random);
        std::shuffle(outside.begin(), outside.end(), random);
        inside.resize(std::min(inside.size(), reach == ReportScope::ownProbeResult ? ownProbeResultFanOut : sameDataCentreFanOut));
        outside.resize(std::min(outside.size(), otherDataCentreFanOut));
    } else if (reach == ReportScope::regular && m_round % 2 == 0) {
        outside.clear(); // bytes between data centres cost more
    }
    inside.insert(inside.end(), outside.begin(), outside.end());
    return inside;
}

std::vector<KnownPeer> PeerTable::selectKnownPeers(SteadyTime now, std::size_t most, std::mt19937_64 &random) const
{
    std::vector<KnownPeer> result;
    for (const auto &[name, row] : m_rows) {
        if (isAlive(row, now)) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - row.lastAliveAt);
            result.push_back(
                {row.descriptor, static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)), row.phase, row.reachesStore});
        }
    }
    if (result.size() > most) {
        const auto firstOthers = result.begin() + std::min<std::ptrdiff_t>(firstSighted, static_cast<std::ptrdiff_t>(most));
        std::partial_sort(result.begin(), firstOthers, result.end(),
                          [](const KnownPeer &a, const KnownPeer &b) { return rankKey(a.descriptor.name) < rankKey(b.descriptor.name); });
        std::shuffle(firstOthers, result.end(), random);
        result.resize(most);
    }
    return result;
}

} // namespace sapphirespan
