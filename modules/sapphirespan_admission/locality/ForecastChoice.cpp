#include "sapphirespan_admission/locality/ForecastChoice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sapphirespan {

namespace {

/** Halvings in a bisection; leaves an error of 0.0001 of the range. */
constexpr int bisectionSteps = 14;

/** Bounds of the horizon in milliseconds. */
constexpr double minHorizonMs = 100;
constexpr double maxHorizonMs = 3000;

bool isWithin(double value, double max)
{
    return std::isfinite(value) && value >= 0 && value <= max;
}

bool isUsable(const Destination &other)
{
    return isPlausible(other.figures) && other.figures.slots > 0 && isWithin(other.pathMs, maxPlausibleMs)
        && isWithin(other.loadFromHome, maxPlausibleSlots) && other.competitors >= 0;
}

/** @returns the largest value in [0, max] for which the condition holds; it has to hold at 0 and to fail for good from some value
    on. */
template<typename Condition>
double largestThatHolds(double max, const Condition &holds)
{
    if (holds(max)) {
        return max;
    }
    double low = 0;
    double high = max;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        (holds(middle) ? low : high) = middle;
    }
    return low;
}

/** @returns the standard error of a mean wait. */
double waitErrorMs(const DataCentreFigures &figures, double workMs)
{
    return (workSpread * workMs + figures.waitMs) / std::sqrt(std::max(figures.responses, 1.0));
}

/** One decision while it is computed. */
struct Forecast {
    const ForecastInputs &inputs;
    double horizonMs = 0;
    std::vector<std::size_t> routesByPrice; ///< indexes, cheapest first
    std::vector<double> otherCostMs; ///< path and confidence margin of each destination
    double totalLoad = 0; ///< of the routes
    double presentlyMoved = 0; ///< part of it that is served elsewhere now

    double homeWaitMs(double movedLoad) const
    {
        const double load = inputs.home.load + presentlyMoved - movedLoad;
        return forecastWaitMs(inputs.home, std::max(load, 0.0), inputs.workMs, horizonMs, 0);
    }

    double otherCost(std::size_t index, double loadFromHome) const
    {
        const auto &other = inputs.others[index];
        const double change = loadFromHome - other.loadFromHome;
        const double load = other.figures.load + change + other.competitors * std::max(change, 0.0);
        return otherCostMs[index] + forecastWaitMs(other.figures, std::max(load, 0.0), inputs.workMs, horizonMs, minFormulaScale);
    }

    /** @returns the load that a destination takes at a cost below the given one. */
    double roomBelow(std::size_t index, double costMs, double max) const
    {
        if (!isUsable(inputs.others[index]) || otherCost(index, 0) >= costMs) {
            return 0;
        }
        return largestThatHolds(max, [&](double load) { return otherCost(index, load) < costMs; });
    }

    /** @returns the price of the route whose flows leave last if the given load leaves. */
    double marginalPriceMs(double movedLoad) const
    {
        double sum = 0;
        for (const auto index : routesByPrice) {
            sum += inputs.routes[index].load * maxLeavingShare;
            if (movedLoad <= sum) {
                return inputs.routes[index].priceMs;
            }
        }
        return inputs.routes[routesByPrice.back()].priceMs;
    }

    /** @returns whether the last flow of the given load gains from leaving. */
    bool gains(double movedLoad) const
    {
        const double costMs = homeWaitMs(movedLoad) - marginalPriceMs(movedLoad);
        double room = 0;
        for (std::size_t index = 0; index < inputs.others.size() && room <= movedLoad; ++index) {
            room += roomBelow(index, costMs, totalLoad);
        }
        return room > movedLoad;
    }
};

Forecast prepare(const ForecastInputs &inputs)
{
    Forecast forecast {inputs, forecastHorizonMs(inputs), {}, {}, 0, 0};
    forecast.routesByPrice.resize(inputs.routes.size());
    std::iota(forecast.routesByPrice.begin(), forecast.routesByPrice.end(), 0);
    std::stable_sort(forecast.routesByPrice.begin(), forecast.routesByPrice.end(),
                     [&inputs](auto a, auto b) { return inputs.routes[a].priceMs < inputs.routes[b].priceMs; });
    for (const auto &route : inputs.routes) {
        forecast.totalLoad += route.load;
    }
    const double homeErrorMs = waitErrorMs(inputs.home, inputs.workMs);
    for (const auto &other : inputs.others) {
        const double errorMs = std::hypot(homeErrorMs, waitErrorMs(other.figures, inputs.workMs));
        forecast.presentlyMoved += isUsable(other) ? other.loadFromHome : 0;
        forecast.otherCostMs.push_back(other.pathMs + confidenceFactor * errorMs);
    }
    return forecast;
}

bool isUsable(const ForecastInputs &inputs)
{
    const auto isGoodRoute
        = [](const RouteDemand &route) { return isWithin(route.load, maxPlausibleSlots) && isWithin(route.priceMs, maxPlausibleMs); };
    return isPlausible(inputs.home) && inputs.home.slots > 0 && isWithin(inputs.workMs, maxPlausibleMs) && inputs.workMs > 0
        && !inputs.routes.empty() && std::all_of(inputs.routes.begin(), inputs.routes.end(), isGoodRoute);
}

void divide(ForecastShares &shares, const Forecast &forecast)
{
    const double costMs = forecast.homeWaitMs(shares.movedLoad) - forecast.marginalPriceMs(shares.movedLoad);
    double sum = 0;
    for (std::size_t index = 0; index < shares.loadByOther.size(); ++index) {
        shares.loadByOther[index] = forecast.roomBelow(index, costMs, forecast.totalLoad);
        sum += shares.loadByOther[index];
    }
    for (auto &load : shares.loadByOther) {
        load *= sum > 0 ? shares.movedLoad / sum : 0;
    }
    double left = shares.movedLoad;
    for (const auto index : forecast.routesByPrice) {
        const double load = forecast.inputs.routes[index].load;
        const double moved = std::min(left, load * maxLeavingShare);
        shares.byRoute[index] = load > 0 ? moved / load : 0;
        left -= moved;
    }
}

} // namespace

bool isPlausible(const DataCentreFigures &figures)
{
    return isWithin(figures.slots, maxPlausibleSlots) && isWithin(figures.slotsPerUpstream, maxPlausibleSlots)
        && isWithin(figures.load, maxPlausibleLoadPerSlot * std::max(figures.slots, 1.0)) && isWithin(figures.waitMs, maxPlausibleMs)
        && isWithin(figures.responses, maxPlausibleSlots * maxPlausibleLoadPerSlot) && isWithin(figures.ageMs, maxPlausibleMs);
}

double forecastHorizonMs(const ForecastInputs &inputs)
{
    double ageMs = inputs.home.ageMs;
    for (const auto &other : inputs.others) {
        ageMs = isUsable(other) ? std::max(ageMs, other.figures.ageMs) : ageMs;
    }
    return std::clamp(ageMs + inputs.home.waitMs + inputs.workMs, minHorizonMs, maxHorizonMs);
}

double queueWaitMs(double loadPerSlot, double servers, double workMs)
{
    const double load = std::clamp(loadPerSlot, 0.0, maxFormulaLoad);
    const double count = std::max(servers, 1.0);
    return workMs / count * std::pow(load, std::sqrt(2 * (count + 1)) - 1) / (1 - load);
}

double forecastWaitMs(const DataCentreFigures &figures, double load, double workMs, double horizonMs, double minScale)
{
    const double slots = std::max(figures.slots, 1.0);
    const double presentMs = queueWaitMs(figures.load / slots, figures.slotsPerUpstream, workMs);
    const double scale = std::clamp(presentMs > 0 ? figures.waitMs / presentMs : 1.0, minScale, maxFormulaScale);
    const double queueMs = scale * queueWaitMs(load / slots, figures.slotsPerUpstream, workMs);
    const double backlogMs = figures.waitMs + (load / slots - 1) * horizonMs;
    return std::max({queueMs, backlogMs, 0.0});
}

ForecastShares forecastShares(const ForecastInputs &inputs)
{
    ForecastShares shares;
    shares.byRoute.resize(inputs.routes.size());
    shares.loadByOther.resize(inputs.others.size());
    if (!isUsable(inputs)) {
        return shares;
    }
    const auto forecast = prepare(inputs);
    shares.homeWaitMs = forecast.homeWaitMs(0);
    if (forecast.totalLoad <= 0 || !forecast.gains(0)) {
        return shares;
    }
    shares.movedLoad = largestThatHolds(forecast.totalLoad * maxLeavingShare, [&](double load) { return forecast.gains(load); });
    divide(shares, forecast);
    return shares;
}

double overflowRoom(const Destination &other, double workMs)
{
    if (!isUsable(other) || other.figures.waitMs + other.pathMs > maxOverflowWaitShare * workMs) {
        return 0;
    }
    return std::max(other.figures.slots * maxOverflowLoad - other.figures.load, 0.0) / (1 + other.competitors);
}

double dampedShare(double current, double target)
{
    if (!isWithin(target, 1) || !isWithin(current, 1)) {
        return 0;
    }
    const double difference = target - current;
    if (std::abs(difference) <= minShareStep) {
        return target;
    }
    return current + std::clamp(difference * shareStep, -maxShareFall, maxShareRise);
}

} // namespace sapphirespan
