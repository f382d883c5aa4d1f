#include "sapphirespan_cookie/systems/CookieLocalityFigures.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

/** Path difference that is assumed of a data centre to which no opening went lately. Higher than between data centres of one region,
    which are about 1 ms apart, so that the first flows leave only for a clear gain; they then show the real one. */
constexpr double assumedPathMs = 2;

/** Age above which the time of a path is no longer trusted. */
constexpr Milliseconds maxPathAge {60000};

/** Load per slot below which a data centre without responses has no wait; above it, its wait is unknown. */
constexpr double idleLoadPerSlot = 0.05;

double millisecondsOf(Microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/** Weighted sums over the reports of the instances of one data centre. */
struct CombinedReports {
    double weight = 0; ///< by freshness
    double slots = 0;
    double load = 0;
    double ageMs = 0;
    double responses = 0;
    double waitMs = 0; ///< weighted by responses
    double outflowWeight = 0; ///< by freshness, of all that report outflows; some of them do not report the load of the service
    std::map<std::string, double> outflows; ///< load by data centre
};

using CombinedByDataCentre = std::map<std::string, CombinedReports>;

/** Adds what one instance reports. Loads are weighted by freshness only: the fabric spreads flows evenly, so each instance that
    multiplies its own rate by their number gives an unbiased figure, and a weight by responses would favour the high ones. Waits
    are means over responses and are weighted by their number. */
void addReport(CombinedReports &sum, const ServiceLoadReport &report, double receivedAgoMs)
{
    const double maxAgeMs = millisecondsOf(maxFiguresAge);
    const double responseAgeMs = receivedAgoMs + report.ageMs;
    const bool isSane = isPlausible({report.slots, 1, report.offeredLoad * report.slots, report.meanWaitMs, report.responses, 0});
    if (receivedAgoMs >= maxAgeMs || !isSane) {
        return;
    }
    const double weight = 1 - receivedAgoMs / maxAgeMs;
    sum.weight += weight;
    sum.slots += weight * report.slots;
    sum.load += weight * report.offeredLoad * report.slots;
    sum.ageMs += weight * receivedAgoMs;
    const double responses = report.responses * std::max(1 - responseAgeMs / maxAgeMs, 0.0);
    sum.responses += responses;
    sum.waitMs += responses * report.meanWaitMs;
}

CombinedByDataCentre combineReports(const CookieState &state, const std::string &service, const ServiceLoadReport &own, double instances)
{
    CombinedByDataCentre result;
    auto &home = result[state.settings.dataCentre];
    addReport(home, own, 0);
    home.outflowWeight += 1;
    for (const auto &[name, offered] : state.localities.at(service).offered) {
        home.outflows[name] += offeredSlots(offered.workMs, instances);
    }
    for (const auto &[name, received] : state.supplements) {
        const auto age = state.now - received.receivedAt;
        if (age >= maxFiguresAge) {
            continue;
        }
        auto &sum = result[received.supplement.dataCentre];
        for (const auto &report : received.supplement.loads) {
            if (report.service == service) {
                addReport(sum, report, millisecondsOf(age));
            }
        }
        const double weight = 1 - millisecondsOf(age) / millisecondsOf(maxFiguresAge);
        sum.outflowWeight += weight;
        for (const auto &outflow : received.supplement.outflows) {
            if (outflow.service == service && outflow.load <= maxPlausibleSlots) {
                sum.outflows[outflow.dataCentre] += weight * outflow.load;
            }
        }
    }
    std::erase_if(result, [](const auto &item) { return item.second.weight <= 0; });
    return result;
}

/** @returns the load that other data centres send to one. */
double inflowTo(const CombinedByDataCentre &all, const std::string &dataCentre)
{
    double load = 0;
    for (const auto &[name, sum] : all) {
        const auto found = sum.outflows.find(dataCentre);
        load += name != dataCentre && found != sum.outflows.end() ? found->second / sum.outflowWeight : 0;
    }
    return load;
}

DataCentreFigures figuresOf(const CombinedByDataCentre &all, const std::string &dataCentre, const UsableUpstreams &usable)
{
    const auto &sum = all.at(dataCentre);
    DataCentreFigures figures;
    figures.slots = std::min(sum.slots / sum.weight, usable.slots);
    figures.slotsPerUpstream = usable.count > 0 ? usable.slots / usable.count : 1;
    figures.load = sum.load / sum.weight + inflowTo(all, dataCentre);
    figures.waitMs = sum.responses > 0 ? sum.waitMs / sum.responses : 0;
    figures.responses = sum.responses;
    figures.ageMs = sum.ageMs / sum.weight;
    return figures;
}

/** @returns whether the wait is known: there were responses, or hardly any requests. */
bool isWaitKnown(const DataCentreFigures &figures)
{
    return figures.responses >= 1 || figures.load < idleLoadPerSlot * figures.slots;
}

/** @returns by how much the path to another data centre is longer than that at home. */
double pathDifferenceMs(const CookieState &state, const std::string &dataCentre)
{
    const auto home = state.pathTimes.find(state.settings.dataCentre);
    const auto other = state.pathTimes.find(dataCentre);
    if (home == state.pathTimes.end() || other == state.pathTimes.end()) {
        return assumedPathMs;
    }
    const double difference = std::max(other->second.ms - home->second.ms, 0.0);
    return state.now - other->second.sampledAt > maxPathAge ? std::max(difference, assumedPathMs) : difference;
}

/** @returns the number of third data centres that are likely to send new flows to the same one. */
int competitorsFor(const CookieState &state, const CombinedByDataCentre &all, const Destination &other)
{
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const auto &item) {
        const auto &sum = item.second;
        const double waitMs = sum.responses > 0 ? sum.waitMs / sum.responses : 0;
        const bool isThird = item.first != state.settings.dataCentre && item.first != other.name;
        return isThird && (waitMs > other.figures.waitMs + other.pathMs || sum.load > sum.slots);
    }));
}

std::vector<RouteDemand> routeDemands(const CookieState &state, const ServiceLocality &locality, double instances)
{
    std::vector<RouteDemand> routes;
    for (const auto &[key, route] : locality.routes) {
        const double bytes = route.requests > 0 ? route.bytes / route.requests : 0;
        routes.push_back({key, offeredSlots(route.workMs, instances), bytes / 1'000'000 * state.settings.admission.msPerMegabyte});
    }
    return routes;
}

} // namespace

UsableByDataCentre usableUpstreams(const CookieState &state, const std::string &service)
{
    UsableByDataCentre result;
    for (const auto *row : state.upstreams.listedForService(service)) {
        const bool isUsable = isReady(*row, state.now) && row->evidence.state == Reachability::reachable
            && !isAvoided(row->evidence, state.now) && !isEvacuated(state, *row) && !isLimitedCold(state, *row);
        if (isUsable) {
            auto &usable = result[row->entry.dataCentre];
            usable.slots += row->entry.slots;
            usable.count += 1;
        }
    }
    return result;
}

double instancesInDataCentre(const CookieState &state)
{
    const auto &rows = state.peers.rows();
    return 1.0 + static_cast<double>(std::count_if(rows.begin(), rows.end(), [&state](const auto &item) {
               return item.second.descriptor.dataCentre == state.settings.dataCentre && isAlive(item.second, state.now);
           }));
}

double offeredSlots(double workMs, double instances)
{
    return workMs / millisecondsOf(offeredLoadTimeConstant) * instances;
}

ServiceLoadReport ownServiceLoad(const CookieState &state, const std::string &service, double usableSlots, double instances)
{
    ServiceLoadReport report;
    report.service = service;
    report.slots = usableSlots;
    const auto &home = state.settings.dataCentre;
    if (const auto locality = state.localities.find(service); locality != state.localities.end() && usableSlots > 0) {
        const auto offered = locality->second.offered.find(home);
        report.offeredLoad = offered == locality->second.offered.end() ? 0 : offeredSlots(offered->second.workMs, instances) / usableSlots;
    }
    const auto load = state.serviceLoads.find(service);
    if (load == state.serviceLoads.end() || !load->second.dataCentres.contains(home)) {
        return report;
    }
    const auto &dataCentre = load->second.dataCentres.at(home);
    const auto age = state.now - dataCentre.lastResponseAt;
    if (age < maxFiguresAge && dataCentre.responses > 0) {
        report.meanWaitMs = std::max(dataCentre.waitSumMs / dataCentre.responses, 0.0);
        report.responses = weightOfResponses(dataCentre, state.now);
        report.ageMs = static_cast<std::uint32_t>(std::max(millisecondsOf(age), 0.0));
    }
    return report;
}

ForecastInputs forecastInputs(const CookieState &state, const std::string &service, double instances)
{
    const auto usable = usableUpstreams(state, service);
    const auto &home = state.settings.dataCentre;
    const auto atHome = usable.find(home);
    const auto homeUsable = atHome == usable.end() ? UsableUpstreams {} : atHome->second;
    const auto &locality = state.localities.at(service);
    const auto all = combineReports(state, service, ownServiceLoad(state, service, homeUsable.slots, instances), instances);
    ForecastInputs inputs;
    OfferedLoad total;
    for (const auto &[name, offered] : locality.offered) {
        total.workMs += offered.workMs;
        total.requests += offered.requests;
    }
    inputs.workMs = total.requests > 0 ? total.workMs / total.requests : 0;
    if (all.contains(home)) {
        inputs.home = figuresOf(all, home, homeUsable);
    }
    inputs.routes = routeDemands(state, locality, instances);
    for (const auto &[name, upstreams] : usable) {
        if (name == home || !all.contains(name)) {
            continue;
        }
        Destination other {name, figuresOf(all, name, upstreams), pathDifferenceMs(state, name)};
        if (other.figures.slots <= 0 || !isWaitKnown(other.figures)) {
            continue;
        }
        if (const auto offered = locality.offered.find(name); offered != locality.offered.end()) {
            other.loadFromHome = offeredSlots(offered->second.workMs, instances);
        }
        other.competitors = competitorsFor(state, all, other);
        inputs.others.push_back(other);
    }
    return inputs;
}

} // namespace sapphirespan
