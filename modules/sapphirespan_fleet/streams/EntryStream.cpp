#include "sapphirespan_fleet/streams/EntryStream.h"

#include <algorithm>

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr std::size_t mostEntriesPerMessage = 64;
constexpr std::size_t mostUnconfirmed = 4096;
constexpr Microseconds confirmationLate = 100ms;
constexpr int mostDoublings = 4;
constexpr Microseconds placedBatchTime = 10ms;
constexpr Microseconds endedBatchTime = 10s;
} // namespace

void EntryStreamSender::append(const EntryNews &entry, SteadyTime now)
{
    const auto due = now + (entry.change == EntryChange::ended ? endedBatchTime : placedBatchTime);
    const bool isFirst = m_nextToSend == m_firstPending + m_pending.size();
    m_dueAt = isFirst ? due : std::min(m_dueAt, due);
    m_pending.push_back(entry);
}

void EntryStreamSender::restart()
{
    const auto nextEpoch = m_epoch + 1;
    *this = {};
    m_epoch = nextEpoch;
}

std::vector<EntryCopy> EntryStreamSender::takeDue(Incarnation receiver, SteadyTime now, bool isUrgent)
{
    std::vector<EntryCopy> due;
    const bool isWaiting = m_nextToSend > m_firstPending;
    if (!isWaiting) {
        m_waitingSince = now;
    } else if (now - m_waitingSince >= confirmationLate * (1 << std::min(m_repetitions, mostDoublings))) {
        m_nextToSend = m_firstPending;
        m_dueAt = now;
        m_waitingSince = now;
        ++m_repetitions;
    }
    const auto window = m_repetitions > 1 ? mostEntriesPerMessage : mostUnconfirmed;
    const auto end = std::min(m_firstPending + m_pending.size(), m_firstPending + window);
    while (m_nextToSend < end && (end - m_nextToSend >= mostEntriesPerMessage || now >= m_dueAt || isUrgent)) {
        const auto count = std::min<std::uint64_t>(mostEntriesPerMessage, end - m_nextToSend);
        const auto first = m_pending.begin() + static_cast<std::ptrdiff_t>(m_nextToSend - m_firstPending);
        due.push_back({receiver, m_epoch, m_nextToSend, {first, first + static_cast<std::ptrdiff_t>(count)}});
        m_nextToSend += count;
        m_highestSent = std::max(m_highestSent, m_nextToSend - 1);
    }
    return due;
}

void EntryStreamSender::confirm(std::uint32_t epoch, std::uint64_t upTo, SteadyTime now)
{
    if (epoch != m_epoch || upTo < m_firstPending || upTo > m_highestSent) {
        return;
    }
    const auto confirmed = upTo - m_firstPending + 1;
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(confirmed));
    m_firstPending = upTo + 1;
    m_nextToSend = std::max(m_nextToSend, m_firstPending);
    m_waitingSince = now;
    m_repetitions = 0;
}

std::uint64_t EntryStreamReceiver::receive(std::uint32_t epoch, std::uint64_t firstNumber, std::size_t count)
{
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_contiguous = 0;
    }
    if (epoch < m_epoch) {
        return 0;
    }
    if (firstNumber <= m_contiguous + 1) {
        m_contiguous = std::max(m_contiguous, firstNumber + count - 1);
    }
    return m_contiguous;
}

} // namespace sapphirespan
