#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookiePrioritySystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <algorithm>
#include <cstdio>

namespace sapphirespan {

namespace {

/** Time without a request after which a route's response times are forgotten. */
constexpr Milliseconds routeLoadRetention {60000};

/** @returns the number of instances that share the clients, including this one. */
double servingInstanceCount(const CookieState &state)
{
    return 1.0 + static_cast<double>(std::count_if(state.peers.rows().begin(), state.peers.rows().end(), [&state](const auto &item) {
               return isAlive(item.second, state.now);
           }));
}

/** Counts the requests of this instance that are in progress at the service. The fabric spreads flows evenly over the instances,
    so each may use the same share of the slots. Unreachable and evacuated upstreams are left out. So are cold ones with a budget while
   there are others: new flows can hardly use their slots. If there are none, a service without slots would look as if requests waited. */
void countRequestsInProgress(const CookieState &state, const std::string &service, ServiceLoad &load)
{
    RequestSum warm;
    RequestSum cold;
    for (const auto *row : state.upstreams.listedForService(service)) {
        if (row->evidence.state != Reachability::unreachable && !isEvacuated(state, *row)) {
            add(isLimitedCold(state, *row) ? cold : warm, *row);
        }
    }
    const auto &counted = warm.slots > 0 ? warm : cold;
    noteRequestsInProgress(load, counted.requests, counted.slots / servingInstanceCount(state), state.now);
}

/** @returns the other data centres with upstreams of the service that can take new flows. */
std::vector<OtherDataCentre> otherDataCentres(const CookieState &state, const std::string &service)
{
    std::vector<OtherDataCentre> result;
    for (const auto *row : state.upstreams.listedForService(service)) {
        const auto &name = row->entry.dataCentre;
        const bool isUsable = isReady(*row, state.now) && row->evidence.state == Reachability::reachable
            && !isAvoided(row->evidence, state.now) && !isEvacuated(state, *row) && !isLimitedCold(state, *row);
        if (!isUsable || name == state.settings.dataCentre) {
            continue;
        }
        const auto known = std::find_if(result.begin(), result.end(), [&name](const auto &other) { return other.name == name; });
        auto &other = known == result.end() ? result.emplace_back(OtherDataCentre {name, 0}) : *known;
        other.slots += row->entry.slots;
    }
    return result;
}

} // namespace

RouteKey keyOf(const Ipv4Endpoint &route)
{
    return (RouteKey(route.address) << 16) | route.port;
}

std::string preferredDataCentre(CookieState &state, const std::string &service)
{
    const auto &own = state.settings.dataCentre;
    const auto load = state.serviceLoads.find(service);
    if (!state.settings.admission.spillsToFasterDataCentres || load == state.serviceLoads.end()
        || !isDataCentreSlow(load->second, own, state.now)) {
        return own;
    }
    return preferredDataCentre(load->second, own, otherDataCentres(state, service), uniformRandom(state), state.now);
}

AdmissionDecision admitRequest(CookieState &state, const std::string &service, const Route &route, std::uint32_t client)
{
    if (hasPriorities(state, service)) {
        return admitByPriority(state, service, route, client, servingInstanceCount(state));
    }
    auto &load = state.serviceLoads[service];
    countRequestsInProgress(state, service, load);
    return decideAdmission(load, keyOf(route.address), state.settings.admission, uniformRandom(state), state.now);
}

void noteRejectionWithheld(CookieState &state, const std::string &service, const Ipv4Endpoint &route, const AdmissionDecision &decision)
{
    auto &load = state.serviceLoads[service];
    if (const auto priorities = state.priorityLoads.find(service); priorities != state.priorityLoads.end()) {
        noteRejectionWithheld(priorities->second, load, keyOf(route), decision);
    } else {
        noteRejectionWithheld(load, keyOf(route));
    }
}

void noteRequestOnOpenFlow(CookieState &state, const std::string &service, const Ipv4Endpoint &route)
{
    noteRequest(state.serviceLoads[service], keyOf(route), true, state.now);
}

void noteServiceResponse(CookieState &state, const std::string &service, const Ipv4Endpoint &route, const ResponseSample &sample)
{
    noteResponse(state.serviceLoads[service], keyOf(route), sample, state.now);
}

void expireServiceLoads(CookieState &state)
{
    for (auto &[service, load] : state.serviceLoads) {
        removeRoutesIdleSince(load, state.now - routeLoadRetention);
    }
    std::erase_if(state.serviceLoads, [](const auto &item) { return item.second.routes.empty(); });
}

std::string describe(const AdmissionDecision &decision)
{
    if (decision.reason) {
        return describeByPriority(decision);
    }
    std::array<char, 96> text {};
    std::snprintf(text.data(), text.size(), "the service is overloaded: slowdown %.2f, limit %.2f, age %lld ms",
                  decision.slowdown.value_or(0), decision.limit,
                  static_cast<long long>(std::chrono::duration_cast<Milliseconds>(decision.age).count()));
    return text.data();
}

} // namespace sapphirespan
