#pragma once

#include "sapphirespan_config/sapphirespan_config.h"
#include "sapphirespan_net/sapphirespan_net.h"
#include "sapphirespan_platform/objects/ObjectStore.h"

#include <random>

namespace sapphirespan {

/** Watches the catalogue head at the platform by waiting reads, with jittered backoff while the platform is away.

    Thread safety: none.
*/
class HeadWatcher
{
public:
    /** @param seed of the jitter */
    HeadWatcher(EventLoop &loop, const Endpoint &platform, std::uint64_t seed);

    /** Starts or stops watching; a wait in progress is given up when watching stops. */
    void setActive(bool isActive);

    bool isActive() const
    {
        return m_isActive;
    }

    /** @returns whether the latest call was answered; nothing before the first outcome. */
    std::optional<bool> isPlatformReachable() const
    {
        return m_isReachable;
    }

    /** @returns how many calls were made. */
    std::uint64_t calls() const
    {
        return m_calls;
    }

    /** Emitted with each head that the platform reports. */
    sigc::signal<void(const CatalogueHead &)> signalHead;

private:
    void request();
    void takeAnswer(const HttpOutcome &outcome);

    EventLoop &m_loop;
    HttpClient m_client;
    Endpoint m_platform;
    std::mt19937_64 m_random;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_round = 0; ///< an answer of an earlier round is ignored
    int m_failures = 0;
    bool m_isActive = false;
    std::optional<bool> m_isReachable;
    EventHandle m_retry;
};

} // namespace sapphirespan
