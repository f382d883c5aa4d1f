#pragma once

#include "sapphirespan_cookie/packets/ClientPacket.h"

namespace sapphirespan {

/** Age up to which a first opening cannot have been repeated yet when its reset reaches the client: clients repeat an opening after
    200 ms, and 50 ms are left for the way of the reset and its queue. */
inline constexpr Milliseconds maxUnrepeatedOpeningAge {150};

/** Time over which packets are counted to tell whether an instance has little to read. A link that stands still for up to half of it
    does not make a busy instance look like one with little to read. */
inline constexpr Milliseconds readingWindow {4000};

/** Packets of open flows in the running window and the one before from which an instance has more than little to read. Where packets wait,
    they are read as fast as the link or the processor allows. Fewer in four to eight seconds would be a link of 0.6 Mbit/s at most, a
    sixteenth of the slowest in use, or 0.5 ms of processor time for each packet at 0.028 cores. */
inline constexpr std::uint32_t maxPacketsWhenQuiet = 200;

/** The same of openings, which carry no data: 1.6 Mbit/s at 100 bytes each in four seconds, below the slowest link in use. A processor
    that does not keep up with them shows in ticks that come late. They are all that is left to read where no upstream is left, and
    are to be rejected at once then; with a limit of 1,000 a fifth of them was dropped where all upstreams were cold. */
inline constexpr std::uint32_t maxOpeningsWhenQuiet = 8000;

/** Packets that were read within a readingWindow. */
struct ReadCounts {
    std::uint32_t openings = 0;
    std::uint32_t others = 0;
};

/** A packet that this instance forwarded, and whose effect it has read since. */
struct CausalSample {
    FlowEnds flow;
    SteadyTime forwardedAt {};
};

/** What an instance knows about the time for which packets wait before it reads them. A packet carries no time, but its link and
    socket are first in, first out: once the effect of a packet forwarded at time t has been read, all that is read was sent after t.

    A sample is wrong if another instance forwarded a copy of the same packet with the same effect. For an opening that takes the
    same upstream by chance, and for any sample a fabric that moves the flow away and back while packets wait. Hence two
    samples of different flows have to agree. A pause of the process makes no sample wrong, only older.
*/
struct OpeningAge {
    std::array<std::optional<CausalSample>, 2> latest; ///< of different flows, the later one first
    SteadyTime windowStartedAt {};
    ReadCounts inWindow;
    ReadCounts inLastWindow;
};

/** Counts a packet that was read. Thread safety: none, as for the other functions. */
void notePacketRead(OpeningAge &age, bool isOpening, SteadyTime now);

/** Records that the effect of a packet of a flow was read. One that is read in the batch in which the packet was forwarded is not its
    effect, since packets leave after their batch; it is ignored. @pre neither the packet nor the opening of the flow was repeated */
void noteEffectRead(OpeningAge &age, const FlowEnds &flow, SteadyTime forwardedAt, SteadyTime now);

/** @returns the time within which a packet that is read now was sent, or nothing if there are too few samples. */
std::optional<Microseconds> maxPacketAge(const OpeningAge &age, SteadyTime now);

/** @returns whether a first opening that is read now may have been repeated, so that its flow may be open through another instance.
    @param now read from the clock just before; the time of the batch is earlier */
bool mayBeRepeatedElsewhere(const OpeningAge &age, SteadyTime now);

/** @returns whether so few packets are read that none can be waiting. A link that stood still looks the same: ask only where
    reports of peers have come through it. @pre the latest packet was counted */
bool hasLittleToRead(const OpeningAge &age);

/** @returns the bound of the age for logs, for example "sent within 312 ms" or "age unknown". */
std::string describeAge(const OpeningAge &age, SteadyTime now);

} // namespace sapphirespan
