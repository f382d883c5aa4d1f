#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <string>
#include <vector>

namespace sapphirespan {

/** New flows of one service as one instance counted them at one moment. */
struct BurnSample {
    std::string service;
    std::string instance;
    WallTime time {};
    std::uint64_t good = 0; ///< placed on an upstream, since the instance started
    std::uint64_t bad = 0; ///< refused, or dropped for want of an upstream, since the instance started
};

/** Service-level burn of one service over one window. */
struct BurnWindow {
    Milliseconds length {0}; ///< that was asked for
    Milliseconds covered {0}; ///< for which samples exist
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    double burnRate = 0; ///< share of bad events over the share that the objective allows; 1 spends the budget exactly
};

/** The burn of one service. */
struct ServiceBurn {
    std::string service;
    double objective = 0;
    BurnWindow shortWindow;
    BurnWindow longWindow;
    double budgetLeft = 1; ///< share of the long window's budget that is left; below 0 when overspent
    std::vector<std::string> instancesSeen;
};

/** Works out the burn of one service from samples of any order, of several instances.

    Counters of an instance that fall were reset by a restart; what it counted before its last sample is kept.

    @param objective share of good events that the service promises, in (0, 1)
    @returns the burn; windows without two samples cover nothing and burn 0. Thread safety: pure function.
*/
ServiceBurn computeBurn(const std::string &service, double objective, Milliseconds shortWindow, Milliseconds longWindow,
                        std::vector<BurnSample> samples);

/** @returns a page with one chart per service that opens without a network. @param notes what was and was not seen */
std::string burnPage(const std::vector<ServiceBurn> &burns, const std::vector<std::string> &notes);

} // namespace sapphirespan
