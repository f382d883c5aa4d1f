#include "sapphirespan_cookie/peers/PeerTable.h"

#include <algorithm>
#include <set>

namespace sapphirespan {

namespace {

/** @returns whether a peer can watch the store. */
bool isWatchCandidate(const PeerRow &row, SteadyTime now)
{
    return isAlive(row, now) && row.reachesStore && row.phase == PeerPhase::serving;
}

/** Number of peers, the first by rank, that every list of known peers includes. Each instance receives reports from only a few
    others, and this way all agree on which instances watch the store. The first of the sender's own data centre is included too,
    so that a data centre agrees on it where there are more data centres than this. */
constexpr std::ptrdiff_t topRankedPeersPerReport = 4;

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
    const bool isEarlierStart = report.sender.incarnation < row.descriptor.incarnation && isAlive(row, now);
    const bool isOutdated
        = isEarlierStart || (report.sender.incarnation == row.descriptor.incarnation && report.sequenceNumber <= row.lastSequenceNumber);
    if (isOutdated) {
        return nullptr;
    }
    if (report.sender.incarnation != row.descriptor.incarnation || report.phase != row.phase) {
        row.phaseSince = now;
    }
    row.descriptor = report.sender;
    row.phase = report.phase;
    row.reachesStore = report.reachesStore;
    row.isWatchingStore = report.isWatchingStore;
    row.ranksByNameOnly = !report.ranksAcrossDataCentres;
    row.lastSequenceNumber = report.sequenceNumber;
    row.storeDataVersion = report.storeDataVersion;
    row.storeDataConfirmedAt = now - Milliseconds(report.storeDataAgeMs);
    row.lastAliveAt = now;
    row.lastReportReceivedAt = now;
    return &row;
}

void PeerTable::mergeKnownPeer(const KnownPeer &knownPeer, SteadyTime now)
{
    if (knownPeer.descriptor.name == m_self.name) {
        m_self.incarnation = std::max(m_self.incarnation, knownPeer.descriptor.incarnation + (knownPeer.descriptor == m_self ? 0 : 1));
        return;
    }
    if (knownPeer.descriptor.reportEndpoint == m_self.reportEndpoint) {
        return;
    }
    auto &row = m_rows[knownPeer.descriptor.name];
    if (knownPeer.descriptor.incarnation < row.descriptor.incarnation) {
        return;
    }
    if (knownPeer.descriptor.incarnation > row.descriptor.incarnation) {
        row.descriptor = knownPeer.descriptor;
        row.lastSequenceNumber = 0;
        row.ranksByNameOnly = false;
    }
    if (const auto aliveAt = now - Milliseconds(knownPeer.sinceLastAliveMs); aliveAt > row.lastAliveAt) {
        row.phaseSince = knownPeer.phase != row.phase ? aliveAt : row.phaseSince;
        row.phase = knownPeer.phase;
        row.reachesStore = knownPeer.reachesStore;
        row.lastAliveAt = aliveAt;
    }
}

void PeerTable::evictSilent(SteadyTime now)
{
    std::erase_if(m_rows, [now](const auto &item) { return now - item.second.lastAliveAt > peerRetentionPeriod; });
}

std::vector<PeerTable::RankedInstance> PeerTable::rankedInstances(SteadyTime now, Milliseconds maxSilence) const
{
    std::vector<RankedInstance> instances {{nullptr, false, 0, rankKey(m_self.dataCentre), rankKey(m_self.name)}};
    for (const auto &[name, row] : m_rows) {
        if (now - row.lastAliveAt < maxSilence) {
            instances.push_back({&row, row.ranksByNameOnly, 0, rankKey(row.descriptor.dataCentre), rankKey(name)});
        }
    }
    std::sort(instances.begin(), instances.end(), [](const RankedInstance &a, const RankedInstance &b) {
        return std::tie(a.ranksByNameOnly, a.dataCentreKey, a.key) < std::tie(b.ranksByNameOnly, b.dataCentreKey, b.key);
    });
    for (std::size_t index = 1; index < instances.size(); ++index) {
        const auto &previous = instances[index - 1];
        auto &instance = instances[index];
        const bool isSameDataCentre
            = instance.ranksByNameOnly == previous.ranksByNameOnly && instance.dataCentreKey == previous.dataCentreKey;
        instance.turn = isSameDataCentre ? previous.turn + 1 : 0;
    }
    std::sort(instances.begin(), instances.end(), [](const RankedInstance &a, const RankedInstance &b) {
        return std::tie(a.ranksByNameOnly, a.turn, a.dataCentreKey, a.key) < std::tie(b.ranksByNameOnly, b.turn, b.dataCentreKey, b.key);
    });
    return instances;
}

bool PeerTable::isFirstByNameOnly(SteadyTime now) const
{
    const bool hasEarlierRelease = std::any_of(
        m_rows.begin(), m_rows.end(), [now](const auto &item) { return isAlive(item.second, now) && item.second.ranksByNameOnly; });
    if (!hasEarlierRelease) {
        return false;
    }
    const auto ownKey = rankKey(m_self.name);
    const auto higherRanked = std::count_if(
        m_rows.begin(), m_rows.end(), [&](const auto &item) { return isWatchCandidate(item.second, now) && rankKey(item.first) < ownKey; });
    return static_cast<std::size_t>(higherRanked) < storeWatcherCount;
}

bool PeerTable::shouldWatchStore(bool selfReachesStore, std::size_t watcherCount, SteadyTime now) const
{
    if (!selfReachesStore) {
        return false;
    }
    const auto ownKey = rankKey(m_self.name);
    const auto firstInDataCentre = std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &item) {
        const auto &[name, row] = item;
        return row.descriptor.dataCentre == m_self.dataCentre && !row.ranksByNameOnly && isWatchCandidate(row, now)
            && rankKey(name) < ownKey;
    });
    if (static_cast<std::size_t>(firstInDataCentre) >= watcherCount) {
        return isFirstByNameOnly(now); // the ranks of all instances need not be known
    }
    std::size_t higherRanked = 0;
    for (const auto &instance : rankedInstances(now)) {
        if (instance.row == nullptr || higherRanked >= watcherCount) {
            break;
        }
        higherRanked += isWatchCandidate(*instance.row, now) ? 1 : 0;
    }
    return higherRanked < watcherCount || isFirstByNameOnly(now);
}

std::size_t PeerTable::countOtherDataCentresWithoutStore(SteadyTime now) const
{
    std::set<std::string_view> dataCentres;
    for (const auto &[name, row] : m_rows) {
        if (isAlive(row, now) && !row.reachesStore && row.descriptor.dataCentre != m_self.dataCentre) {
            dataCentres.insert(row.descriptor.dataCentre);
        }
    }
    return dataCentres.size();
}

bool PeerTable::shouldDeferLeaving(SteadyTime now) const
{
    std::size_t memberCount = 1;
    std::size_t availableCount = 0;
    for (const auto &[name, row] : m_rows) {
        const auto silence = now - row.lastAliveAt;
        if (row.descriptor.dataCentre != m_self.dataCentre || silence > restartTimeout) {
            continue;
        }
        ++memberCount;
        const bool isAwaitingReadmission = row.phase == PeerPhase::serving && now - row.phaseSince < fabricReadmissionDelay;
        const bool leavesFirst = row.phase == PeerPhase::waitingToLeave && rankKey(name) < rankKey(m_self.name);
        const bool isUnavailable = row.phase == PeerPhase::leaving || row.phase == PeerPhase::starting;
        availableCount += silence <= restartSilenceThreshold && !isUnavailable && !isAwaitingReadmission && !leavesFirst ? 1 : 0;
    }
    return memberCount > 1 && availableCount + 1 < memberCount && 2 * availableCount < memberCount;
}

StoreQueryRank PeerTable::rankForStoreQuery(SteadyTime now) const
{
    const auto instances = rankedInstances(now, peerPresenceTimeout);
    const auto self
        = std::find_if(instances.begin(), instances.end(), [](const RankedInstance &instance) { return instance.row == nullptr; });
    return {static_cast<std::size_t>(self - instances.begin()), instances.size()};
}

std::size_t PeerTable::rankInDataCentre(SteadyTime now) const
{
    const auto ownKey = rankKey(m_self.name);
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &item) {
        return isAlive(item.second, now) && item.second.descriptor.dataCentre == m_self.dataCentre && rankKey(item.first) < ownKey;
    }));
}

std::vector<Endpoint> PeerTable::selectReportTargets(ReportScope scope, SteadyTime now, std::mt19937_64 &random)
{
    std::vector<Endpoint> targets; // in the same data centre; those in others are appended last
    std::vector<Endpoint> otherDataCentres;
    for (const auto &[name, row] : m_rows) {
        if (now - row.lastAliveAt < peerPresenceTimeout) {
            (row.descriptor.dataCentre == m_self.dataCentre ? targets : otherDataCentres).push_back(row.descriptor.reportEndpoint);
        }
    }
    ++m_round;
    if (!isFullMesh()) {
        std::shuffle(targets.begin(), targets.end(), random);
        std::shuffle(otherDataCentres.begin(), otherDataCentres.end(), random);
        targets.resize(std::min(targets.size(), scope == ReportScope::ownProbeResult ? ownProbeResultFanOut : sameDataCentreFanOut));
        otherDataCentres.resize(std::min(otherDataCentres.size(), otherDataCentreFanOut));
    } else if (scope == ReportScope::regular && m_round % 2 == 0) {
        otherDataCentres.clear(); // traffic between data centres costs more than within one
    }
    targets.insert(targets.end(), otherDataCentres.begin(), otherDataCentres.end());
    return targets;
}

std::vector<KnownPeer> PeerTable::selectKnownPeers(SteadyTime now, std::size_t maxCount, std::mt19937_64 &random) const
{
    auto peers = rankedInstances(now);
    std::erase_if(peers, [](const RankedInstance &instance) { return instance.row == nullptr; });
    if (peers.size() > maxCount) {
        const auto firstOther = peers.begin() + std::min<std::ptrdiff_t>(topRankedPeersPerReport, static_cast<std::ptrdiff_t>(maxCount));
        const auto firstOfOwn = std::find_if(firstOther, peers.end(), [this](const RankedInstance &instance) {
            return instance.row->descriptor.dataCentre == m_self.dataCentre;
        });
        const bool isOneMoreFixed = firstOfOwn != peers.end() && firstOther < peers.begin() + static_cast<std::ptrdiff_t>(maxCount);
        if (isOneMoreFixed) {
            std::iter_swap(firstOther, firstOfOwn);
        }
        std::shuffle(firstOther + (isOneMoreFixed ? 1 : 0), peers.end(), random);
        peers.resize(maxCount);
    }
    std::vector<KnownPeer> result;
    for (const auto &peer : peers) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - peer.row->lastAliveAt);
        result.push_back({peer.row->descriptor, static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)), peer.row->phase,
                          peer.row->reachesStore});
    }
    return result;
}

} // namespace sapphirespan
