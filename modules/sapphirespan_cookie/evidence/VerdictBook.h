#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace sapphirespan {

/** Result of a connection attempt to an upstream's host. */
enum class ProbeResult : std::uint8_t {
    connected,
    refused, ///< the host answered, but nothing listens on the port
    silent, ///< no answer
    count
};

template<>
struct NameTable<ProbeResult> {
    static constexpr std::array<std::string_view, enumCount<ProbeResult>> names {"connected", "refused", "silent"};
};

/** Identifies the instance that probed; stays the same when the instance restarts. */
using ProberId = std::uint32_t;

/** Subject of a verdict: either one upstream or a whole data centre. */
struct VerdictSubject {
    FlowCookie upstream = 0; ///< 0 if the subject is a data centre
    std::string dataCentre; ///< empty if the subject is an upstream

    auto operator<=>(const VerdictSubject &) const = default;
};

/** Conclusion that one instance drew from its own probes or, for a data centre that recovered, from progress of a flow. */
struct Verdict {
    VerdictSubject subject;
    ProberId prober = 0; ///< instance that probed
    std::string proberDataCentre; ///< data centre from which it probed
    ProbeResult result = ProbeResult::connected; ///< for a data centre: connected if any of its hosts answered
    SteadyTime foundAt {};
    bool isHostSilent = false; ///< the upstream's host was proven silent as well, which speaks against its open flows
};

/** @returns whether a probe with this result speaks against placing flows. */
inline bool isFailure(ProbeResult result)
{
    return result != ProbeResult::connected;
}

/** Number of instances whose failure verdicts are accepted without a probe of one's own. A single one may be behind a lossy
    link; that three lose two probes each to the same upstream, but none of their self-check probes, is unlikely to happen by chance. */
inline constexpr std::size_t unreachableQuorum = 3;

/** Number of instances per data centre that probe an unreachable subject again. */
inline constexpr std::size_t retryProbersPerDataCentre = 2;

/** Additional delay before the other instances probe an unreachable subject, unless a verdict of those instances arrives first. */
inline constexpr Milliseconds backupRetryDelay {700};

/** Age from which a verdict no longer counts towards unreachableQuorum. */
inline constexpr Milliseconds quorumVerdictMaxAge {1500};

/** Age from which a verdict is no longer forwarded to peers. */
inline constexpr Milliseconds forwardedVerdictMaxAge {1000};

/** Time after which a failure verdict no longer speaks against placing flows. Covers the longest retry backoff with its
    jitter and the time that the next verdict takes to arrive. */
inline constexpr Milliseconds verdictLifetime {7000};

/** Verdicts of this instance and of its peers, by subject. Thread safety: none. */
class VerdictTable
{
public:
    /** Adds a verdict unless the subject is known to have answered at the same time or later. Keeps the latest failure of each
        prober, for at most unreachableQuorum probers per data centre.

        @returns whether it is news: a failure found by one more instance, the first silence of the host found by one, or an answer
        while failures were recorded */
    bool insert(const Verdict &verdict);

    /** @returns the number of instances in the given data centres whose failure verdict on the subject is more recent than
        its last known answer and younger than quorumVerdictMaxAge. */
    std::size_t countUnreachableVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres,
                                         SteadyTime now) const;

    /** @returns the number of those among countUnreachableVerdicts() that found the host silent after `since`. */
    std::size_t countHostSilentVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres,
                                        SteadyTime since, SteadyTime now) const;

    /** @returns whether the given instance is to probe an unreachable subject again: fewer than retryProbersPerDataCentre
        instances of its data centre with a lower id have reported a failure. */
    bool isRetryProber(const VerdictSubject &subject, ProberId prober, std::string_view proberDataCentre) const;

    /** @returns at most `most` verdicts that are younger than forwardedVerdictMaxAge, the most recent first. */
    std::vector<Verdict> verdictsToForward(SteadyTime now, std::size_t most) const;

    /** Removes verdicts older than verdictLifetime. */
    void removeExpired(SteadyTime now);

private:
    struct Entry {
        std::vector<Verdict> failures; ///< one per prober, at most unreachableQuorum per data centre
        std::optional<Verdict> lastAnswer;
    };

    template<typename Condition>
    std::size_t countVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> proberDataCentres, SteadyTime now,
                              Condition condition) const;

    std::map<VerdictSubject, Entry> m_entries;
};

} // namespace sapphirespan
