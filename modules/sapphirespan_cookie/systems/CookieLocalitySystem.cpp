#include "sapphirespan_cookie/systems/CookieLocalitySystem.h"

#include "sapphirespan_cookie/systems/CookieAdmissionSystem.h"
#include "sapphirespan_cookie/systems/CookieLocalityFigures.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

namespace sapphirespan {

namespace {

/** Weight of a sample in the time of a path, by whether it is below it. Queues only lengthen it, so it falls faster than it rises. */
constexpr double fallingPathWeight = 0.3;
constexpr double risingPathWeight = 0.03;

/** Change of the share that is announced, and the least time between two announcements of a service. */
constexpr double announcedShareChange = 0.1;
constexpr Milliseconds minAnnouncementInterval {1000};

/** Space in a supplement for loads and for outflows, so that it stays within maxReportBytes with the most evacuation orders it may carry.
    Enough for the largest numbers of both with names of 63 bytes. */
constexpr std::size_t maxLoadBytes = 1000;
constexpr std::size_t maxOutflowBytes = 1720;

/** Upper limits of what the numbers of one item, and the headers of its texts, take when encoded. */
constexpr std::size_t maxLoadNumberBytes = 48;
constexpr std::size_t maxOutflowNumberBytes = 16;

/** Decayed number of requests below which a route is forgotten. */
constexpr double minKeptRequests = 0.01;

bool usesForecast(const CookieState &state)
{
    return state.settings.admission.dataCentreChoice == DataCentreChoice::forecast && state.settings.admission.spillsToFasterDataCentres;
}

void notePathTime(CookieState &state, const std::string &dataCentre, Microseconds time)
{
    auto &path = state.pathTimes[dataCentre];
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    const double weight = ms < path.ms ? fallingPathWeight : risingPathWeight;
    path.ms = path.sampledAt == SteadyTime {} ? ms : path.ms + (ms - path.ms) * weight;
    path.sampledAt = state.now;
}

/** @returns the work of a request of a route in milliseconds; the mean of the service's routes if its own is not known yet. */
double workOf(const CookieState &state, const std::string &service, RouteKey key)
{
    const auto load = state.serviceLoads.find(service);
    if (load == state.serviceLoads.end()) {
        return 0;
    }
    if (const auto route = load->second.routes.find(key); route != load->second.routes.end() && route->second.floorMs > 0) {
        return route->second.floorMs;
    }
    double sum = 0;
    double count = 0;
    for (const auto &[other, route] : load->second.routes) {
        sum += route.floorMs;
        count += route.floorMs > 0 ? 1 : 0;
    }
    return count > 0 ? sum / count : 0;
}

double keptAfter(Microseconds time, Milliseconds timeConstant)
{
    return std::exp(-std::chrono::duration<double>(time) / std::chrono::duration<double>(timeConstant));
}

void decay(ServiceLocality &locality, Microseconds time)
{
    const double keptLoad = keptAfter(time, offeredLoadTimeConstant);
    const double keptTraffic = keptAfter(time, trafficTimeConstant);
    for (auto &[name, offered] : locality.offered) {
        offered.workMs *= keptLoad;
        offered.requests *= keptLoad;
    }
    for (auto &[key, route] : locality.routes) {
        route.workMs *= keptLoad;
        route.bytes *= keptTraffic;
        route.requests *= keptTraffic;
    }
    std::erase_if(locality.routes, [](const auto &item) { return item.second.requests < minKeptRequests; });
}

/** Takes the destinations of a decision, with weights between the previous ones and those computed. Those of which nothing is known
    any more get no flows. */
void takeDestinations(ServiceLocality &locality, const ForecastInputs &inputs, const ForecastShares &shares)
{
    std::vector<DestinationChoice> result;
    for (std::size_t index = 0; index < inputs.others.size(); ++index) {
        const auto &other = inputs.others[index];
        const auto &known = locality.destinations;
        const auto previous = std::find_if(known.begin(), known.end(), [&](const auto &item) { return item.figures.name == other.name; });
        const double weight = previous == known.end() ? 0 : previous->weight;
        const double computed = shares.movedLoad > 0 ? shares.loadByOther[index] / shares.movedLoad : weight;
        result.push_back({other, weight + (computed - weight) * shareStep, overflowRoom(other, inputs.workMs)});
    }
    locality.destinations = std::move(result);
}

void takeShares(ServiceLocality &locality, const ForecastInputs &inputs, const ForecastShares &shares)
{
    double load = 0;
    double moved = 0;
    double priceSum = 0;
    for (std::size_t index = 0; index < inputs.routes.size(); ++index) {
        const auto &demand = inputs.routes[index];
        auto &route = locality.routes[demand.route];
        route.share = dampedShare(route.share, shares.byRoute[index]);
        load += demand.load;
        moved += route.share * demand.load;
        priceSum += demand.priceMs * demand.load;
    }
    locality.share = load > 0 ? moved / load : 0;
    locality.meanPriceMs = load > 0 ? priceSum / load : 0;
    locality.homeForecastMs = shares.homeWaitMs;
    locality.home = inputs.home;
}

/** Computes how many of the flows that home rejects others have room for. Those tried again are counted each time, so it errs towards
    too few. */
void updateOverflow(ServiceLocality &locality, const ServiceLoad &load, double instances)
{
    double rejected = 0;
    for (const auto &[key, route] : load.routes) {
        rejected += offeredSlots((route.offered - route.admitted) * route.floorMs, instances);
    }
    double room = 0;
    for (const auto &destination : locality.destinations) {
        room += destination.room;
    }
    locality.overflowShare = room <= 0 ? 0 : std::min(room / std::max(rejected, room), 1.0);
}

std::string describe(const std::string &service, const ServiceLocality &locality)
{
    std::array<char, 192> text {};
    std::snprintf(text.data(), text.size(), "%s: share %.2f, wait %.1f ms, forecast %.1f ms, load %.2f, age %.0f ms, price %.2f ms",
                  service.c_str(), locality.share, locality.home.waitMs, locality.homeForecastMs,
                  locality.home.load / std::max(locality.home.slots, 1.0), locality.home.ageMs, locality.meanPriceMs);
    std::string result = text.data();
    for (const auto &[other, weight, room] : locality.destinations) {
        std::snprintf(text.data(), text.size(), "; %s: part %.2f, room %.1f, wait %.1f ms, load %.2f, age %.0f ms, path %.1f ms",
                      other.name.c_str(), weight, room, other.figures.waitMs, other.figures.load / std::max(other.figures.slots, 1.0),
                      other.figures.ageMs, other.pathMs);
        result += text.data();
    }
    return result;
}

void announceChange(CookieState &state, const std::string &service, ServiceLocality &locality)
{
    const bool isToOrFromZero = (locality.share > 0) != (locality.announcedShare > 0);
    const bool isDue = state.now - locality.announcedAt >= minAnnouncementInterval;
    if (isDue && (isToOrFromZero || std::abs(locality.share - locality.announcedShare) >= announcedShareChange)) {
        locality.announcedShare = locality.share;
        locality.announcedAt = state.now;
        announce(state, CookieEventKind::dataCentreShareChanged, 0, describe(service, locality));
    }
}

/** @returns the services of all routes, and those with traffic. */
std::set<std::string> knownServices(const CookieState &state)
{
    std::set<std::string> result;
    for (const auto &route : state.routes.configuration().routes) {
        for (const auto &service : route.services) {
            result.insert(service.service);
        }
    }
    for (const auto &[service, locality] : state.localities) {
        result.insert(service);
    }
    return result;
}

/** @returns a destination drawn by the given weight, or an empty name if there is none. */
std::string drawDestination(const ServiceLocality &locality, double DestinationChoice::*weight, double random)
{
    double total = 0;
    for (const auto &destination : locality.destinations) {
        total += destination.*weight;
    }
    random *= total;
    for (const auto &destination : locality.destinations) {
        if (random < destination.*weight) {
            return destination.figures.name;
        }
        random -= destination.*weight;
    }
    return {};
}

/** Keeps the first items up to a number, and leaves out those that do not fit into the space: names come from other writers and may be
    long. @param bytesOf the size of an item */
template<typename Item, typename BytesOf>
void keepWhatFits(std::vector<Item> &items, std::size_t maxCount, std::size_t space, const BytesOf &bytesOf)
{
    std::vector<Item> kept;
    for (auto &item : items) {
        const std::size_t bytes = bytesOf(item);
        if (kept.size() < maxCount && bytes <= space) {
            space -= bytes;
            kept.push_back(std::move(item));
        }
    }
    items = std::move(kept);
}

/** @returns the data centre of a new flow by the shares computed last. */
std::string forecastDataCentre(CookieState &state, const std::string &service, const Ipv4Endpoint &route)
{
    const auto found = state.localities.find(service);
    if (found == state.localities.end()) {
        return state.settings.dataCentre;
    }
    const auto &locality = found->second;
    const auto known = locality.routes.find(keyOf(route));
    if (known == locality.routes.end() || known->second.share <= 0 || uniformRandom(state) >= known->second.share) {
        return state.settings.dataCentre;
    }
    const auto drawn = drawDestination(locality, &DestinationChoice::weight, uniformRandom(state));
    return drawn.empty() ? state.settings.dataCentre : drawn;
}

/** @returns whether anything is known of other data centres. Without it, only what this instance sees itself is left. A service
    without traffic needs no news. */
bool hasNewsOfOthers(const CookieState &state, const std::string &service)
{
    const auto found = state.localities.find(service);
    return found == state.localities.end() || !found->second.destinations.empty();
}

} // namespace

PreferredDataCentre chooseDataCentre(CookieState &state, const std::string &service, const Ipv4Endpoint &route)
{
    if (state.settings.admission.dataCentreChoice == DataCentreChoice::own) {
        return {state.settings.dataCentre, true};
    }
    if (!usesForecast(state) || !hasNewsOfOthers(state, service)) {
        return {preferredDataCentre(state, service), false};
    }
    return {forecastDataCentre(state, service, route), true};
}

std::optional<PreferredDataCentre> overflowDataCentre(CookieState &state, const std::string &service)
{
    const auto found = state.localities.find(service);
    if (!usesForecast(state) || found == state.localities.end() || uniformRandom(state) >= found->second.overflowShare) {
        return std::nullopt;
    }
    const auto drawn = drawDestination(found->second, &DestinationChoice::room, uniformRandom(state));
    return drawn.empty() ? std::nullopt : std::optional(PreferredDataCentre {drawn, true, true});
}

void countPlacement(CookieState &state, const PreferredDataCentre &choice, const UpstreamRow &row)
{
    auto reason = PlacementReason::home;
    if (row.entry.dataCentre != state.settings.dataCentre) {
        const bool isChosen = row.entry.dataCentre == choice.dataCentre;
        reason = isChosen     ? (choice.isOverflow ? PlacementReason::overflow : PlacementReason::load)
            : choice.isStrict ? PlacementReason::noHome
                              : PlacementReason::preference;
    }
    ++state.counters.placements[static_cast<std::size_t>(reason)];
}

void noteFlowUpdate(CookieState &state, const UpstreamEntry &upstream, const Ipv4Endpoint &route, const FlowUpdate &update)
{
    if (!usesForecast(state)) {
        return;
    }
    if (update.openingTime) {
        notePathTime(state, upstream.dataCentre, *update.openingTime);
    }
    const auto bytes = update.requestBytes + update.responseBytes;
    if (bytes == 0 && !update.isNewRequest) {
        return;
    }
    const auto key = keyOf(route);
    auto &locality = state.localities[upstream.service];
    auto &traffic = locality.routes[key];
    traffic.bytes += bytes;
    if (update.isNewRequest) {
        const double workMs = workOf(state, upstream.service, key);
        auto &offered = locality.offered[upstream.dataCentre];
        traffic.requests += 1;
        offered.requests += 1;
        offered.workMs += workMs;
        traffic.workMs += workMs;
    }
}

void updateDataCentreShares(CookieState &state)
{
    const auto elapsed = state.now - state.sharesComputedAt;
    if (!usesForecast(state) || elapsed < shareInterval) {
        return;
    }
    state.sharesComputedAt = state.now;
    const double instances = instancesInDataCentre(state);
    for (auto &[service, locality] : state.localities) {
        decay(locality, elapsed);
        const auto inputs = forecastInputs(state, service, instances);
        const auto shares = forecastShares(inputs);
        takeDestinations(locality, inputs, shares);
        takeShares(locality, inputs, shares);
        updateOverflow(locality, state.serviceLoads[service], instances);
        announceChange(state, service, locality);
    }
    std::erase_if(state.localities, [](const auto &item) { return item.second.routes.empty(); });
}

std::vector<ServiceLoadReport> ownServiceLoads(const CookieState &state)
{
    std::vector<ServiceLoadReport> result;
    if (!usesForecast(state) || !hasRoutesAndUpstreams(state)) {
        return result;
    }
    const double instances = instancesInDataCentre(state);
    for (const auto &service : knownServices(state)) {
        const auto usable = usableUpstreams(state, service);
        const auto atHome = usable.find(state.settings.dataCentre);
        result.push_back(ownServiceLoad(state, service, atHome == usable.end() ? 0 : atHome->second.slots, instances));
    }
    std::stable_sort(result.begin(), result.end(), [](const auto &a, const auto &b) { return a.responses > b.responses; });
    keepWhatFits(result, maxServiceLoadsPerSupplement, maxLoadBytes,
                 [](const ServiceLoadReport &load) { return load.service.size() + maxLoadNumberBytes; });
    return result;
}

std::vector<OutflowReport> ownOutflows(const CookieState &state)
{
    std::vector<OutflowReport> result;
    if (!usesForecast(state)) {
        return result;
    }
    const double instances = instancesInDataCentre(state);
    for (const auto &[service, locality] : state.localities) {
        for (const auto &[name, offered] : locality.offered) {
            const double load = offeredSlots(offered.workMs, instances);
            if (name != state.settings.dataCentre && load > 0) {
                result.push_back({service, name, load});
            }
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const auto &a, const auto &b) { return a.load > b.load; });
    keepWhatFits(result, maxOutflowsPerSupplement, maxOutflowBytes,
                 [](const OutflowReport &outflow) { return outflow.service.size() + outflow.dataCentre.size() + maxOutflowNumberBytes; });
    return result;
}

} // namespace sapphirespan
