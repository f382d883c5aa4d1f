#include "Prober.h"

#include <json/reader.h>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds step = 10ms;
constexpr int statusOk = 200;

std::uint32_t countAt(const Json::Value &value, const char *key)
{
    return value.isMember(key) && value[key].isUInt() ? value[key].asUInt() : 0;
}

std::optional<UpstreamPhase> phaseOf(const std::string &state)
{
    if (state == "ready") {
        return UpstreamPhase::open;
    }
    if (state == "draining") {
        return UpstreamPhase::draining;
    }
    if (state == "shedding") {
        return UpstreamPhase::shedding;
    }
    return std::nullopt;
}

} // namespace

ProbeOutcome probeOutcomeOf(const HttpOutcome &outcome)
{
    ProbeOutcome result;
    if (!outcome.response || outcome.response->status != statusOk) {
        return result;
    }
    const auto &body = outcome.response->body;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(body.data(), body.data() + body.size(), &value, nullptr) || !value.isObject() || !value["state"].isString()) {
            return result;
        }
    } catch (const Json::Exception &) {
        return result;
    }
    const auto phase = phaseOf(value["state"].asString());
    if (!phase) {
        return result;
    }
    result.isAnswered = true;
    result.claimed = *phase;
    result.connections = countAt(value, "connections");
    result.slotsInUse = countAt(value, "slots_in_use");
    result.age = Milliseconds(countAt(value, "age_ms"));
    return result;
}

Prober::Prober(EventLoop &loop, Milliseconds interval, Handler handler)
    : m_loop(loop)
    , m_client(loop)
    , m_interval(interval)
    , m_handler(std::move(handler))
{
    m_timer = m_loop.every(step, [this] { probeDue(); });
}

void Prober::setCatalogue(const Catalogue &catalogue)
{
    m_targets.clear();
    for (const auto &content : catalogue.services) {
        for (std::size_t ordinal = 0; ordinal < content->upstreams.size(); ++ordinal) {
            const auto &upstream = content->upstreams[ordinal];
            if (upstream.spec.status && !upstream.isRemoved) {
                m_targets.push_back({{content->number, static_cast<UpstreamOrdinal>(ordinal)}, *upstream.spec.status});
            }
        }
    }
}

void Prober::probeDue()
{
    m_credit += static_cast<double>(m_targets.size()) * static_cast<double>(step.count()) / static_cast<double>(m_interval.count());
    for (; m_credit >= 1 && !m_targets.empty(); m_credit -= 1) {
        m_next = (m_next + 1) % m_targets.size();
        const auto &target = m_targets[m_next];
        m_client.send(target.status, HttpMethod::get, "/status", {}, "", m_interval,
                      [this, name = target.name](const HttpOutcome &outcome) { m_handler(name, probeOutcomeOf(outcome)); });
    }
}

} // namespace sapphirespan
