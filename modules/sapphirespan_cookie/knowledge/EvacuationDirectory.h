#pragma once

#include "sapphirespan_cookie/knowledge/EvacuationEntry.h"

#include "sapphirespan_base/sapphirespan_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespan {

/** What happened to one order. */
enum class EvacuationNewsKind : std::uint8_t {
    started, ///< a data centre gets no new flows any more
    takenBack, ///< the order was taken back, but stays in force until the upstreams are known up to then
    ended, ///< the data centre gets new flows again
    held, ///< the order is of an earlier store generation, and the store no longer lists it
    passedOver, ///< the order is not applied
    count
};

struct EvacuationNews {
    EvacuationNewsKind kind = EvacuationNewsKind::count;
    std::string dataCentre;
    std::uint64_t revision = 0; ///< ordered store revision of the order, or of its removal
    std::string_view reason {}; ///< refers to a literal
    Milliseconds delay {0}; ///< of `ended`: time since it was learned that the order was taken back
};

/** Longest time for which an order stays in force after it was taken back. Upstreams are usually confirmed within one blocking
    query, its pause and the way between instances, 2.5 s; one failed query adds 1.4 s. The store may then be away: a data centre
    without new flows does more harm than a few new flows to upstreams that have just become cold. */
inline constexpr Milliseconds maxTakeBackDelay {4000};

/** Orders to empty data centres.

    Entries are merged by ordered revision: the higher one wins, and at equal revisions an order that was taken back. An order that
    a later complete list of its store generation lacks was taken back. One that a list of a later generation lacks is held, since
    the store was restored from a copy that may be older than the order: it stays in force until an order for the same data centre
    is seen in the new generation and taken back. The result does not depend on the sequence in which entries and lists arrive, and
    an order that was taken back does not come back by an entry that a peer still has.

    Entries of orders that were taken back are kept, so that they reach peers that have missed it. Names that are empty or longer
    than maxDataCentreNameBytes are ignored; who reads them from the store logs them. Thread safety: none.
*/
class EvacuationDirectory
{
public:
    /** Merges one entry of unknown age. @returns whether the entries changed */
    bool merge(const EvacuationEntry &entry, SteadyTime now);

    /** Merges what changed up to the revision of `changes` since a revision up to which this directory is complete.
        @returns whether the entries changed */
    bool mergeChanges(const EvacuationList &changes, SteadyTime now);

    /** Merges a complete list of the store or of a peer. Orders that it lacks were taken back, unless they are newer or of an earlier
        store generation. A list of revision 0 is not complete, and only its entries are merged. @returns whether the entries
        changed */
    bool reconcileWithList(const EvacuationList &list, SteadyTime now);

    /** Ends orders that were taken back, once the upstreams are known up to that revision or after maxTakeBackDelay.
        @param upstreamsRevision ordered revision up to which upstreams are known */
    void endTakenBack(std::uint64_t upstreamsRevision, SteadyTime now);

    /** @returns whether any data centre gets no new flows; cheap. */
    bool isAnyInForce() const
    {
        return !m_inForce.empty();
    }

    bool isInForce(const std::string &dataCentre) const;

    /** @returns the data centres that get no new flows, in the order of their names. Valid until the directory changes. */
    const std::vector<std::string> &inForce() const
    {
        return m_inForce;
    }

    /** @returns whether a complete list was merged. */
    bool isLoaded() const
    {
        return m_revision != 0;
    }

    /** @returns the ordered revision up to which this directory is complete; 0 before the first list. */
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /** @returns all entries for peers. Its revision is 0, so that they infer nothing from what it lacks, if orders were passed over
        because there are too many. */
    EvacuationList entries() const;

    /** @returns what happened since the last call, oldest first. */
    std::vector<EvacuationNews> takeNews();

private:
    struct Row {
        EvacuationEntry entry {{}, 0, false};
        bool isInForce = false;
        bool isHeld = false; ///< told already
        std::optional<SteadyTime> takenBackAt; ///< set while it is in force although it was taken back
        std::uint64_t awaitedRevision = 0; ///< of the upstreams, while takenBackAt is set
    };

    bool mergeKnownUpTo(EvacuationEntry entry, std::uint64_t listRevision, SteadyTime now);
    bool isTakenBackMeanwhile(const EvacuationEntry &entry, const Row *known) const;
    Row *findOrAdd(const EvacuationEntry &entry);
    void store(Row &row, const EvacuationEntry &entry, std::uint64_t listRevision, SteadyTime now);
    std::uint64_t completeUpTo(std::uint64_t generation) const;
    void raiseRevision(std::uint64_t revision);
    void noteHeld();
    void updateInForce();

    std::map<std::string, Row> m_rows; ///< by data centre
    std::map<std::uint64_t, std::uint64_t> m_completeUpTo; ///< ordered revision by store generation
    std::uint64_t m_revision = 0;
    bool m_isIncomplete = false; ///< an order was passed over because there are too many
    std::vector<std::string> m_inForce;
    std::vector<EvacuationNews> m_news;
};

} // namespace sapphirespan
