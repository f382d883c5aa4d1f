#pragma once

#include "sapphirespan_upstream/state/UpstreamRegister.h"

namespace sapphirespan {

/** What one probe of an upstream's status endpoint brought. */
struct ProbeOutcome {
    bool isAnswered = false;
    UpstreamPhase claimed = UpstreamPhase::open; ///< what the endpoint says of itself; meaningful if answered
    std::uint32_t connections = 0; ///< open connections, as of `age` ago
    std::uint32_t slotsInUse = 0;
    Milliseconds age {0}; ///< how old the numbers are, as far as the endpoint says
};

/** One instance's opinion of an upstream, formed with hysteresis from probes and from the outcomes of flows.

    Endpoints may lag or lie: an endpoint that answers "ready" does not outweigh flows that get no answer.
    Thread safety: none.
*/
struct HealthOpinion {
    UpstreamPhase phase = UpstreamPhase::open;
    std::uint32_t failures = 0; ///< consecutive failed probes
    std::uint32_t successes = 0; ///< consecutive answered probes
    std::uint32_t answeredFlows = 0; ///< flows of this window that got past their opening packet
    std::uint32_t unansweredFlows = 0; ///< flows of this window whose opening packet came again
    SteadyTime windowStart {};
};

/** Takes in one probe. Claims of draining and shedding count at once, failure and recovery after repetition. */
void recordProbe(HealthOpinion &opinion, const ProbeOutcome &outcome);

/** Takes in the fate of a flow's opening packet. */
void recordFlowOutcome(HealthOpinion &opinion, bool isAnswered, SteadyTime now);

} // namespace sapphirespan
