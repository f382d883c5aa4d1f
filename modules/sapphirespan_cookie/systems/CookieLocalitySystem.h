#pragma once

#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** The data centre whose upstreams a new flow prefers. */
struct PreferredDataCentre {
    std::string dataCentre;
    bool isStrict = false; ///< upstreams elsewhere get the flow only if none there can take it
    bool isOverflow = false; ///< the flow would have been rejected
};

/** Chooses the data centre of a new flow by the mode that is set. @param route service address of the flow */
PreferredDataCentre chooseDataCentre(CookieState &state, const std::string &service, const Ipv4Endpoint &route);

/** @returns another data centre with room for a new flow that would otherwise be rejected because home is overloaded, or nothing. */
std::optional<PreferredDataCentre> overflowDataCentre(CookieState &state, const std::string &service);

/** Counts where a flow was placed, and why. */
void countPlacement(CookieState &state, const PreferredDataCentre &choice, const UpstreamRow &row);

/** Records what one packet of a flow shows of load, traffic and path. Does nothing unless the mode is `forecast`. */
void noteFlowUpdate(CookieState &state, const UpstreamEntry &upstream, const Ipv4Endpoint &route, const FlowUpdate &update);

/** Computes the shares of new flows that leave, if the last computation is `shareInterval` ago. */
void updateDataCentreShares(CookieState &state);

/** @returns the load of this instance's data centre for a supplement; empty unless the mode is `forecast`. Services whose
    names take too much space are left out, as in ownOutflows(). */
std::vector<ServiceLoadReport> ownServiceLoads(const CookieState &state);

/** @returns what the clients of this instance's data centre offer to others, for a supplement. */
std::vector<OutflowReport> ownOutflows(const CookieState &state);

} // namespace sapphirespan
