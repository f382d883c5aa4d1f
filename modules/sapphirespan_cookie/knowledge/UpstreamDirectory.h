#pragma once

#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirespan {

/** Registration state of an upstream in the store. */
enum class RegistrationPhase : std::uint8_t {
    ready,
    draining, ///< shutting down; keeps its open flows but gets no new ones
    unreadable, ///< its latest entry cannot be parsed; keeps its open flows but gets no new ones
    departed, ///< no longer listed in the store; packets of its flows may still arrive
    count
};

template<>
struct NameTable<RegistrationPhase> {
    static constexpr std::array<std::string_view, enumCount<RegistrationPhase>> names {"ready", "draining", "unreadable", "departed"};
};

/** One version of the registration of one upstream process, as listed in the store and relayed by peers. Each start of an
    upstream is a separate registration. */
struct UpstreamEntry {
    UpstreamId id = 0;
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; distinguishes starts with the same id
    std::uint64_t revision = 0; ///< ordered store revision at which this version was written
    std::string service;
    Ipv4Endpoint address;
    std::string dataCentre;
    std::uint16_t slots = 1; ///< number of requests that it processes concurrently
    RegistrationPhase phase = RegistrationPhase::ready;
    std::uint32_t warmUpRemainingMs = 0; ///< remaining warm-up time, during which it responds slowly

    bool operator==(const UpstreamEntry &) const = default;
};

/** Complete list of the store's upstreams at one revision. */
struct UpstreamList {
    std::uint64_t revision = 0;
    std::vector<UpstreamEntry> entries;
    std::vector<UpstreamId> unreadable; ///< listed, but the entry cannot be parsed
};

/** Everything that this instance knows about one start of one upstream. */
struct UpstreamRow {
    UpstreamEntry entry;
    FlowCookie cookie = 0;
    Endpoint address;
    bool hasCookieCollision = false; ///< merge() dropped another start with this cookie; this one gets no new flows and find() skips it
    SteadyTime firstLearnedAt {};
    SteadyTime entryUpdatedAt {}; ///< when this instance received the current entry
    SteadyTime warmUpEndsAt {}; ///< when its warm-up is expected to end
    bool hasDrained = false; ///< said that it drains, so that it leaves on purpose
    std::optional<SteadyTime> departedAt; ///< when this instance learned that it had left the list
    SteadyTime heldBackUntil {}; ///< gets no new flows until then, as a restored store may list it although it drains or has left
    bool isReserved = false; ///< for the most urgent routes of its service
    UpstreamEvidence evidence;
    UpstreamLoad load;
};

/** @returns whether an upstream may get new flows by what the store says of it. */
inline bool isReady(const UpstreamRow &row, SteadyTime now)
{
    return row.entry.phase == RegistrationPhase::ready && now >= row.heldBackUntil;
}

/** @returns the cookie of one start of one upstream: the first four bytes of a BLAKE2b digest, or 1 where these are 0.

    Thread safety: pure function; every instance computes the same value.
*/
FlowCookie cookieOf(UpstreamId id, std::int64_t startedAt);

/** All starts of upstreams that may still have open flows, indexed by cookie.

    Entries are merged by ordered revision: the higher revision wins, and at equal revisions `departed` wins. The result does
    not depend on the order in which entries arrive from the store and from peers. Of two starts of an id the one with the higher
    revision is the later one, or across store generations the one that started later.

    An entry of a later generation may be older than what is known, because the store was restored from a copy. If it says that
    an upstream is ready which was not, and its revision does not show that it was written later, the upstream is held back: it
    keeps its flows but gets no new ones until a later entry arrives, or until the store would have removed it.

    Thread safety: none.
*/
class UpstreamDirectory
{
public:
    using Rows = std::unordered_map<FlowCookie, UpstreamRow>;

    UpstreamDirectory() = default;
    UpstreamDirectory(const UpstreamDirectory &) = delete;
    UpstreamDirectory &operator=(const UpstreamDirectory &) = delete;

    /** Merges one entry. @returns whether the stored entry changed */
    bool merge(const UpstreamEntry &entry, SteadyTime now);

    /** Marks the latest start of an id as departed because a complete list of the given revision lacks it. @returns the changed
        entry, or nothing if nothing changed */
    std::optional<UpstreamEntry> markUnlisted(UpstreamId id, std::uint64_t listRevision, SteadyTime now);

    /** Lets all upstreams that are held back wait anew, since the store does not tell whether they are still there. */
    void prolongHoldBack(SteadyTime now);

    /** Merges a complete list and marks unlisted upstreams as departed unless their revision is higher than the list's.
        @returns the entries that changed
    */
    std::vector<UpstreamEntry> reconcileWithList(const UpstreamList &list, SteadyTime now);

    /** Marks the latest start of an id as departed. @param revision of the store's entry, or 0 if unknown; one that
        is lower than the known entry's changes nothing @returns the changed entry, or nothing if nothing changed */
    std::optional<UpstreamEntry> markDeparted(UpstreamId id, std::uint64_t revision, SteadyTime now);

    /** Marks the latest start of an id as unreadable; parameters and result as for markDeparted(). */
    std::optional<UpstreamEntry> markUnreadable(UpstreamId id, std::uint64_t revision, SteadyTime now);

    /** Removes the starts whose departure was learned before the given time. */
    void removeDepartedBefore(SteadyTime before);

    /** @returns the start with this cookie, or nullptr if there is none or several starts share the cookie. */
    UpstreamRow *find(FlowCookie cookie);

    /** @returns whether another upstream that started later is listed at the address of this one, which has then ended. */
    bool isReplaced(const UpstreamRow &row) const;

    /** @returns the entries of all known starts, including departed ones. */
    std::vector<UpstreamEntry> entries() const;

    /** @returns an order-independent digest over ids and revisions of all listed starts; equal at instances that know the
        same ones. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    /** @returns the listed starts of a service in unspecified order, including those with a cookie collision. Valid until the
        directory changes. */
    const std::vector<UpstreamRow *> &listedForService(const std::string &service) const;

    /** @returns the number of starts that have not departed. */
    std::size_t listedCount() const;

    Rows &rows()
    {
        return m_rows;
    }

    const Rows &rows() const
    {
        return m_rows;
    }

private:
    UpstreamRow *latestStartOf(UpstreamId id);
    void updateRow(UpstreamRow &row, const UpstreamEntry &entry, SteadyTime now);
    void removeFromServiceIndex(UpstreamRow &row);
    std::optional<UpstreamEntry> setPhaseOfLatestStart(UpstreamId id, RegistrationPhase phase, std::uint64_t revision, SteadyTime now);

    Rows m_rows;
    std::unordered_map<std::string, std::vector<UpstreamRow *>> m_listedByService; ///< by service; rows keep their address in m_rows
    std::unordered_map<UpstreamId, FlowCookie> m_latestCookieById; ///< cookie of the latest start
    std::uint64_t m_digest = 0;
};

} // namespace sapphirespan
