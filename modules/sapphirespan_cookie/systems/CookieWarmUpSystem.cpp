#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <algorithm>
#include <cstdio>

namespace sapphirespan {

namespace {

/** Age up to which the number of instances that a peer knows counts. */
constexpr Milliseconds peerCountAge {5000};

constexpr Milliseconds announcementInterval {1000};

bool isCold(const CookieState &state, const UpstreamRow &row)
{
    return state.now < row.warmUpEndsAt;
}

/** @returns whether this instance has a slot of a cold upstream. */
bool hasSlot(CookieState &state, const UpstreamRow &row, const SlotPlan &plan, WallTime wall)
{
    auto &warmUp = state.warmUp;
    if (warmUp.abstention != SlotAbstention::none) {
        return false;
    }
    const auto [found, isNew] = warmUp.slots.try_emplace(row.cookie);
    auto &slots = found->second;
    if (isNew) {
        slots.upstream = {row.cookie, slotHashOf(row.entry.dataCentre)};
    }
    examineSlots(slots, plan, warmUp.known, wall);
    return hasOpening(slots, state.now);
}

void updateKnown(CookieState &state)
{
    auto &warmUp = state.warmUp;
    std::vector<SlotCandidate> others;
    others.reserve(state.peers.rows().size());
    for (const auto &[name, row] : state.peers.rows()) {
        others.push_back({slotHashOf(name), slotHashOf(row.descriptor.dataCentre)});
    }
    warmUp.known.self = {slotHashOf(state.settings.name), slotHashOf(state.settings.dataCentre)};
    updateKnownInstances(warmUp.known, std::move(others), state.now);
    warmUp.mostKnownByPeer = 0;
    for (const auto &[name, received] : state.supplements) {
        if (state.now - received.receivedAt <= peerCountAge) {
            warmUp.mostKnownByPeer = std::max<std::size_t>(warmUp.mostKnownByPeer, received.supplement.knownInstances);
        }
    }
}

void updateAbstention(CookieState &state)
{
    const auto &seeds = state.settings.seeds;
    const bool hasSeeds
        = std::any_of(seeds.begin(), seeds.end(), [&state](const Endpoint &seed) { return seed != state.settings.controlEndpoint; });
    const auto begunAt = std::max(state.startedAt, state.resumedAt.value_or(state.startedAt));
    state.warmUp.abstention
        = slotAbstention({state.now - begunAt, state.warmUp.known.others.size() + 1, state.warmUp.mostKnownByPeer, hasSeeds});
}

/** Announces for a service how many openings were kept from its cold upstreams since the latest event, and what decided. */
void announceLimited(CookieState &state, const std::string &service, std::uint64_t limited)
{
    const auto &upstreams = state.upstreams.listedForService(service);
    const auto cold = std::count_if(upstreams.begin(), upstreams.end(), [&state](const auto *row) { return isCold(state, *row); });
    const auto &warmUp = state.warmUp;
    const double budget = coldUpstreamBudget(state, service).value_or(0);
    std::array<char, 224> text {};
    std::snprintf(text.data(), text.size(),
                  ": %llu openings kept from %lld cold of %zu upstreams; budget %g a second each, slots for %g; %zu instances known, "
                  "at most %zu to a peer in the last %lld ms",
                  static_cast<unsigned long long>(limited), static_cast<long long>(cold), upstreams.size(), budget,
                  budget > 0 ? slotRate(budget, state.settings.warmUp) : 0, warmUp.known.others.size() + 1, warmUp.mostKnownByPeer,
                  static_cast<long long>(peerCountAge.count()));
    std::string detail = service + text.data();
    if (warmUp.abstention != SlotAbstention::none) {
        detail += "; no slots are used: " + std::string(nameOf(warmUp.abstention));
    }
    announce(state, CookieEventKind::coldUpstreamsLimited, 0, detail);
}

void announceDue(CookieState &state)
{
    if (state.now - state.warmUp.announcedAt < announcementInterval) {
        return;
    }
    state.warmUp.announcedAt = state.now;
    for (auto &[service, counts] : state.warmUp.openings) {
        const auto limited = counts.elsewhere + counts.rejected;
        if (limited > counts.announcedLimited) {
            announceLimited(state, service, limited - std::exchange(counts.announcedLimited, limited));
        }
    }
}

} // namespace

std::optional<double> coldUpstreamBudget(const CookieState &state, const std::string &service)
{
    if (!state.settings.warmUp.limitsColdUpstreams) {
        return std::nullopt;
    }
    const auto *policy = state.routes.servicePolicy(service);
    return policy != nullptr ? policy->warmUpRequestsPerSecond : std::nullopt;
}

bool isLimitedCold(const CookieState &state, const UpstreamRow &row)
{
    return isCold(state, row) && coldUpstreamBudget(state, row.entry.service);
}

void addColdUpstreamCondition(CookieState &state, ChoiceContext &context)
{
    state.warmUp.wasColdPassedOver = false;
    const auto budget = coldUpstreamBudget(state, context.service);
    if (!budget) {
        return;
    }
    const auto plan = planSlots(*budget, state.settings.warmUp);
    const auto wall = state.clock.wallNow();
    const auto withSlot = context.hasSlotOfUnanswered ? context.unansweredUpstream : 0;
    addCondition(context, [&state, plan, wall, withSlot](const UpstreamRow &row) {
        if (!isCold(state, row) || row.cookie == withSlot || hasSlot(state, row, plan, wall)) {
            return true;
        }
        state.warmUp.wasColdPassedOver = true;
        return false;
    });
}

void noteColdUpstreamChoice(CookieState &state, const ChoiceContext &context, const UpstreamRow *chosen)
{
    const bool hasSlotAlready = chosen != nullptr && context.hasSlotOfUnanswered && chosen->cookie == context.unansweredUpstream;
    const bool isColdChosen = chosen != nullptr && !hasSlotAlready && isLimitedCold(state, *chosen);
    if (!isColdChosen && !state.warmUp.wasColdPassedOver) {
        return;
    }
    auto &counts = state.warmUp.openings[context.service];
    if (isColdChosen) {
        useOpening(state.warmUp.slots.at(chosen->cookie), state.now);
        ++counts.placed;
    } else {
        ++(chosen != nullptr ? counts.elsewhere : counts.rejected);
    }
}

std::string_view reasonWithoutUpstream(const CookieState &state)
{
    if (!state.warmUp.wasColdPassedOver) {
        return "no ready upstream";
    }
    return state.warmUp.abstention == SlotAbstention::none ? "only cold upstreams without a slot for this instance are left"
                                                           : "only cold upstreams are left, of which this instance uses no slots now";
}

void noteAnswersAgain(CookieState &state, UpstreamRow &row)
{
    if (coldUpstreamBudget(state, row.entry.service)) {
        const auto time = state.routes.servicePolicy(row.entry.service)->warmUpTime.value_or(defaultWarmUpTime);
        row.warmUpEndsAt = std::max<SteadyTime>(row.warmUpEndsAt, state.now + time);
    }
}

bool showsSameProcess(const FlowRow &flow, const FlowUpdate &update, SteadyTime unreachableSince)
{
    const bool isPlacedHere = flow.openingPlacedAt != SteadyTime {};
    return isPlacedHere && flow.openingPlacedAt < unreachableSince && update.responseBytes > 0;
}

void updateWarmUp(CookieState &state)
{
    if (!state.settings.warmUp.limitsColdUpstreams) {
        return;
    }
    updateKnown(state);
    updateAbstention(state);
    std::erase_if(state.warmUp.slots, [&state](const auto &item) {
        const auto *row = state.upstreams.find(item.first);
        return row == nullptr || !isCold(state, *row);
    });
    announceDue(state);
}

std::map<std::string, std::size_t> countColdUpstreams(const CookieState &state)
{
    std::map<std::string, std::size_t> result;
    for (const auto &policy : state.routes.configuration().services) {
        if (coldUpstreamBudget(state, policy.service)) {
            const auto &upstreams = state.upstreams.listedForService(policy.service);
            result[policy.service] = static_cast<std::size_t>(
                std::count_if(upstreams.begin(), upstreams.end(), [&state](const auto *row) { return isCold(state, *row); }));
        }
    }
    return result;
}

} // namespace sapphirespan
