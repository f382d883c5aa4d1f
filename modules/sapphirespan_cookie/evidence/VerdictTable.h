#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace sapphirespan {

/** How an upstream's host answered a connection attempt. */
enum class ProbeResult : std::uint8_t {
    connected,
    refused, ///< its host answers, but nothing listens there
    silent,
    count
};

template<>
struct NameTable<ProbeResult> {
    static constexpr std::array<std::string_view, enumCount<ProbeResult>> names {"connected", "refused", "silent"};
};

/** Names one instance in verdicts, whatever its start. */
using ProberId = std::uint32_t;

/** What a verdict is about: one upstream, or all of another data centre. */
struct VerdictSubject {
    FlowCookie upstream = 0; ///< 0 when it is about a data centre
    std::string dataCentre; ///< empty when it is about an upstream

    auto operator<=>(const VerdictSubject &) const = default;
};

/** What one instance found out by connection attempts of its own. */
struct Verdict {
    VerdictSubject subject;
    ProberId prober = 0; ///< who tried
    std::string proberDataCentre; ///< the data centre from which it tried
    ProbeResult result = ProbeResult::connected; ///< of a data centre: connected if anything there answered at all
    SteadyTime foundAt {};
};

/** @returns whether an attempt with this result speaks against placing flows. */
inline bool isFailure(ProbeResult result)
{
    return result != ProbeResult::connected;
}

/** Witnesses that together are believed without an attempt of one's own. One may stand behind a link that loses packets;
    three that lose two attempts each at the same upstream, and none of their control attempts, are not met by chance. */
inline constexpr std::size_t unreachableQuorum = 3;

/** Witnesses of each data centre that try a dark subject again; the others do so this much later, unless one of these did. */
inline constexpr std::size_t retryProbersPerDataCentre = 2;
inline constexpr Milliseconds backupRetryDelay {700};

/** Age up to which a verdict counts as a witness, and up to which it is passed on. */
inline constexpr Milliseconds quorumVerdictMaxAge {1500};
inline constexpr Milliseconds forwardedVerdictMaxAge {1000};

/** Age up to which a verdict speaks against placing flows: the longest pause between two attempts with its jitter, and the
    way of the next verdict here. */
inline constexpr Milliseconds verdictLifetime {7000};

/** The verdicts that this instance made or heard of. Thread safety: none. */
class VerdictTable
{
public:
    /** Takes in a verdict. @returns whether it is news: one more witness, or the first answer after a dark verdict */
    bool insert(const Verdict &verdict);

    /** @returns how many instances of the given data centres found the subject dark lately, after it was last found to
        answer. */
    std::size_t countUnreachableVerdicts(const VerdictSubject &subject, std::initializer_list<std::string_view> vantages,
                                         SteadyTime now) const;

    /** @returns whether a witness should be the one to try a dark subject again: one of the first few known at its vantage. */
    bool isRetryProber(const VerdictSubject &subject, ProberId witness, std::string_view vantage) const;

    /** @returns verdicts young enough to be passed on, the youngest first. */
    std::vector<Verdict> verdictsToForward(SteadyTime now, std::size_t most) const;

    /** Forgets verdicts that no longer matter. */
    void removeExpired(SteadyTime now);

private:
    struct Entry {
        std::vector<Verdict> failures; ///< of different witnesses, at most enoughWitnesses of each vantage
        std::optional<Verdict> lastAnswer; ///< the latest
    };

    std::map<VerdictSubject, Entry> m_entries;
};

} // namespace sapphirespan
