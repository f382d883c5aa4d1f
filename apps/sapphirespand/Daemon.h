#pragma once

#include "ControlService.h"
#include "Prober.h"
#include "SummaryWriter.h"

namespace sapphirespan {

/** One entry instance as a process: connects the decisions of EntryInstance to sockets, the platform and signals.

    Thread safety: none; everything runs on the loop of run().
*/
class Daemon
{
public:
    Daemon(const InstanceSettings &settings, const KeyRing &keys);

    /** Binds the endpoints. @returns false, with the reason, when one cannot be bound */
    bool start(LastReason &reason);

    /** Runs until the instance has left. @returns the exit code: 0 after a complete hand-over, 1 when it was cut short */
    int run();

private:
    void connectDecisions();
    void connectPlatform();
    void connectSignals();
    void sendOutputs();
    void tick();
    void terminate();
    void logEvent(const InstanceEvent &event);

    InstanceSettings m_settings;
    SystemClock m_clock;
    InvariantLog m_invariants;
    JsonLog m_log;
    EventLoop m_loop;
    EntryInstance m_instance;
    ObjectTexts m_texts;
    DurationHistogram m_batchDurations;
    SteadyTime m_batchStart {};
    CatalogueFetcher m_fetcher;
    std::optional<HeadWatcher> m_watcher;
    std::optional<SummaryWriter> m_summary;
    Prober m_prober;
    std::unique_ptr<UdpSocket> m_ingress;
    std::unique_ptr<UdpSocket> m_peer;
    JsonRpcServerConnector m_connector;
    ControlService m_control;
    std::unique_ptr<HttpServer> m_server;
    std::vector<EventHandle> m_handles;
    std::vector<OutgoingDatagram> m_datagrams;
    std::vector<OutgoingDatagram> m_peerDatagrams;
    std::optional<SteadyTime> m_leavingSince;
    SteadyTime m_lastPeerFetch {};
    int m_exitCode = 0;
};

} // namespace sapphirespan
