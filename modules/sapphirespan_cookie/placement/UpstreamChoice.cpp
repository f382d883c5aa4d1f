#include "sapphirespan_cookie/placement/UpstreamChoice.h"

#include <algorithm>
#include <utility>

namespace sapphirespan {

namespace {

/** Load of a request that awaits its response, in flows, in addition to its flow; flows without one may be idle. */
constexpr double waitingRequestWeight = 2;

/** Maximum random increase of the load, as a share of it, that breaks ties. */
constexpr double maxTieBreakShare = 0.1;

/** Flows per slot added to the load of an upstream that was suspect or unreachable until recently. */
constexpr double reducedPlacementOffset = 4;

/** Factor by which an upstream in slow start initially counts as fuller than the average, so that not all instances choose
    it at the same time. */
constexpr double slowStartLoadFactor = 1.1;

/** Maximum factor on the load of an upstream whose responses begin later than the average; below it, the factor is the
    ratio of the two times. */
constexpr double maxResponseTimeFactor = 4;

/** Preference class of an upstream, best first. Reachability precedes load: a class is used only if all better ones are
    empty. */
enum class ChoiceClass : std::uint8_t {
    preferred,
    elsewhere, ///< in another data centre, for a flow that stays in its own
    inDoubt, ///< an opening is overdue
    reserved, ///< for other flows
    suspect, ///< suspect, or avoided because of a verdict or data centre check
    unreachable,
    unanswered, ///< the upstream that did not answer this flow's opening
};

ChoiceClass classOf(const UpstreamRow &row, const ChoiceContext &context)
{
    if (row.cookie == context.unansweredUpstream) {
        return ChoiceClass::unanswered;
    }
    switch (row.evidence.state) {
    case Reachability::suspect:
        return ChoiceClass::suspect;
    case Reachability::unreachable:
        return ChoiceClass::unreachable;
    case Reachability::reachable:
    case Reachability::count:
        break;
    }
    if (isAvoided(row.evidence, context.now)) {
        return ChoiceClass::suspect;
    }
    if (context.isReservedForOthers && context.isReservedForOthers(row)) {
        return ChoiceClass::reserved;
    }
    if (isOpeningOverdue(row.evidence, context.now)) {
        return ChoiceClass::inDoubt;
    }
    return context.staysInDataCentre && row.entry.dataCentre != context.dataCentre ? ChoiceClass::elsewhere : ChoiceClass::preferred;
}

double weightedFlows(const UpstreamRow &row)
{
    const auto &load = row.load;
    return load.activeFlows + waitingRequestWeight * load.waitingRequests;
}

/** Averages over the reachable upstreams of a service that are not avoided or in slow start. */
struct ServiceAverages {
    double load = 0;
    double responseMs = 0;
};

ServiceAverages averagesOf(const UpstreamDirectory &directory, const ChoiceContext &context)
{
    ServiceAverages averages;
    double slots = 0;
    double flows = 0;
    double sampledUpstreams = 0;
    for (const auto *listed : directory.listedForService(context.service)) {
        const auto &row = *listed;
        const bool isStarting = context.now - row.firstLearnedAt < slowStartTime;
        if (mayTakeOpening(row, context) && row.evidence.state == Reachability::reachable && !isAvoided(row.evidence, context.now)
            && !isStarting) {
            slots += row.entry.slots;
            flows += weightedFlows(row);
            averages.responseMs += row.load.averageFirstByteMs;
            sampledUpstreams += row.load.averageFirstByteMs > 0 ? 1 : 0;
        }
    }
    averages.load = slots > 0 ? flows / slots : 0;
    averages.responseMs = sampledUpstreams > 0 ? averages.responseMs / sampledUpstreams : 0;
    return averages;
}

/** @returns a pseudo-random number in [0, 1) that depends on the upstream and the seed. */
double tieBreak(FlowCookie cookie, std::uint64_t seed)
{
    std::uint64_t value = (seed ^ cookie) * 0x9e3779b97f4a7c15U;
    value ^= value >> 29;
    return static_cast<double>(value % 1024) / 1024;
}

} // namespace

void addCondition(ChoiceContext &context, std::function<bool(const UpstreamRow &)> condition)
{
    if (!context.mayTake) {
        context.mayTake = std::move(condition);
        return;
    }
    context.mayTake = [earlier = std::move(context.mayTake), added = std::move(condition)](const UpstreamRow &row) {
        return earlier(row) && added(row);
    };
}

bool mayTakeOpening(const UpstreamRow &row, const ChoiceContext &context)
{
    return row.entry.service == context.service && isReady(row, context.now) && !row.hasCookieCollision
        && (!context.mayTake || context.mayTake(row));
}

double loadPerSlot(const UpstreamRow &row, const ChoiceContext &context, double averageLoad)
{
    const bool isWarming = context.now < row.warmUpEndsAt;
    const double slots = std::max<double>(row.entry.slots, 1) * (isWarming ? warmUpSlotShare : 1);
    double load = weightedFlows(row) / slots;
    if (const auto age = context.now - row.firstLearnedAt; age < slowStartTime) {
        const double remainingShare = 1 - static_cast<double>(age.count()) / static_cast<double>(Microseconds(slowStartTime).count());
        load = std::max(load, averageLoad * remainingShare * slowStartLoadFactor) + load * remainingShare;
    }
    if (context.now < row.evidence.reducedPlacementUntil) {
        load += reducedPlacementOffset;
    }
    return load;
}

UpstreamRow *chooseUpstream(UpstreamDirectory &directory, const ChoiceContext &context)
{
    const auto averages = averagesOf(directory, context);
    UpstreamRow *best = nullptr;
    auto bestClass = ChoiceClass::preferred;
    double bestLoad = 0;
    for (auto *listed : directory.listedForService(context.service)) {
        auto &row = *listed;
        if (!mayTakeOpening(row, context)) {
            continue;
        }
        double load = loadPerSlot(row, context, averages.load);
        if (averages.responseMs > 0) {
            load *= std::clamp(row.load.averageFirstByteMs / averages.responseMs, 1.0, maxResponseTimeFactor);
        }
        if (row.entry.dataCentre != context.dataCentre) {
            load += remoteLoadOffset;
        }
        load += (load + 1.0 / row.entry.slots) * maxTieBreakShare * tieBreak(row.cookie, context.tieBreakSeed);
        const auto choiceClass = classOf(row, context);
        if (best == nullptr || choiceClass < bestClass || (choiceClass == bestClass && load < bestLoad)) {
            best = &row;
            bestClass = choiceClass;
            bestLoad = load;
        }
    }
    return best;
}

} // namespace sapphirespan
