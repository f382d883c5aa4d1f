#pragma once

#include "BaselineDecider.h"
#include "EventQueue.h"
#include "ModelSettings.h"

#include <random>
#include <set>

namespace sapphirespan {

/** Entry instances in one process at logical time, with small fakes of the links, the fabric, upstreams and callers.

    The instances are the product's own decisions; everything around them is as plain as the measurement allows.
    Equal settings give equal runs. Thread safety: none.
*/
class FleetModel
{
public:
    explicit FleetModel(const ModelSettings &settings);
    ~FleetModel();
    FleetModel(const FleetModel &) = delete;
    FleetModel &operator=(const FleetModel &) = delete;

    /** Starts everything and lets the warm-up pass; the counts begin after it. */
    void warmUp();

    /** Lets logical time pass. */
    void runFor(Milliseconds length);

    /** Planned changes. */
    void drainUpstream(std::size_t service, std::size_t upstream);
    void undrainUpstream(std::size_t service, std::size_t upstream);
    void addUpstream(std::size_t service);
    void removeUpstream(std::size_t service, std::size_t upstream);
    void changeWeight(std::size_t service, std::size_t upstream, std::uint32_t weight);
    void changeTraffic(std::size_t service, const TrafficPolicy &traffic);
    std::size_t addInstance();
    void leave(std::size_t instance);

    /** Starts a stopped instance again, with nothing remembered. */
    void restart(std::size_t instance);

    /** Starts every stopped instance and every dead upstream again. */
    void restartAllStopped();

    /** Failures. */
    void kill(std::size_t instance);
    void freeze(std::size_t instance, Milliseconds length);
    void cutDataCentre(std::size_t dataCentre, Milliseconds length);
    void killUpstream(std::size_t service, std::size_t upstream);
    void setShedding(std::size_t service, std::size_t upstream, bool isShedding);

    /** Lets the status endpoint of an upstream answer no probe, or answer again; the upstream serves its flows all the time. */
    void setStatusSilent(std::size_t service, std::size_t upstream, bool isSilent);

    /** @returns instances that run and are not frozen, by number. */
    std::vector<std::size_t> running() const;

    /** @returns the running instances that are not admitted or lack the newest generation. */
    std::size_t unsettled() const;

    /** @returns owner and backup, by number, of most buckets that hold an entry; used to aim failures. */
    std::pair<std::size_t, std::size_t> busiestHolders() const;

    /** @returns the open connections of each upstream of a service, by ordinal. */
    std::vector<std::size_t> connections(std::size_t service) const;

    /** Sends one packet of any content through the spray. */
    void injectFromFabric(const std::vector<std::uint8_t> &packet);

    /** @returns the counts so far. */
    ModelCounts counts() const;

    /** Adds a line to the trace, with the logical time. */
    void note(const std::string &text);

    /** @returns the accounts of an instance. */
    const EntryInstance &instance(std::size_t number) const;

private:
    struct Node;
    struct Upstream;
    struct Service;
    struct Flow;

    void startNode(Node &node);
    void startService(std::size_t number);
    void tickNode(std::size_t number, std::uint64_t life);
    void probeFrom(std::size_t number, std::uint64_t life);
    void fetchFromPeer(Node &node);
    void noteSlowJoin(Node &node);
    void deliverToNode(std::size_t number, bool isFromFabric, const Endpoint &from, std::vector<std::uint8_t> bytes);
    void handleBatch(Node &node, const std::function<void()> &input);
    void decideByBaseline(Node &node, std::span<const std::uint8_t> packet);
    void sendOutputs(Node &node);
    void sendToPeer(const Node &sender, const Output &output);
    bool isCut(const Node &a, const Node &b) const;
    void deliverToUpstream(const Endpoint &tunnel, const std::vector<std::uint8_t> &packet);
    void deliverRefusal(const std::vector<std::uint8_t> &packet);
    void openFlow(std::size_t service, std::optional<double> lifeSeconds);
    void openFlowsForever(std::size_t service);
    void sendFlowPacket(std::size_t flow);
    void confirmDelivery(Flow &flow);
    void endFlow(Flow &flow);
    void noteBroken(const Flow &flow, std::size_t reachedUpstream);
    void spray(std::vector<std::uint8_t> packet);
    void publishChange(std::size_t service, const std::function<void(ServiceFile &)> &change);
    void teachBaselines(std::size_t service, Milliseconds longestDelay);
    void sample();
    double slotImbalance() const;
    Microseconds randomUpTo(Microseconds longest);
    bool chance(double share);

    ModelSettings m_settings;
    EventQueue m_events;
    std::mt19937_64 m_random;
    KeyRing m_keys;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Service>> m_services;
    std::vector<std::unique_ptr<Flow>> m_flows;
    std::map<Endpoint, std::pair<std::size_t, std::size_t>> m_upstreamByTunnel; ///< service and ordinal
    std::map<Endpoint, std::size_t> m_nodeByPeer;
    std::shared_ptr<Catalogue> m_catalogue;
    std::set<std::size_t> m_cutDataCentres;
    ModelCounts m_counts;
    std::uint64_t m_samples = 0;
    std::array<std::uint64_t, enumCount<PeerTraffic>> m_trafficAtStart {};
    std::uint64_t m_messagesAtStart = 0;
    std::uint64_t m_relayedAtStart = 0;
    std::array<std::uint64_t, enumCount<PeerTraffic>> m_trafficOfEnded {};
    std::uint64_t m_messagesOfEnded = 0;
    std::uint64_t m_relayedOfEnded = 0;
    Microseconds m_countingSince {0};
    bool m_isCounting = false;
};

} // namespace sapphirespan
