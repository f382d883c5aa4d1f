#pragma once

#include "FlowLineSampler.h"
#include "ProbeLog.h"

#include "sapphirespan_config/sapphirespan_config.h"
#include "sapphirespan_cookie/sapphirespan_cookie.h"
#include "sapphirespan_net/sapphirespan_net.h"
#include "sapphirespan_report/logs/JsonLog.h"

namespace sapphirespan {

/** A settings file with the content that was read of it last. */
struct SettingsFile {
    std::string path;
    std::string text;
};

/** One instance with cookie steering as a process: connects the decisions to sockets, the store and signals.

    Thread safety: none; everything runs on the loop of run().
*/
class CookieDaemon
{
public:
    /** Makes the source of routes and upstreams, once the loop exists. */
    using SourceMaker = std::function<std::unique_ptr<StoreDataSource>(EventLoop &loop, const Endpoint &platform)>;

    /** @param settingsFile is read again when it changes @param format outlives the daemon */
    CookieDaemon(const CookieSettings &settings, SettingsFile settingsFile, const PacketFormat &format, const SourceMaker &makeSource);

    /** Binds the endpoints. @returns false, with the reason, when one cannot be bound */
    bool start(LastReason &reason);

    /** Runs until the instance has left. @returns the exit code: 0 */
    int run();

private:
    void connectDecisions();
    void connectSource();
    void connectSignals();
    HttpResponse controlAnswer(const HttpRequest &request);
    HttpResponse snapshotAnswer(const HttpRequest &request);
    void carryOut();
    void logProbe(const ProbeRequest &request, const ConnectionResult &result);
    std::string textOf(FlowCookie upstream) const;
    void fetchSnapshot(const SnapshotRequest &request);
    void tick();
    void checkLeaving();
    void takeOver(const CookieSettingsReading &reading);
    void reload(bool isAsked);
    void logEvent(const CookieEvent &event);
    void logLeftOut();

    CookieSettings m_settings;
    SettingsFile m_settingsFile;
    SystemClock m_clock;
    JsonLog m_log;
    FlowLineSampler m_flowLines;
    ProbeLog m_probeLog;
    EventLoop m_loop;
    CookieInstance m_instance;
    std::unique_ptr<StoreDataSource> m_source;
    HttpClient m_client;
    SteadyTime m_nextProbeWarningAt {};
    ConnectionProber m_prober;
    std::unique_ptr<UdpSocket> m_ingress;
    std::unique_ptr<UdpSocket> m_peer;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_control;
    std::vector<EventHandle> m_handles;
    std::vector<OutgoingDatagram> m_datagrams;
    std::vector<OutgoingDatagram> m_reports;
    bool m_isFetching = false;
    std::optional<SteadyTime> m_endBy; ///< before the process is ended from outside, once it was asked to end
};

} // namespace sapphirespan
