#pragma once

#include "sapphirespan_cookie/sapphirespan_cookie.h"
#include "sapphirespan_net/probe/ConnectionProber.h"
#include "sapphirespan_report/logs/LogBudget.h"

#include <json/value.h>

namespace sapphirespan {

/** Decides which failed connection attempts to upstreams get a log line, and says in it what an operator needs in order to find out why
    they failed.

    Thread safety: none.
*/
class ProbeLog
{
public:
    ProbeLog();

    /** Records an attempt that ended, or that was answered after its deadline. @param isBounded whether lines are bounded to a few a second
       for each purpose
        @returns the members of its line, or nothing if it gets none */
    std::optional<Json::Value> record(const ProbeRequest &request, const ConnectionResult &result, bool isBounded, SteadyTime now);

    /** @returns how many lines were left out since the last call. */
    std::uint64_t takeLeftOut();

    /** Forgets earlier attempts to upstreams that are not known any more. */
    void forgetUnknown(const UpstreamDirectory::Rows &known);

private:
    /** Latest attempts to one port of one start of an upstream by how they were answered. */
    struct Answers {
        std::optional<SteadyTime> connectedAt;
        std::optional<SteadyTime> refusedAt;
    };

    LogBudget m_budget;
    std::map<std::pair<FlowCookie, Endpoint>, Answers> m_answers;
};

} // namespace sapphirespan
