#include "sapphirespan_cookie/placement/UpstreamChoice.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Waiting requests weigh more than open flows, which may be idle. */
constexpr double waitingWeight = 2;

/** Relative width of the random tie-break. */
constexpr double tieBreakWidth = 0.1;

/** Flows per slot that are added for an upstream which was suspect or dark a moment ago. */
constexpr double trickleOffset = 4;

/** A starting upstream counts as this much fuller than the others at first, so that it is not everybody's choice. */
constexpr double slowStartCaution = 1.1;

/** An upstream whose responses begin this many times later than usual counts as that much fuller, up to a limit. */
constexpr double mostSlowness = 4;

/** Reachability comes before load: a worse class is used only when the better ones are empty. */
enum class ChoiceClass : std::uint8_t {
    fine,
    inDoubt,
    suspect,
    dark,
    avoided,
};

ChoiceClass classOf(const UpstreamRow &row, const ChoiceContext &context)
{
    if (row.cookie == context.unansweredUpstream) {
        return ChoiceClass::avoided;
    }
    switch (row.evidence.state) {
    case Reachability::suspect:
        return ChoiceClass::suspect;
    case Reachability::unreachable:
        return ChoiceClass::dark;
    case Reachability::reachable:
    case Reachability::count:
        break;
    }
    if (isAvoided(row.evidence, context.now)) {
        return ChoiceClass::suspect;
    }
    return isOpeningOverdue(row.evidence, context.now) ? ChoiceClass::inDoubt : ChoiceClass::fine;
}

bool isCandidate(const UpstreamRow &row)
{
    return row.entry.phase == RegistrationPhase::ready && !row.hasCookieCollision;
}

double flowsAt(const UpstreamRow &row)
{
    const auto &load = row.load;
    return load.activeFlows + load.peerFlows + waitingWeight * (load.waitingRequests + load.peerWaitingRequests);
}

/** What is usual among the reachable upstreams of a service. */
struct Usual {
    double load = 0;
    double responseMs = 0;
};

Usual usualOf(const UpstreamDirectory &directory, const ChoiceContext &context)
{
    Usual usual;
    double slots = 0;
    double flows = 0;
    double weight = 0;
    for (const auto *listed : directory.listedForService(context.service)) {
        const auto &row = *listed;
        const bool isStarting = context.now - row.firstLearnedAt < slowStartTime;
        if (isCandidate(row) && row.evidence.state == Reachability::reachable && !isAvoided(row.evidence, context.now) && !isStarting) {
            slots += row.entry.slots;
            flows += flowsAt(row);
            usual.responseMs += row.load.averageFirstByteMs;
            weight += row.load.averageFirstByteMs > 0 ? 1 : 0;
        }
    }
    usual.load = slots > 0 ? flows / slots : 0;
    usual.responseMs = weight > 0 ? usual.responseMs / weight : 0;
    return usual;
}

/** A small number in [0, 1) that differs by upstream and draw. */
double tieBreak(FlowCookie cookie, std::uint64_t random)
{
    std::uint64_t value = (random ^ cookie) * 0x9e3779b97f4a7c15U;
    value ^= value >> 29;
    return static_cast<double>(value % 1024) / 1024;
}

} // namespace

double loadPerSlot(const UpstreamRow &row, const ChoiceContext &context, double usualLoad)
{
    const bool isWarming = context.now < row.warmUpEndsAt;
    const double slots = std::max<double>(row.entry.slots, 1) * (isWarming ? warmUpSlotShare : 1);
    double load = flowsAt(row) / slots;
    if (const auto age = context.now - row.firstLearnedAt; age < slowStartTime) {
        const double missing = 1 - static_cast<double>(age.count()) / static_cast<double>(Microseconds(slowStartTime).count());
        load = std::max(load, usualLoad * missing * slowStartCaution) + load * missing;
    }
    if (context.now < row.evidence.reducedPlacementUntil) {
        load += trickleOffset;
    }
    return load;
}

UpstreamRow *chooseUpstream(UpstreamDirectory &directory, const ChoiceContext &context)
{
    const auto usual = usualOf(directory, context);
    UpstreamRow *best = nullptr;
    auto bestClass = ChoiceClass::fine;
    double bestLoad = 0;
    for (auto *listed : directory.listedForService(context.service)) {
        auto &row = *listed;
        if (!isCandidate(row)) {
            continue;
        }
        double load = loadPerSlot(row, context, usual.load);
        if (usual.responseMs > 0) {
            load *= std::clamp(row.load.averageFirstByteMs / usual.responseMs, 1.0, mostSlowness);
        }
        if (row.entry.dataCentre != context.dataCentre) {
            load = load * remoteLoadFactor + remoteLoadOffset;
        }
        load += (load + 1.0 / row.entry.slots) * tieBreakWidth * tieBreak(row.cookie, context.tieBreakSeed);
        const auto rank = classOf(row, context);
        if (best == nullptr || rank < bestClass || (rank == bestClass && load < bestLoad)) {
            best = &row;
            bestClass = rank;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace sapphirespan
