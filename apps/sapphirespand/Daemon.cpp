#include "Daemon.h"

#include "StatusJson.h"

#include <csignal>
#include <random>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds tickPeriod = 20ms;
constexpr Milliseconds soonestPeerFetch = 200ms;
constexpr std::size_t watchersPerDataCentre = 2;
constexpr std::uint64_t watchSubject = 0x7761746368;
constexpr Milliseconds leaveMargin = 2s;

EntryInstanceSettings decisionSettings(const InstanceSettings &settings)
{
    EntryInstanceSettings result;
    result.name = settings.name;
    result.dataCentre = settings.dataCentre;
    result.peer = settings.peer;
    result.control = settings.control;
    result.returnPath = settings.returnPath;
    result.seeds = settings.seeds;
    result.mostFlowEntries = settings.mostFlowEntries;
    result.timing = settings.timing;
    result.randomSeed = std::random_device()();
    return result;
}

/** Events that operators should look at. */
bool isWarning(InstanceEventKind kind)
{
    return kind == InstanceEventKind::instanceLapsed || kind == InstanceEventKind::memberLost || kind == InstanceEventKind::upstreamPanic;
}

Json::Value fields(std::initializer_list<std::pair<const char *, std::string>> members)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, text] : members) {
        value[name] = text;
    }
    return value;
}

} // namespace

Daemon::Daemon(const InstanceSettings &settings, const KeyRing &keys)
    : m_settings(settings)
    , m_log(settings.name, settings.logLevel)
    , m_instance(decisionSettings(settings), keys, m_clock, m_invariants)
    , m_fetcher(m_loop, m_texts)
    , m_prober(m_loop, settings.timing.probe,
               [this](const UpstreamName &upstream, const ProbeOutcome &outcome) {
                   m_instance.beginBatch();
                   m_instance.upstreamProbed(upstream, outcome);
                   m_instance.endBatch();
                   sendOutputs();
               })
    , m_control(m_connector, {m_instance, m_invariants, m_texts, m_batchDurations})
{
}

bool Daemon::start(LastReason &reason)
{
    m_ingress = UdpSocket::bind(m_settings.ingress, reason);
    m_peer = m_ingress ? UdpSocket::bind(m_settings.peer, reason) : nullptr;
    if (!m_peer) {
        return false;
    }
    m_server = HttpServer::listen(
        m_loop, m_settings.control,
        [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { m_control.handle(request, exchange); }, reason);
    if (!m_server) {
        return false;
    }
    connectDecisions();
    connectPlatform();
    connectSignals();
    return true;
}

void Daemon::connectDecisions()
{
    m_instance.signalEvent().connect([this](const InstanceEvent &event) { logEvent(event); });
    m_invariants.signalBreach.connect([this](Invariant invariant, const std::string &detail) {
        m_log.error("invariant_broken", fields({{"invariant", std::string(nameOf(invariant))}, {"detail", detail}}));
    });
    const auto begin = [this] {
        m_batchStart = m_clock.steadyNow();
        m_instance.beginBatch();
    };
    const auto end = [this] {
        m_instance.endBatch();
        sendOutputs();
        m_batchDurations.record(m_clock.steadyNow() - m_batchStart);
    };
    m_ingress->start(
        m_loop, begin, [this](const Endpoint &, std::span<const std::uint8_t> packet) { m_instance.packetArrived(packet); }, end);
    m_peer->start(
        m_loop, begin,
        [this](const Endpoint &from, std::span<const std::uint8_t> datagram) { m_instance.peerDatagramArrived(from, datagram); }, end);
    m_handles.push_back(m_loop.every(tickPeriod, [this] { tick(); }));
}

void Daemon::connectPlatform()
{
    m_fetcher.signalComplete.connect([this](const std::shared_ptr<const Catalogue> &catalogue) {
        m_instance.beginBatch();
        m_instance.catalogueArrived(catalogue);
        m_instance.endBatch();
        m_prober.setCatalogue(*m_instance.catalogue());
        sendOutputs();
    });
    m_fetcher.signalFailed.connect([this](const std::string &reason) {
        m_log.warning("catalogue_fetch_failed", fields({{"reason", reason}}));
    });
    if (!m_settings.platform) {
        return;
    }
    m_watcher.emplace(m_loop, *m_settings.platform, std::random_device()());
    m_watcher->signalHead.connect([this](const CatalogueHead &head) {
        const auto catalogue = m_instance.catalogue();
        if (!catalogue || head.generation > catalogue->head.generation) {
            m_fetcher.fetch(head, *m_settings.platform);
        }
    });
    m_summary.emplace(m_loop, *m_settings.platform, m_instance, m_settings.dataCentre);
}

void Daemon::connectSignals()
{
    m_handles.push_back(m_loop.onSignal(SIGTERM, [this] { terminate(); }));
    m_handles.push_back(m_loop.onSignal(SIGINT, [this] { terminate(); }));
    m_handles.push_back(m_loop.onSignal(SIGUSR1, [this] {
        const bool isDebug = m_log.level() == "debug";
        m_log.setLevel(isDebug ? m_settings.logLevel : "debug");
        m_log.info("log_level_changed", fields({{"to", m_log.level()}}));
    }));
}

int Daemon::run()
{
    m_log.info("instance_started", fields({{"ingress", m_settings.ingress.toText()}, {"peer", m_settings.peer.toText()}}));
    m_loop.run();
    auto summary = toJsonValue(m_instance.accounts());
    summary["invariant_breaches"] = Json::UInt64(m_invariants.totalBreaches());
    m_log.info("instance_stopped", summary);
    return m_exitCode;
}

/** Forwarded packets and refusals leave by the ingress socket, everything between instances by the peer socket. */
void Daemon::sendOutputs()
{
    m_datagrams.clear();
    m_peerDatagrams.clear();
    for (const auto &output : m_instance.outbox().outputs()) {
        const bool isForPeer = output.kind == OutputKind::relay || output.kind == OutputKind::message;
        const auto header = output.hasHeader ? std::span<const std::uint8_t>(output.header) : std::span<const std::uint8_t>();
        (isForPeer ? m_peerDatagrams : m_datagrams).push_back({output.to, header, output.payload});
    }
    m_peer->send(m_peerDatagrams); // copies of a placement leave before its packet
    m_ingress->send(m_datagrams);
    m_instance.outbox().clear();
}

void Daemon::tick()
{
    m_instance.tick();
    sendOutputs();
    const auto now = m_clock.steadyNow();
    if (m_watcher) {
        m_watcher->setActive(!m_instance.catalogue() || m_instance.isAmongFirst(watchersPerDataCentre, watchSubject));
    }
    if (const auto offer = m_instance.wantedGeneration(); offer && now - m_lastPeerFetch > soonestPeerFetch) {
        m_lastPeerFetch = now;
        m_fetcher.fetch(offer->head, offer->control);
    }
    if (!m_leavingSince) {
        return;
    }
    if (m_instance.hasLeft()) {
        m_instance.sayFarewell();
        sendOutputs();
        m_loop.stop();
    } else if (now - *m_leavingSince > m_settings.timing.leaveLimit + leaveMargin) {
        m_exitCode = 1;
        m_log.warning("leave_limit_passed", fields({{"detail", "packets were still arriving"}}));
        m_loop.stop();
    }
}

void Daemon::terminate()
{
    if (m_leavingSince) {
        const auto status = m_instance.status();
        m_log.warning("hand_over_cut_short", fields({{"entries", std::to_string(status.entries)}}));
        m_exitCode = 1;
        m_loop.stop();
        return;
    }
    m_log.info("hand_over_started");
    m_leavingSince = m_clock.steadyNow();
    m_instance.leaveRequested();
}

void Daemon::logEvent(const InstanceEvent &event)
{
    const auto members = fields({{"subject", event.subject}, {"detail", event.detail}});
    if (isWarning(event.kind)) {
        m_log.warning(std::string(nameOf(event.kind)), members);
    } else {
        m_log.info(std::string(nameOf(event.kind)), members);
    }
}

} // namespace sapphirespan
