#include "FlowLineSampler.h"

#include <algorithm>

namespace sapphirespan {

namespace {

constexpr Milliseconds second {1000};

/** Mixes all bits of a number into each other (the finalizer of SplitMix64). */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

std::uint64_t hashOf(const FlowEnds &flow)
{
    const auto numberOf = [](const Ipv4Endpoint &end) { return (std::uint64_t(end.address) << 16) | end.port; };
    return mix(mix(numberOf(flow.client)) + numberOf(flow.service));
}

bool endsOrRejectsFlow(CookieEventKind kind)
{
    return kind == CookieEventKind::flowReset || kind == CookieEventKind::openingRejected || kind == CookieEventKind::rejectionWithheld;
}

} // namespace

bool isSampled(const FlowEnds &flow)
{
    return hashOf(flow) % sampledFlowInterval == 0;
}

std::string_view reasonOf(std::string_view detail)
{
    return detail.substr(0, detail.find_first_of(":;"));
}

FlowLineSampler::FlowLineSampler()
    : m_decisions(enumCount<CookieEventKind>, decisionLinesPerSecond)
{
    m_reasonLines.reserve(reasonLinesPerSecond);
}

bool FlowLineSampler::allowsSampled(const FlowEnds &flow)
{
    if (!isSampled(flow)) {
        return false;
    }
    const bool isRare = hashOf(flow) % rareFlowInterval == 0;
    const bool isAllowed = m_sampledLines < (isRare ? sampledLinesPerSecond : sampledLinesPerSecond - rareLinesPerSecond);
    m_sampledLines += isAllowed ? 1 : 0;
    return isAllowed;
}

bool FlowLineSampler::allowsReason(const ReasonLine &line)
{
    if (m_reasonLines.size() >= reasonLinesPerSecond
        || std::find(m_reasonLines.begin(), m_reasonLines.end(), line) != m_reasonLines.end()) {
        return false;
    }
    m_reasonLines.push_back(line);
    return true;
}

std::size_t FlowLineSampler::reasonIndex(CookieEventKind kind, std::string_view reason)
{
    const auto known
        = std::find_if(m_reasons.begin(), m_reasons.end(), [&](const LeftOut &item) { return item.kind == kind && item.reason == reason; });
    if (known == m_reasons.end() && m_reasons.size() < maxReasons) {
        const bool isLast = m_reasons.size() + 1 == maxReasons;
        m_reasons.push_back({kind, isLast ? "other" : std::string(reason), 0});
        return m_reasons.size() - 1;
    }
    return std::min<std::size_t>(static_cast<std::size_t>(known - m_reasons.begin()), m_reasons.size() - 1);
}

bool FlowLineSampler::allows(const CookieEvent &event, SteadyTime now)
{
    if (now - m_second >= second) {
        m_second = now;
        m_sampledLines = 0;
        m_reasonLines.clear();
    }
    if (allowsSampled(*event.flow)) {
        return true;
    }
    if (!endsOrRejectsFlow(event.kind)) {
        return m_decisions.allows(static_cast<std::size_t>(event.kind), now);
    }
    const auto reason = reasonIndex(event.kind, reasonOf(event.detail));
    if (allowsReason({reason, event.upstream})) {
        return true;
    }
    ++m_reasons[reason].lines;
    return false;
}

std::vector<FlowLineSampler::LeftOut> FlowLineSampler::takeLeftOut()
{
    std::vector<LeftOut> result;
    const auto decisions = m_decisions.takeLeftOut();
    for (std::size_t kind = 0; kind < decisions.size(); ++kind) {
        if (decisions[kind] > 0) {
            result.push_back({static_cast<CookieEventKind>(kind), "", decisions[kind]});
        }
    }
    for (auto &reason : m_reasons) {
        if (reason.lines > 0) {
            result.push_back(reason);
            reason.lines = 0;
        }
    }
    return result;
}

} // namespace sapphirespan
