#pragma once

#include "sapphirespan_admission/sapphirespan_admission.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <map>
#include <string>
#include <unordered_map>

namespace sapphirespan {

/** Openings of one service for which the budgets of cold upstreams mattered. */
struct ColdOpeningCounts {
    std::uint64_t placed = 0; ///< on a cold upstream, with a slot
    std::uint64_t elsewhere = 0; ///< on another one, while a cold upstream had no slot for them
    std::uint64_t rejected = 0; ///< because only cold upstreams without a slot were left
    std::uint64_t announcedLimited = 0; ///< elsewhere and rejected as of the latest event
};

/** What one instance knows and counts for the budgets of cold upstreams. */
struct WarmUpState {
    KnownInstances known;
    std::size_t mostKnownByPeer = 0; ///< as of the supplements of the last seconds
    SlotAbstention abstention = SlotAbstention::started;
    std::unordered_map<FlowCookie, UpstreamSlots> slots; ///< of upstreams that are cold, or were until lately
    std::map<std::string, ColdOpeningCounts> openings; ///< by service
    bool wasColdPassedOver = false; ///< in the latest choice: a cold upstream had no slot for the opening
    SteadyTime announcedAt {};
};

} // namespace sapphirespan
