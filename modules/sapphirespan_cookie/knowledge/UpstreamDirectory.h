#pragma once

#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace sapphirespan {

/** What an upstream says of itself. */
enum class RegistrationPhase : std::uint8_t {
    ready,
    draining, ///< leaving; keeps its flows and takes no new one
    unreadable, ///< its latest entry cannot be read; keeps its flows and takes no new one
    departed, ///< no longer listed; its flows may still be on their way
    count
};

template<>
struct NameTable<RegistrationPhase> {
    static constexpr std::array<std::string_view, enumCount<RegistrationPhase>> names {"ready", "draining", "unreadable", "departed"};
};

/** One start of one upstream at one version, as the store lists it and as peers pass it on. */
struct UpstreamEntry {
    UpstreamId id = 0;
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; tells starts with the same id apart
    std::uint64_t revision = 0; ///< of the store, when this version was written
    std::string service;
    Ipv4Endpoint address;
    std::string dataCentre;
    std::uint16_t slots = 1; ///< requests that it works on at once
    RegistrationPhase phase = RegistrationPhase::ready;
    std::uint32_t warmUpRemainingMs = 0; ///< time for which it stays slow after its start

    bool operator==(const UpstreamEntry &) const = default;
};

/** All upstreams that the store lists at one revision. */
struct UpstreamList {
    std::uint64_t revision = 0;
    std::vector<UpstreamEntry> entries;
    std::vector<UpstreamId> unreadable; ///< listed, but the entry cannot be read
};

/** One start of one upstream, as this instance knows it. */
struct UpstreamRow {
    UpstreamEntry entry;
    FlowCookie cookie = 0;
    Endpoint address;
    bool hasCookieCollision = false; ///< another start has the same cookie; neither is placed on nor decoded
    SteadyTime firstLearnedAt {};
    SteadyTime entryUpdatedAt {}; ///< when this instance learned the present entry
    SteadyTime warmUpEndsAt {}; ///< when it expects to have warmed up
    std::optional<SteadyTime> departedAt; ///< when this instance learned that it is no longer listed
    UpstreamEvidence evidence;
    UpstreamLoad load;
};

/** @returns the cookie of one start of one upstream: the first four bytes of a BLAKE2b digest, never 0.

    Thread safety: pure function, the same at every instance.
*/
FlowCookie cookieOf(UpstreamId id, std::int64_t startedAt);

/** All starts of upstreams whose flows may still be open, by cookie.

    Entries are merged by revision, so the order in which they come from the store and from peers does not matter: the
    higher revision wins, and at the same revision a departure wins.

    Thread safety: none.
*/
class UpstreamDirectory
{
public:
    using Rows = std::unordered_map<FlowCookie, UpstreamRow>;

    UpstreamDirectory() = default;
    UpstreamDirectory(const UpstreamDirectory &) = delete;
    UpstreamDirectory &operator=(const UpstreamDirectory &) = delete;

    /** Takes in one entry. @returns whether it changed what is known */
    bool merge(const UpstreamEntry &entry, SteadyTime now);

    /** Takes in a complete list: whoever is missing has departed, unless it is newer than the list.
        @returns the entries that changed
    */
    std::vector<UpstreamEntry> reconcileWithList(const UpstreamList &list, SteadyTime now);

    /** Marks the latest start of an id as no longer listed. @returns its entry if that is news */
    std::optional<UpstreamEntry> markDeparted(UpstreamId id, std::uint64_t revision, SteadyTime now);

    /** Marks the latest start of an id as unreadable. @returns its entry if that is news */
    std::optional<UpstreamEntry> markUnreadable(UpstreamId id, std::uint64_t revision, SteadyTime now);

    /** Forgets starts that departed before `before`. */
    void removeDepartedBefore(SteadyTime before);

    /** @returns the start that a cookie names, or nullptr if it names none or several. */
    UpstreamRow *find(FlowCookie cookie);

    /** @returns every known start, departed ones too. */
    std::vector<UpstreamEntry> entries() const;

    /** @returns an order-independent digest of all listed starts, equal at instances that list the same. */
    std::uint64_t digest() const
    {
        return m_digest;
    }

    /** @returns the listed starts of a service, in no order; ambiguous ones too. Valid until the next change. */
    const std::vector<UpstreamRow *> &listedForService(const std::string &service) const;

    /** @returns how many starts are listed. */
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
    std::unordered_map<std::string, std::vector<UpstreamRow *>> m_listedByService; ///< by service; rows stay where they are in their map
    std::unordered_map<UpstreamId, FlowCookie> m_latestCookieById; ///< by id: the start with the highest revision
    std::uint64_t m_digest = 0;
};

} // namespace sapphirespan
