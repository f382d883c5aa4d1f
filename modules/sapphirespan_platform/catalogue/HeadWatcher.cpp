#include "sapphirespan_platform/catalogue/HeadWatcher.h"

#include "sapphirespan_platform/objects/HttpObjectStore.h"

#include <algorithm>

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr Milliseconds longestWait = 20s;
constexpr Milliseconds answerMargin = 2s;
constexpr Milliseconds firstBackoff = 100ms;
constexpr Milliseconds longestBackoff = 2s;
constexpr int statusNotModified = 304;
} // namespace

HeadWatcher::HeadWatcher(EventLoop &loop, const Endpoint &platform, std::uint64_t seed)
    : m_loop(loop)
    , m_client(loop)
    , m_platform(platform)
    , m_random(seed)
{
}

void HeadWatcher::setActive(bool isActive)
{
    if (isActive == m_isActive) {
        return;
    }
    m_isActive = isActive;
    ++m_round;
    m_retry = {};
    if (isActive) {
        request();
    }
}

void HeadWatcher::request()
{
    ++m_calls;
    const auto target = objectPath({ObjectKind::head, catalogueHeadName}) + "?after=" + std::to_string(m_version)
        + "&wait=" + std::to_string(longestWait.count());
    m_client.send(m_platform, HttpMethod::get, target, {}, "", longestWait + answerMargin,
                  [this, round = m_round](const HttpOutcome &outcome) {
                      if (round == m_round) {
                          takeAnswer(outcome);
                      }
                  });
}

void HeadWatcher::takeAnswer(const HttpOutcome &outcome)
{
    StoreError error {};
    LastReason reason;
    const auto object = readOutcome(outcome, error);
    const bool isUnchanged = outcome.response && outcome.response->status == statusNotModified;
    m_isReachable = object || isUnchanged || error == StoreError::missing;
    m_failures = *m_isReachable && error != StoreError::missing ? 0 : m_failures + 1;
    if (object) {
        m_version = std::max(m_version, object->version);
        if (const auto head = catalogueHeadFromJson(object->value, reason)) {
            signalHead.emit(*head);
        }
    }
    if (m_failures == 0) {
        request();
        return;
    }
    const auto longest = std::min<Milliseconds>(firstBackoff * (1 << std::min(m_failures, 8)), longestBackoff).count();
    const auto pause = Milliseconds(longest / 2 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest / 2)));
    m_retry = m_loop.after(pause, [this] { request(); });
}

} // namespace sapphirespan
