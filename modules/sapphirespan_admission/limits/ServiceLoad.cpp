#include "sapphirespan_admission/limits/ServiceLoad.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sapphirespan {

namespace {

double secondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

/** @returns the share of its value that an exponentially decaying quantity keeps over the given time. */
double keptShare(SteadyTime from, SteadyTime to, Microseconds timeConstant)
{
    return std::exp(-secondsBetween(from, to) / std::chrono::duration<double>(timeConstant).count());
}

void decayRequests(RouteLoad &route, SteadyTime now)
{
    const double kept = keptShare(route.requestsDecayedAt, now, requestCountTimeConstant);
    route.offered *= kept;
    route.openings *= kept;
    route.admitted *= kept;
    route.requestsDecayedAt = now;
}

/** Moves the floor towards the mean of a full window: down at once, up slowly. While requests wait, the mean is divided by
    their number per slot, since each waits for those before it. */
void applyWindow(RouteLoad &route, double requestsPerSlot, SteadyTime now)
{
    const double meanMs = route.windowSumMs / route.windowSamples;
    const double unqueuedMs = meanMs / std::max(requestsPerSlot, 1.0);
    if (route.floorMs == 0) {
        route.floorMs = unqueuedMs;
    } else if (meanMs < route.floorMs) {
        route.floorMs = meanMs;
    } else {
        const double maxRise = floorRisePerSecond * secondsBetween(route.windowStartedAt, now);
        route.floorMs = std::clamp(unqueuedMs, route.floorMs, route.floorMs * (1 + maxRise));
    }
    route.windowSumMs = 0;
    route.windowSamples = 0;
}

/** Compares the size of a response with the average of its route, and updates that. */
bool isFarTooShort(RouteLoad &route, std::uint32_t bytes)
{
    constexpr double newSampleWeight = 0.05; // in the moving average
    if (bytes < route.averageBytes * minResponseSizeShare) {
        return true;
    }
    route.averageBytes = route.averageBytes > 0 ? route.averageBytes + (bytes - route.averageBytes) * newSampleWeight : bytes;
    return false;
}

void noteDataCentreResponse(DataCentreLoad &dataCentre, double timeMs, double floorMs, SteadyTime now)
{
    const double slowdown = std::min(timeMs / floorMs, maxSampleSlowdown);
    const double kept = keptShare(dataCentre.lastResponseAt, now, dataCentreTimeConstant);
    dataCentre.slowdownSum = dataCentre.slowdownSum * kept + slowdown;
    dataCentre.waitSumMs = dataCentre.waitSumMs * kept + (slowdown - 1) * floorMs;
    dataCentre.responses = dataCentre.responses * kept + 1;
    dataCentre.lastResponseAt = now;
}

struct WeightedSlowdown {
    double slowdown = 0;
    double weight = 0;
};

/** @returns the value at which half of the weight is reached. @param sample is sorted by this function; not empty */
double weightedMedian(std::vector<WeightedSlowdown> &sample, double totalWeight)
{
    std::sort(sample.begin(), sample.end(), [](const auto &a, const auto &b) { return a.slowdown < b.slowdown; });
    double weight = 0;
    for (const auto &item : sample) {
        weight += item.weight;
        if (weight >= totalWeight / 2) {
            return item.slowdown;
        }
    }
    return sample.back().slowdown;
}

} // namespace

void noteRequestsInProgress(ServiceLoad &load, double requests, double slots, SteadyTime now)
{
    const double kept = keptShare(load.requestsCountedAt, now, loadTimeConstant(load));
    load.slots = slots;
    load.requestsInProgress = requests;
    load.averageRequestsInProgress = load.averageRequestsInProgress * kept + requests * (1 - kept);
    load.requestsCountedAt = now;
}

double averageRequestsPerSlot(const ServiceLoad &load)
{
    return load.slots > 0 ? load.averageRequestsInProgress / load.slots : 0;
}

void noteResponse(ServiceLoad &load, RouteKey key, const ResponseSample &sample, SteadyTime now)
{
    auto &route = load.routes[key];
    if (isFarTooShort(route, sample.bytes)) {
        return;
    }
    const double timeMs = std::chrono::duration<double, std::milli>(sample.time).count();
    if (route.floorMs > 0) {
        noteDataCentreResponse(load.dataCentres[sample.dataCentre], timeMs, route.floorMs, now);
        load.recentResponses.push_back({now, timeMs / route.floorMs, timeMs});
        if (load.recentResponses.size() > maxRecentResponses) {
            load.recentResponses.pop_front();
        }
    }
    if (route.windowSamples == 0) {
        route.windowStartedAt = now;
    }
    route.windowSumMs += timeMs;
    ++route.windowSamples;
    if (route.windowSamples >= minWindowSamples && now - route.windowStartedAt >= responseWindow) {
        applyWindow(route, averageRequestsPerSlot(load), now);
    }
}

void noteRequest(ServiceLoad &load, RouteKey key, bool isAdmitted, SteadyTime now, double weight)
{
    auto &route = load.routes[key];
    decayRequests(route, now);
    route.offered += weight;
    route.admitted += isAdmitted ? weight : 0;
}

void noteRejectionWithheld(ServiceLoad &load, RouteKey key, double weight)
{
    auto &route = load.routes[key];
    route.offered += 1 - weight;
    route.admitted += 1;
}

double weightOfResponses(const DataCentreLoad &dataCentre, SteadyTime now)
{
    return dataCentre.responses * keptShare(dataCentre.lastResponseAt, now, dataCentreTimeConstant);
}

Microseconds loadTimeConstant(const ServiceLoad &load)
{
    const auto &responses = load.recentResponses;
    const double sumMs = std::accumulate(responses.begin(), responses.end(), 0.0,
                                         [](double sum, const RecentResponse &response) { return sum + response.timeMs; });
    const double meanMs = responses.empty() ? 0 : sumMs / static_cast<double>(responses.size());
    return std::max(Microseconds(minLoadTimeConstant), Microseconds(static_cast<std::int64_t>(1000 * meanMs)));
}

std::optional<double> slowdown(const ServiceLoad &load, SteadyTime now)
{
    const auto timeConstant = loadTimeConstant(load);
    std::vector<WeightedSlowdown> sample;
    double totalWeight = 0;
    for (const auto &response : load.recentResponses) {
        if (now - response.at <= maxResponseAgeInTimeConstants * timeConstant) {
            sample.push_back({response.slowdown, keptShare(response.at, now, timeConstant)});
            totalWeight += sample.back().weight;
        }
    }
    if (sample.size() < minSlowdownSamples) {
        return std::nullopt;
    }
    return weightedMedian(sample, totalWeight);
}

std::optional<double> expectedSlowdown(const ServiceLoad &load, SteadyTime now)
{
    const auto measured = slowdown(load, now);
    if (!measured) {
        return std::nullopt;
    }
    const double change = (load.requestsInProgress + loadChangePrior) / (load.averageRequestsInProgress + loadChangePrior);
    return *measured * std::min(change, maxLoadChange);
}

bool mayBeQueueing(const ServiceLoad &load)
{
    return std::min(load.requestsInProgress, load.averageRequestsInProgress) >= minQueueingRequestsPerSlot * load.slots;
}

double admittedShare(const RouteLoad &route)
{
    return route.offered > 0 ? route.admitted / route.offered : 1;
}

double admittedShare(const ServiceLoad &load)
{
    RouteLoad sum;
    for (const auto &[key, route] : load.routes) {
        sum.offered += route.offered;
        sum.admitted += route.admitted;
    }
    return admittedShare(sum);
}

void removeRoutesIdleSince(ServiceLoad &load, SteadyTime since)
{
    std::erase_if(load.routes, [since](const auto &item) { return item.second.requestsDecayedAt < since; });
}

} // namespace sapphirespan
