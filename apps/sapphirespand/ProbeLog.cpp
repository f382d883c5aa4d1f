#include "ProbeLog.h"

#include <numeric>

namespace sapphirespan {

namespace {

constexpr std::uint32_t linesPerSecond = 2;

/** @returns whether an attempt did not show what it was made for. A refusal answers each question but whether the upstream accepts
    connections. Attempts that were not made have a line of their own. */
bool isFailed(ProbePurpose purpose, ConnectionOutcome outcome)
{
    return outcome == ConnectionOutcome::silent || (outcome == ConnectionOutcome::refused && purpose == ProbePurpose::upstream);
}

std::string timeSince(const std::optional<SteadyTime> &time, SteadyTime now)
{
    return time ? std::to_string(std::chrono::duration_cast<Milliseconds>(now - *time).count()) + " ms ago" : "never";
}

} // namespace

ProbeLog::ProbeLog()
    : m_budget(enumCount<ProbePurpose>, linesPerSecond)
{
}

std::optional<Json::Value> ProbeLog::record(const ProbeRequest &request, const ConnectionResult &result, bool isBounded, SteadyTime now)
{
    std::optional<Json::Value> members;
    const std::pair key(request.cookie, request.address);
    const bool isWritten = (result.isLate || isFailed(request.purpose, result.outcome))
        && (!isBounded || m_budget.allows(static_cast<std::size_t>(request.purpose), now));
    if (isWritten) {
        const auto known = m_answers.find(key);
        const auto answers = known != m_answers.end() ? known->second : Answers {};
        members.emplace(Json::objectValue);
        (*members)["address"] = request.address.toText();
        (*members)["purpose"] = std::string(nameOf(request.purpose));
        (*members)["result"] = std::string(nameOf(result.outcome));
        (*members)["error"] = result.errorText();
        (*members)["took_us"] = Json::Int64(result.duration.count());
        (*members)["last_connected"] = timeSince(answers.connectedAt, now);
        (*members)["last_refused"] = timeSince(answers.refusedAt, now);
    }
    if (result.outcome == ConnectionOutcome::connected) {
        m_answers[key].connectedAt = now;
    } else if (result.outcome == ConnectionOutcome::refused) {
        m_answers[key].refusedAt = now;
    }
    return members;
}

std::uint64_t ProbeLog::takeLeftOut()
{
    const auto leftOut = m_budget.takeLeftOut();
    return std::accumulate(leftOut.begin(), leftOut.end(), std::uint64_t {0});
}

void ProbeLog::forgetUnknown(const UpstreamDirectory::Rows &known)
{
    std::erase_if(m_answers, [&known](const auto &item) { return !known.contains(item.first.first); });
}

} // namespace sapphirespan
