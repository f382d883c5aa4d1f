#pragma once

#include "sapphirespan_cookie/sapphirespan_cookie.h"
#include "sapphirespan_report/logs/LogBudget.h"

#include <string>

namespace sapphirespan {

/** One in this many flows is sampled: all lines on it are written. */
inline constexpr std::uint64_t sampledFlowInterval = 64;

/** One in this many flows is among the sampled ones of which lines are still written when there are too many of them. */
inline constexpr std::uint64_t rareFlowInterval = 1024;

/** Lines a second on sampled flows, and how many of them are kept for the rarer ones. A line costs about as much processor time as ten
    packets. */
inline constexpr std::size_t sampledLinesPerSecond = 12;
inline constexpr std::size_t rareLinesPerSecond = 3;

/** Lines a second on different reasons and upstreams for which other flows ended or were rejected. */
inline constexpr std::size_t reasonLinesPerSecond = 12;

/** Lines a second of each other kind of decision. */
inline constexpr std::uint32_t decisionLinesPerSecond = 5;

/** Reasons that are told apart in the counts of lines left out. */
inline constexpr std::size_t maxReasons = 64;

/** @returns whether all lines on a flow are written. The same flows are sampled at all instances and after each start, so that the
    logs of several instances tell the whole course of a flow. */
bool isSampled(const FlowEnds &flow);

/** @returns the part of an event's detail that names the reason: up to a colon or semicolon, after which figures follow. */
std::string_view reasonOf(std::string_view detail);

/** Chooses the lines on decisions about flows that are written, since an instance has too little processor time for all.

    All lines of sampled flows are written within a bound. Of what ends or rejects other flows, the first line a second of each reason
    and upstream is written, within a bound as well. What is left out of these is counted by reason. Of other decisions some
    lines of each kind are written.

    Thread safety: none.
*/
class FlowLineSampler
{
public:
    /** Lines that were left out. */
    struct LeftOut {
        CookieEventKind kind = CookieEventKind::count;
        std::string reason; ///< empty for decisions that end and reject no flow
        std::uint64_t lines = 0;
    };

    FlowLineSampler();

    /** @returns whether the line on an event is written; otherwise it is counted. @pre the event is about a flow */
    bool allows(const CookieEvent &event, SteadyTime now);

    /** @returns what was left out since the last call, by kind and reason. */
    std::vector<LeftOut> takeLeftOut();

private:
    struct ReasonLine {
        std::size_t reason = 0; ///< index into m_reasons
        FlowCookie upstream = 0;

        bool operator==(const ReasonLine &) const = default;
    };

    bool allowsSampled(const FlowEnds &flow);
    bool allowsReason(const ReasonLine &line);
    std::size_t reasonIndex(CookieEventKind kind, std::string_view reason);

    LogBudget m_decisions;
    SteadyTime m_second {};
    std::size_t m_sampledLines = 0; ///< in the running second
    std::vector<ReasonLine> m_reasonLines; ///< likewise
    std::vector<LeftOut> m_reasons; ///< at most maxReasons; the last of them takes all others
};

} // namespace sapphirespan
