#pragma once

#include "sapphirespan_fleet/messages/PeerMessages.h"

#include <deque>

namespace sapphirespan {

/** Sending end of the entries that go to one peer: numbered, confirmed, and repeated until confirmed.

    Entries are idempotent, and their order does not matter to the receiver. Thread safety: none.
*/
class EntryStreamSender
{
public:
    /** Appends an entry. The end of a flow is no hurry, and mostly travels with the next placement. */
    void append(const EntryNews &entry, SteadyTime now);

    /** Forgets everything and starts a new epoch, for a receiver with a new incarnation or one that is gone. */
    void restart();

    /** @returns the messages that are due: entries not yet sent that fill a message or have waited for others long enough,
        and unconfirmed ones whose answer is late. While nothing is confirmed, ever fewer are repeated.
        @param receiver incarnation of the receiver @param isUrgent whether entries wait for no others
    */
    std::vector<EntryCopy> takeDue(Incarnation receiver, SteadyTime now, bool isUrgent);

    /** Takes in a confirmation; one of another epoch is ignored. */
    void confirm(std::uint32_t epoch, std::uint64_t upTo, SteadyTime now);

    /** @returns whether everything appended was confirmed. */
    bool isConfirmed() const
    {
        return m_pending.empty();
    }

    /** @returns the number of the latest entry appended. */
    std::uint64_t lastNumber() const
    {
        return m_firstPending + m_pending.size() - 1;
    }

    /** @returns the number up to which entries are confirmed. */
    std::uint64_t confirmedNumber() const
    {
        return m_firstPending - 1;
    }

private:
    std::deque<EntryNews> m_pending;
    std::uint32_t m_epoch = 1;
    std::uint64_t m_firstPending = 1; ///< number of the first entry of m_pending
    std::uint64_t m_nextToSend = 1;
    std::uint64_t m_highestSent = 0;
    SteadyTime m_waitingSince {}; ///< when the first unconfirmed entry was sent, or confirmation last made progress
    SteadyTime m_dueAt {}; ///< when entries that were not sent have waited long enough
    int m_repetitions = 0; ///< since the latest confirmation
};

/** Receiving end: finds the number up to which all entries have arrived. Thread safety: none. */
class EntryStreamReceiver
{
public:
    /** Takes in the numbers of a message. @returns the number to confirm */
    std::uint64_t receive(std::uint32_t epoch, std::uint64_t firstNumber, std::size_t count);

private:
    std::uint32_t m_epoch = 0;
    std::uint64_t m_contiguous = 0;
};

} // namespace sapphirespan
