#pragma once

namespace sapphirespan {

/** How many new flows a cold upstream may get, where the configuration states a budget. */
struct WarmUpSettings {
    bool limitsColdUpstreams = false; ///< the budget holds; else a cold upstream gets a fixed share only
    double overshoot = 1.5; ///< largest number of new flows in any second, as a multiple of the budget
    double slack = 5; ///< added to that

    bool operator==(const WarmUpSettings &) const = default;
};

} // namespace sapphirespan
