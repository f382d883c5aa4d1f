/** @file
    Combines what this instance and its peers see of the load of a service. For CookieLocalitySystem.
*/
#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Upstreams of a service in one data centre that can take new flows. */
struct UsableUpstreams {
    double slots = 0;
    double count = 0;
};

using UsableByDataCentre = std::map<std::string, UsableUpstreams>;

/** @returns the upstreams of a service that are ready, reachable and not avoided, by data centre. Those of evacuated data centres and
    cold ones with a budget are left out: they cannot take what is sent there. */
UsableByDataCentre usableUpstreams(const CookieState &state, const std::string &service);

/** @returns the number of instances that share the clients of this data centre, including this one. */
double instancesInDataCentre(const CookieState &state);

/** @returns the load in slots that all instances of the data centre offer, from the decayed work of this one. */
double offeredSlots(double workMs, double instances);

/** @returns what this instance sees of a service at the upstreams of its own data centre. */
ServiceLoadReport ownServiceLoad(const CookieState &state, const std::string &service, double usableSlots, double instances);

/** @returns the inputs of a decision about a service. Other data centres of which nothing is known are left out.
    @pre the service has a locality */
ForecastInputs forecastInputs(const CookieState &state, const std::string &service, double instances);

} // namespace sapphirespan
