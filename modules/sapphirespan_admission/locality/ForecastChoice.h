#pragma once

#include "sapphirespan_admission/limits/ServiceLoad.h"

#include <vector>

namespace sapphirespan {

/** What is known of the load of one service in one data centre. */
struct DataCentreFigures {
    double slots = 0; ///< of the upstreams that can take new flows
    double slotsPerUpstream = 1; ///< mean over them
    double load = 0; ///< slots that the requests offered would keep busy, those from other data centres included
    double waitMs = 0; ///< mean response time less the time without queueing
    double responses = 0; ///< number behind `waitMs`
    double ageMs = 0; ///< of the figures
};

/** A data centre to which new flows could go, as its forecast needs it. */
struct Destination {
    std::string name;
    DataCentreFigures figures {};
    double pathMs = 0; ///< by how much a request there takes longer because of the path
    double loadFromHome = 0; ///< part of `figures.load` that home's clients already send there, in slots
    int competitors = 0; ///< other data centres whose new flows may move there at the same time
};

/** Requests of one route from home's clients, wherever they are served. */
struct RouteDemand {
    RouteKey route = 0;
    double load = 0; ///< slots that they keep busy; those on open flows count, since new flows replace these in time
    double priceMs = 0; ///< wait that a request must save to be worth its transfer between data centres
};

/** Inputs of one decision about a service. */
struct ForecastInputs {
    double workMs = 0; ///< mean time that a request occupies a slot
    DataCentreFigures home {};
    std::vector<Destination> others;
    std::vector<RouteDemand> routes;
};

/** How many new flows leave, and where they go. */
struct ForecastShares {
    double movedLoad = 0; ///< in slots, once open flows have been replaced
    std::vector<double> byRoute; ///< share of the new flows of each route of the inputs
    std::vector<double> loadByOther; ///< load that each destination of the inputs takes, in slots
    double homeWaitMs = 0; ///< forecast if no flow left
};

/** Age above which figures of a data centre do not count. Three regular supplements of a peer fit into it, while a burst changes
    the load within a second. */
inline constexpr Milliseconds maxFiguresAge {2000};

/** Interval between two computations of the share, for which the steps below hold. */
inline constexpr Milliseconds shareInterval {100};

/** Largest change of the share in one interval. It rises faster than it falls: a queue that is left alone grows by up to its
    whole excess load, while a flow that leaves too many costs only its path. */
inline constexpr double maxShareRise = 0.1;
inline constexpr double maxShareFall = 0.05;

/** Part of the difference to the computed share by which the share changes in one interval. */
inline constexpr double shareStep = 0.5;

/** Difference below which the share takes the computed value at once, so that it reaches 0. */
inline constexpr double minShareStep = 0.01;

/** Largest share of a route's new flows that leaves. The others keep telling how long the wait at home is. */
inline constexpr double maxLeavingShare = 0.95;

/** Wait at a destination, as a share of the work, up to which it takes flows that home would reject. Home rejects from a wait of
    half of the work on (`slowdownLimit` less `slowdownMargin`), so the destination stays below that. */
inline constexpr double maxOverflowWaitShare = 0.4;

/** Load per slot up to which a destination takes flows that home would reject. Figures are up to two seconds old, so some room stays for
    its own callers. */
inline constexpr double maxOverflowLoad = 0.9;

/** Load per slot up to which the queueing formula is used; it has a pole at 1. Beyond it, the growth of the backlog counts. */
inline constexpr double maxFormulaLoad = 0.98;

/** Bounds of the factor that scales the formula to the observed wait. The formula takes upstreams for independent queues, whose wait
    is several times that of a shared queue; a destination that looks idle still counts with a tenth of it. The upper bound allows
    for upstreams that are slower than their floor tells. */
inline constexpr double minFormulaScale = 0.1;
inline constexpr double maxFormulaScale = 10;

/** Standard deviation of a response time without queueing as a share of it; 0.29 if it is even between 0.5 and 1.5 times the mean. */
inline constexpr double workSpread = 0.3;

/** Number of standard errors by which the difference of two waits must exceed the cost, so that chance differences on calm days move
    no flows. */
inline constexpr double confidenceFactor = 2;

/** Upper limits of plausible figures; others are ignored. */
inline constexpr double maxPlausibleMs = 600'000;
inline constexpr double maxPlausibleSlots = 1'000'000;
inline constexpr double maxPlausibleLoadPerSlot = 1000;

/** @returns whether all numbers are finite and in a range that a real service can have. */
bool isPlausible(const DataCentreFigures &figures);

/** @returns the time over which a decision has to hold: until newer figures show its effect. */
double forecastHorizonMs(const ForecastInputs &inputs);

/** @returns the wait in milliseconds that Sakasegawa's approximation gives for a queue in front of `servers` slots.
    @param loadPerSlot below 1 */
double queueWaitMs(double loadPerSlot, double servers, double workMs);

/** @returns the wait of requests that are offered within the horizon if the data centre bears the given load.
    @param minScale lower bound of the factor on the queueing formula; monotone in `load` */
double forecastWaitMs(const DataCentreFigures &figures, double load, double workMs, double horizonMs, double minScale);

/** Computes how many new flows leave home: as many as gain from it. Routes whose requests cost less to transfer leave first, and each
    destination takes as much as keeps its forecast wait and path below home's forecast wait less the price.

    Thread safety: pure function, as are all of this file.
*/
ForecastShares forecastShares(const ForecastInputs &inputs);

/** @returns the slots that a destination has for flows that home would reject; none if its requests wait for longer than home's may. */
double overflowRoom(const Destination &other, double workMs);

/** @returns the share after one interval, on the way from `current` to `target`. */
double dampedShare(double current, double target);

} // namespace sapphirespan
