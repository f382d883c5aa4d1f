#include "sapphirespan_cookie/systems/CookiePrioritySystem.h"

#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"
#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <algorithm>
#include <cstdio>

namespace sapphirespan {

namespace {

/** Change of a reserved share that is announced, and shortest time between two announcements of one service. */
constexpr double announcedShareChange = 0.05;
constexpr Milliseconds minAnnouncementInterval {2000};

ServiceLoad &roomOf(PriorityLoad &priorities, bool isReserved)
{
    return priorities.rooms[static_cast<std::size_t>(isReserved ? Room::reserved : Room::shared)];
}

/** @returns the priorities of the routes of each service. */
std::map<std::string, PriorityClasses> classesByService(const RouteConfiguration &configuration)
{
    std::optional<std::uint32_t> leastUrgent;
    std::map<std::string, std::vector<StatedPriority>> stated;
    for (const auto &route : configuration.routes) {
        if (route.policy.priority) {
            leastUrgent = std::max(leastUrgent.value_or(0), *route.policy.priority);
        }
        for (const auto &item : route.services) {
            stated[item.service].push_back({keyOf(route.address), route.policy.priority});
        }
    }
    std::map<std::string, PriorityClasses> result;
    for (const auto &[service, routes] : stated) {
        if (auto classes = classesOf(routes, leastUrgent); doDiffer(classes)) {
            result[service] = std::move(classes);
        }
    }
    return result;
}

/** @returns whether an upstream is left out of the room, since hardly any new flow may go there. */
bool isLeftOut(const CookieState &state, const UpstreamRow &row)
{
    return isEvacuated(state, row) || isLimitedCold(state, row);
}

/** Marks the reserved ones of a service's upstreams. @returns their number, and that of all that can take new flows */
std::pair<std::size_t, std::size_t> markReserved(CookieState &state, const std::string &service, double share)
{
    std::map<std::string, std::vector<std::uint32_t>> cookiesByDataCentre;
    std::size_t ready = 0;
    for (auto *row : state.upstreams.listedForService(service)) {
        row->isReserved = false;
        if (isReady(*row, state.now) && !isLeftOut(state, *row)) {
            cookiesByDataCentre[row->entry.dataCentre].push_back(row->cookie);
            ++ready;
        }
    }
    std::size_t reserved = 0;
    for (auto &[dataCentre, cookies] : cookiesByDataCentre) {
        for (const auto cookie : reservedOf(std::move(cookies), share)) {
            if (auto *row = state.upstreams.find(cookie); row != nullptr) {
                row->isReserved = true;
                ++reserved;
            }
        }
    }
    return {reserved, ready};
}

/** Announces a share that differs much from the one announced last. */
void announceShare(CookieState &state, const std::string &service, PriorityLoad &priorities,
                   const std::pair<std::size_t, std::size_t> &reservedOfReady)
{
    const auto &room = priorities.reserved;
    const bool isFirst = priorities.announcedAt == SteadyTime {};
    const bool isDue = isFirst || state.now - priorities.announcedAt >= minAnnouncementInterval;
    if (!isDue || (!isFirst && std::abs(room.share - priorities.announcedShare) < announcedShareChange)) {
        return;
    }
    priorities.announcedAt = state.now;
    priorities.announcedShare = room.share;
    const auto load = state.serviceLoads.find(service);
    const auto age = load == state.serviceLoads.end() ? Microseconds(0) : state.now - load->second.requestsCountedAt;
    std::array<char, 200> text {};
    std::snprintf(text.data(), text.size(),
                  ": share %.2f of the upstreams (%zu of %zu), moving to %.2f; demand of urgent routes %.2f, of others %.2f, "
                  "age %lld ms",
                  room.share, reservedOfReady.first, reservedOfReady.second, room.wantedShare, room.demand.urgent, room.demand.others,
                  static_cast<long long>(std::chrono::duration_cast<Milliseconds>(age).count()));
    announce(state, CookieEventKind::reservedShareChanged, 0, service + text.data());
}

void updateReserved(CookieState &state, const std::string &service, PriorityLoad &priorities)
{
    const auto &rules = state.settings.admission.priorities;
    if (!rules.reservesRoom) {
        return;
    }
    const auto load = state.serviceLoads.find(service);
    const auto loads = load == state.serviceLoads.end() ? ClassLoads {} : classLoadsOf(load->second, priorities.classes, state.now);
    updateRoom(priorities.reserved, demandOf(loads, priorities.classes), rules, state.now);
    announceShare(state, service, priorities, markReserved(state, service, priorities.reserved.share));
}

/** Counts the requests of this instance in progress at the service and at each part of its upstreams, in one pass. Cold upstreams with a
    budget count only if there are no others, as they do without priorities. */
void countByRoom(const CookieState &state, const std::string &service, PriorityLoad &priorities, ServiceLoad &load, double instances)
{
    RequestSum shared;
    RequestSum reserved;
    RequestSum cold;
    for (const auto *row : state.upstreams.listedForService(service)) {
        if (row->evidence.state != Reachability::unreachable && !isEvacuated(state, *row)) {
            add(isLimitedCold(state, *row) ? cold : (row->isReserved ? reserved : shared), *row);
        }
    }
    if (shared.slots + reserved.slots <= 0) {
        shared = cold;
    }
    noteRequestsInProgress(load, shared.requests + reserved.requests, (shared.slots + reserved.slots) / instances, state.now);
    noteRequestsInProgress(roomOf(priorities, false), shared.requests, shared.slots / instances, state.now);
    noteRequestsInProgress(roomOf(priorities, true), reserved.requests, reserved.slots / instances, state.now);
}

} // namespace

void updatePriorities(CookieState &state)
{
    if (!state.settings.admission.priorities.isEnabled) {
        return;
    }
    auto classes = classesByService(state.routes.configuration());
    std::erase_if(state.priorityLoads, [&state, &classes](const auto &item) {
        if (!classes.contains(item.first)) {
            markReserved(state, item.first, 0);
        }
        return !classes.contains(item.first);
    });
    for (auto &[service, ofService] : classes) {
        auto &priorities = state.priorityLoads[service];
        priorities.classes = std::move(ofService);
        updateReserved(state, service, priorities);
    }
}

bool hasPriorities(const CookieState &state, const std::string &service)
{
    return state.priorityLoads.contains(service);
}

AdmissionDecision admitByPriority(CookieState &state, const std::string &service, const Route &route, std::uint32_t client,
                                  double instances)
{
    auto &priorities = state.priorityLoads.at(service);
    auto &load = state.serviceLoads[service];
    countByRoom(state, service, priorities, load, instances);
    const PriorityRequest request {keyOf(route.address), client, route.policy.timeout};
    return decideByPriority(priorities, load, request, state.settings.admission, uniformRandom(state), state.clock.wallNow(), state.now);
}

std::function<bool(const UpstreamRow &)> reservationFor(CookieState &state, const std::string &service, const Ipv4Endpoint &route)
{
    const auto found = state.priorityLoads.find(service);
    if (found == state.priorityLoads.end() || !hasReservedRoom(found->second)) {
        return {};
    }
    auto &priorities = found->second;
    if (!isMostUrgent(priorities.classes, keyOf(route))) {
        return priorities.isLent ? std::function<bool(const UpstreamRow &)> {} : [](const UpstreamRow &row) { return row.isReserved; };
    }
    const double preferred = preferredReservedShare(priorities, state.now);
    if (preferred > 0 && uniformRandom(state) < preferred) {
        return [](const UpstreamRow &row) { return !row.isReserved; };
    }
    return {};
}

void noteResponseByPriority(CookieState &state, const UpstreamRow &row, const Ipv4Endpoint &route, const ResponseSample &sample)
{
    if (const auto found = state.priorityLoads.find(row.entry.service); found != state.priorityLoads.end()) {
        noteResponse(roomOf(found->second, row.isReserved), keyOf(route), sample, state.now);
    }
}

std::string describeByPriority(const AdmissionDecision &decision)
{
    std::array<char, 160> text {};
    std::snprintf(text.data(), text.size(), "%s: priority %u, admitted share %.2f, slowdown %.2f, limit %.2f, age %lld ms",
                  nameOf(*decision.reason).data(), *decision.priority, decision.admittedShare, decision.slowdown.value_or(0),
                  decision.limit, static_cast<long long>(std::chrono::duration_cast<Milliseconds>(decision.age).count()));
    return text.data();
}

} // namespace sapphirespan
