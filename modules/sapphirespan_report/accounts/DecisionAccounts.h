#pragma once

#include "sapphirespan_flow/sapphirespan_flow.h"

namespace sapphirespan {

/** What one instance did with the packets that reached it. Thread safety: none. */
struct DecisionAccounts {
    std::uint64_t fromFabric = 0; ///< packets handed over by the fabric
    std::uint64_t fromPeers = 0; ///< packets relayed to this instance
    std::uint64_t forwarded = 0; ///< sent to an upstream
    std::uint64_t relayed = 0; ///< sent on to the owner of the bucket
    std::uint64_t refused = 0; ///< answered by a refusal
    std::array<std::uint64_t, enumCount<DropReason>> dropped {};

    /** @returns the packets dropped for any reason. */
    std::uint64_t totalDropped() const;

    /** @returns whether each packet that came in was forwarded, relayed, refused or dropped, exactly once. */
    bool addUp() const;
};

/** What one instance did with the new flows of one service. */
struct FlowAccounts {
    std::uint64_t placedOnDefault = 0; ///< new flows sent to the default upstream of their bucket
    std::uint64_t placedElsewhere = 0; ///< new flows sent to another upstream and remembered
    std::uint64_t refused = 0; ///< new flows refused; nothing of them was forwarded
    std::uint64_t unplaced = 0; ///< opening packets dropped because nothing could take them and a refusal might be untrue
    std::uint64_t repeatedOpenings = 0; ///< opening packets of flows already placed
};

} // namespace sapphirespan
