#pragma once

#include "sapphirespan_entry/sapphirespan_entry.h"

namespace sapphirespan {

/** How instances decide: the product's way, or one of the baselines that it is measured against. */
enum class Scheme : std::uint8_t {
    steering, ///< the product
    hash, ///< buckets over the open upstreams, nothing remembered
    hashWithCache, ///< the same, and each instance remembers the flows that it saw
    count
};

template<>
struct NameTable<Scheme> {
    static constexpr std::array<std::string_view, enumCount<Scheme>> names {"steering", "hash", "hash-cache"};
};

/** How datagrams between instances fare. */
struct LinkFaults {
    double loss = 0; ///< share lost
    double duplicate = 0; ///< share that arrives twice
    Microseconds jitter {0}; ///< longest extra delay; reorders
};

/** One service with its load. */
struct ServiceSetup {
    std::string name = "service";
    std::size_t upstreams = 15;
    TrafficPolicy traffic;
    std::size_t longFlows = 2000; ///< opened during warm-up, kept open to the end
    double newPerSecond = 100; ///< further flows
    double meanLifeSeconds = 5; ///< of further flows
    Milliseconds packetInterval {1000}; ///< between packets of one flow
    Milliseconds slowReportLag {0}; ///< age, not admitted, of the first upstream's load reports
};

/** One run. */
struct ModelSettings {
    std::uint64_t seed = 1;
    Scheme scheme = Scheme::steering;
    std::size_t instances = 8;
    std::size_t dataCentres = 3;
    std::vector<ServiceSetup> services {ServiceSetup {}};
    LinkFaults links;
    InstanceTiming timing;
    Milliseconds longestSkew {3000}; ///< by which instances learn of a change at different times
    Milliseconds fabricLag {500}; ///< after which the fabric notices that an instance is gone or ready
    Milliseconds warmUp {45000}; ///< after which the counts begin
};

/** What a run brought. */
struct ModelCounts {
    std::uint64_t flowsOpened = 0;
    std::uint64_t packetsDelivered = 0;
    std::uint64_t brokenAtWrongUpstream = 0; ///< a packet of an open flow reached another upstream
    std::uint64_t brokenByStall = 0; ///< no packet of an open flow got through for long
    std::uint64_t brokenByRefusal = 0; ///< an open flow was answered by a refusal
    std::uint64_t untrueRefusals = 0; ///< a new flow was refused although an upstream had its opening packet
    std::uint64_t misdelivered = 0; ///< a packet reached an upstream of another service
    std::uint64_t refused = 0; ///< new flows refused
    std::uint64_t lateToDraining = 0; ///< new flows on a draining upstream later than 3 s after the first news
    std::uint64_t invariantBreaches = 0;
    std::int64_t worstJoinMs = 0; ///< longest time from the start of an instance until it was admitted
    std::uint64_t unsettled = 0; ///< instances that are not admitted, or lack the newest generation, at the end
    std::uint64_t relayed = 0;
    std::uint64_t entries = 0; ///< most entries held by one instance at the end
    double worstImbalance = 0; ///< largest max/mean of connections by weight over the samples; cold upstreams count after slow start
    double meanImbalance = 0; ///< mean over the samples
    double slotImbalance = 0; ///< largest max/mean, over services, of the slot time that requests took
    double controlBytesPerSecond = 0; ///< mean per instance
    double controlMessagesPerSecond = 0; ///< mean per instance
    std::array<double, enumCount<PeerTraffic>> bytesPerSecondByKind {};
    std::vector<std::string> breachDetails;
    std::vector<std::string> trace; ///< changes as they began, and the first broken flows with what each instance knew

    std::uint64_t broken() const
    {
        return brokenAtWrongUpstream + brokenByStall + brokenByRefusal;
    }
};

} // namespace sapphirespan
