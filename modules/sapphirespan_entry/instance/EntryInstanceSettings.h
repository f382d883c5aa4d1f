#pragma once

#include "sapphirespan_config/sapphirespan_config.h"

namespace sapphirespan {

/** What one instance's decisions need to know of its settings. */
struct EntryInstanceSettings {
    std::string name;
    std::string dataCentre;
    Endpoint peer; ///< where peers reach it
    Endpoint control;
    Endpoint returnPath; ///< where packets for callers are sent
    std::vector<Endpoint> seeds; ///< peer endpoints of other instances
    std::uint32_t mostFlowEntries = 1U << 20;
    InstanceTiming timing;
    std::uint64_t randomSeed = 0; ///< of the draws among upstreams
};

} // namespace sapphirespan
