#include "CookieDaemon.h"

#include "CookieMetrics.h"

#include <charconv>
#include <csignal>
#include <random>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds tickPeriod = 50ms;

/** Time after the start of one more tick, so that the store is asked as soon as no peer has answered. */
constexpr Milliseconds startTick = 20ms;

/** Time between two looks at the settings file. */
constexpr Milliseconds reloadPeriod = 2s;

/** Time for a connection attempt to an upstream; a few times the longest round trip. */
constexpr Milliseconds probeDeadline = 60ms;

/** Time between two log lines about attempts that could not be made. */
constexpr Milliseconds probeWarningPeriod = 1s;

/** Time for a peer's snapshot. */
constexpr Milliseconds snapshotDeadline = 500ms;

/** Time for which a leaving instance goes on at least: the fabric notices after two missed checks half a second apart. */
constexpr Milliseconds shortestLeave = 1300ms;

/** Silence after which a leaving instance ends. */
constexpr Milliseconds leaveQuiet = 300ms;

/** Time for which an instance that was told to end goes on being ready at most, while its data centre needs it. The
    platform counts on instances that are not ready within four seconds. */
constexpr Milliseconds longestStay = 2500ms;

/** Time by which a leaving instance ends before it is ended from outside. */
constexpr Milliseconds leaveMargin = 1s;

constexpr const char *snapshotPath = "/knowledge";
constexpr const char *metricsPath = "/metrics";
constexpr const char *probeFailedEvent = "probe_failed";
constexpr const char *probeAnsweredLateEvent = "probe_answered_late";

constexpr const char *routesAfterKey = "routes_after";
constexpr const char *recentOnlyKey = "recent_only";
constexpr const char *policiesKey = "policies";

CookieInstanceSettings decisionSettings(const CookieSettings &settings, const Clock &clock)
{
    CookieInstanceSettings result;
    result.name = settings.name;
    result.dataCentre = settings.dataCentre;
    result.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    result.reportEndpoint = settings.peer;
    result.controlEndpoint = settings.control;
    result.returnPort = settings.ingress.port;
    result.seeds = settings.seeds;
    result.isSeed = settings.isSeed;
    result.isInitialFleetStart = settings.isFirstStart;
    result.flowLifetime = settings.flowLifetime;
    result.hostProbePort = settings.hostProbePort;
    result.admission = settings.admission;
    result.appliesEvacuations = settings.appliesEvacuations;
    result.warmUp = settings.warmUp;
    result.randomSeed = std::random_device()();
    return result;
}

Json::Value fields(std::initializer_list<std::pair<const char *, std::string>> members)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, text] : members) {
        value[name] = text;
    }
    return value;
}

/** @returns nothing if the attempt could not be made. */
std::optional<ProbeResult> resultOf(ConnectionOutcome outcome)
{
    switch (outcome) {
    case ConnectionOutcome::connected:
        return ProbeResult::connected;
    case ConnectionOutcome::refused:
        return ProbeResult::refused;
    case ConnectionOutcome::silent:
        return ProbeResult::silent;
    case ConnectionOutcome::notMade:
    case ConnectionOutcome::count:
        break;
    }
    return std::nullopt;
}

} // namespace

CookieDaemon::CookieDaemon(const CookieSettings &settings, SettingsFile settingsFile, const PacketFormat &format,
                           const SourceMaker &makeSource)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_log(settings.name, settings.logLevel)
    , m_instance(decisionSettings(settings, m_clock), format, m_clock)
    , m_source(makeSource(m_loop, settings.platform))
    , m_client(m_loop)
    , m_prober(m_loop)
{
}

bool CookieDaemon::start(LastReason &reason)
{
    m_ingress = UdpSocket::bind(m_settings.ingress, reason);
    m_peer = m_ingress ? UdpSocket::bind(m_settings.peer, reason) : nullptr;
    if (!m_peer) {
        return false;
    }
    m_readiness = HttpServer::listen(
        m_loop, m_settings.readiness,
        [this](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
            exchange->answer({m_instance.isReady() ? 200 : 503, "{}", "application/json", {}});
        },
        reason);
    m_control = HttpServer::listen(
        m_loop, m_settings.control,
        [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) { exchange->answer(controlAnswer(request)); },
        reason);
    if (!m_readiness || !m_control) {
        return false;
    }
    connectDecisions();
    connectSource();
    connectSignals();
    return true;
}

void CookieDaemon::connectDecisions()
{
    m_instance.signalEvent().connect([this](const CookieEvent &event) { logEvent(event); });
    m_ingress->start(
        m_loop, [this] { m_instance.beginBatch(); },
        [this](const Endpoint &, std::span<std::uint8_t> packet) { m_instance.packetArrived(packet); }, [this] { carryOut(); });
    m_peer->start(
        m_loop, [this] { m_instance.beginBatch(); },
        [this](const Endpoint &, std::span<std::uint8_t> datagram) { m_instance.peerDatagramArrived(datagram); }, [this] { carryOut(); });
    m_handles.push_back(m_loop.every(tickPeriod, [this] { tick(); }));
}

void CookieDaemon::connectSource()
{
    m_source->signalUpstreamsListed.connect([this](const UpstreamList &list) {
        m_instance.beginBatch();
        m_instance.upstreamsListed(list);
    });
    m_source->signalUpstreamsChanged.connect([this](const UpstreamChanges &changes) {
        m_instance.beginBatch();
        m_instance.upstreamsChanged(changes);
    });
    m_source->signalRoutesReceived.connect([this](const RouteConfiguration &routes) {
        m_instance.beginBatch();
        m_instance.routesArrived(routes);
    });
    m_source->signalEvacuationsListed.connect([this](const EvacuationList &list) {
        m_instance.beginBatch();
        m_instance.evacuationsListed(list);
        m_instance.tick();
        carryOut();
    });
    m_source->signalEvacuationsChanged.connect([this](const EvacuationList &changes) {
        m_instance.beginBatch();
        m_instance.evacuationsChanged(changes);
        m_instance.tick();
        carryOut();
    });
    m_source->signalRevisionConfirmed.connect([this](StoreDataKind part, std::uint64_t revision) {
        m_instance.beginBatch();
        m_instance.storeConfirmed(part, revision);
        m_instance.tick();
        carryOut();
    });
    m_source->signalCallFailed.connect([this](const std::string &reason) {
        m_log.warning("store_call_failed", fields({{"reason", reason}}));
        m_instance.beginBatch();
        m_instance.storeFailed();
    });
    m_source->signalEvacuationCallFailed.connect([this](const std::string &reason) {
        m_log.warning("store_call_failed", fields({{"reason", reason}}));
    });
    m_source->signalEntrySkipped.connect([this](const std::string &reason) {
        m_log.warning("store_object_passed_over", fields({{"reason", reason}}));
    });
}

void CookieDaemon::connectSignals()
{
    const auto leave = [this] {
        const auto now = m_clock.steadyNow();
        m_endBy = m_endBy.value_or(now + m_settings.leaveLimit - std::min(leaveMargin, m_settings.leaveLimit / 2));
        m_instance.leaveRequested(std::clamp<SteadyTime>(*m_endBy - shortestLeave, now, now + longestStay));
    };
    m_handles.push_back(m_loop.onSignal(SIGTERM, leave));
    m_handles.push_back(m_loop.onSignal(SIGINT, leave));
    m_handles.push_back(m_loop.onSignal(SIGHUP, [this] { reload(true); }));
    m_handles.push_back(m_loop.every(reloadPeriod, [this] {
        reload(false);
        logLeftOut();
        m_probeLog.forgetUnknown(m_instance.state().upstreams.rows());
    }));
}

int CookieDaemon::run()
{
    m_log.info("instance_started", fields({{"ingress", m_settings.ingress.toText()}, {"data_centre", m_settings.dataCentre}}));
    tick();
    m_handles.push_back(m_loop.after(startTick, [this] { tick(); }));
    m_loop.run();
    m_log.info("instance_stopped");
    return 0;
}

HttpResponse CookieDaemon::controlAnswer(const HttpRequest &request)
{
    if (request.path == snapshotPath) {
        return snapshotAnswer(request);
    }
    if (request.path == metricsPath) {
        return {200, cookieMetricsText(m_instance), "text/plain; version=0.0.4", {}};
    }
    return {404, "", "text/plain", {}};
}

HttpResponse CookieDaemon::snapshotAnswer(const HttpRequest &request)
{
    const auto routesAfter = request.query.find(routesAfterKey);
    const auto recentOnly = request.query.find(recentOnlyKey);
    SnapshotScope scope;
    if (routesAfter != request.query.end()) {
        const auto &text = routesAfter->second;
        std::from_chars(text.data(), text.data() + text.size(), scope.routesNewerThan); // else everything is sent
    }
    scope.hasRecentUpstreamsOnly = recentOnly != request.query.end() && recentOnly->second == "1";
    const auto policies = request.query.find(policiesKey);
    scope.includesPolicies = policies != request.query.end() && policies->second == "1";
    const auto snapshot = m_instance.snapshot(scope);
    return snapshot ? HttpResponse {200, encode(*snapshot), "application/msgpack", {}} : HttpResponse {503, "", "text/plain", {}};
}

/** Sends what the decisions want sent, and starts what they want tried. */
void CookieDaemon::carryOut()
{
    m_datagrams.clear();
    m_reports.clear();
    for (const auto &output : m_instance.outbox().outputs()) {
        auto &datagrams = output.kind == CookieOutputKind::report ? m_reports : m_datagrams;
        datagrams.push_back({output.destination, output.headerBytes(), output.payload});
    }
    m_ingress->send(m_datagrams);
    m_peer->send(m_reports);
    m_instance.outbox().clear();
    for (const auto &request : m_instance.takeProbeRequests()) {
        m_prober.probe(request.address, probeDeadline, [this, request](const ConnectionResult &attempt) {
            logProbe(request, attempt);
            m_instance.beginBatch();
            if (const auto result = resultOf(attempt.outcome); result && attempt.isLate) {
                m_instance.probeAnsweredLate(request, *result);
            } else if (result) {
                m_instance.probeEnded(request, *result);
            } else {
                m_instance.probeNotMade(request);
            }
            carryOut();
        });
    }
    for (const auto &request : m_instance.takeSnapshotRequests()) {
        fetchSnapshot(request);
    }
    m_source->setActive(m_instance.shouldQueryStore(), m_instance.storeRevisions());
}

/** Logs at most one attempt per period that could not be made: while descriptors are short, each upstream in doubt is due again at
    every tick. */
void CookieDaemon::logProbe(const ProbeRequest &request, const ConnectionResult &result)
{
    const auto now = m_clock.steadyNow();
    if (auto members = m_probeLog.record(request, result, m_log.level() != "debug", now)) {
        (*members)["upstream"] = textOf(request.cookie);
        m_log.info(result.isLate ? probeAnsweredLateEvent : probeFailedEvent, *members);
    }
    if (result.outcome == ConnectionOutcome::notMade && now >= m_nextProbeWarningAt) {
        m_nextProbeWarningAt = now + probeWarningPeriod;
        m_log.warning("probe_not_made",
                      fields({{"upstream", request.address.toText()},
                              {"purpose", std::string(nameOf(request.purpose))},
                              {"reason", result.errorText()}}));
    }
}

std::string CookieDaemon::textOf(FlowCookie upstream) const
{
    const auto &rows = m_instance.state().upstreams.rows();
    const auto row = rows.find(upstream);
    return row != rows.end() ? upstreamText(row->second) : std::to_string(upstream);
}

void CookieDaemon::fetchSnapshot(const SnapshotRequest &request)
{
    if (m_isFetching) {
        return;
    }
    m_isFetching = true;
    const auto &control = request.controlEndpoint;
    const auto target = std::string(snapshotPath) + "?" + routesAfterKey + "=" + std::to_string(request.scope.routesNewerThan) + "&"
        + recentOnlyKey + "=" + (request.scope.hasRecentUpstreamsOnly ? "1" : "0")
        + (request.scope.includesPolicies ? "&" + std::string(policiesKey) + "=1" : "");
    m_client.send(control, HttpMethod::get, target, {}, "", snapshotDeadline, [this, control](const HttpOutcome &outcome) {
        m_isFetching = false;
        if (!outcome.response || outcome.response->status != 200) {
            m_log.info("snapshot_not_received", fields({{"from", control.toText()}}));
            return;
        }
        const auto &body = outcome.response->body;
        const auto snapshot = decodeSnapshot({reinterpret_cast<const std::uint8_t *>(body.data()), body.size()});
        if (!snapshot) {
            m_log.warning("snapshot_unreadable", fields({{"from", control.toText()}}));
            return;
        }
        m_instance.beginBatch();
        m_instance.snapshotArrived(*snapshot);
        m_instance.tick();
        carryOut();
    });
}

void CookieDaemon::tick()
{
    m_instance.tick();
    carryOut();
    checkLeaving();
}

/** A leaving instance forwards until the fabric sends it nothing more. What waits in the socket, as after a pause of the
    process, counts as sent. */
void CookieDaemon::checkLeaving()
{
    if (!m_endBy) {
        return;
    }
    m_ingress->receiveWaiting();
    const auto now = m_clock.steadyNow();
    const auto leavingSince = m_instance.leavingSince();
    const bool isQuiet = leavingSince && now - *leavingSince > shortestLeave && m_instance.timeSinceLastPacket() > leaveQuiet;
    if (isQuiet || now > *m_endBy) {
        m_loop.stop();
    }
}

/** Says how many lines on decisions and attempts were left out, by kind, and those on what ended or rejected flows by reason as well. */
void CookieDaemon::logLeftOut()
{
    Json::Value members(Json::objectValue);
    for (const auto &[kind, reason, lines] : m_flowLines.takeLeftOut()) {
        const std::string name(nameOf(kind));
        members[name] = Json::UInt64(members[name].asUInt64() + lines);
        if (!reason.empty()) {
            members["by_reason"][name][reason] = Json::UInt64(lines);
        }
    }
    if (const auto probes = m_probeLog.takeLeftOut(); probes > 0) {
        members[probeFailedEvent] = Json::UInt64(probes);
    }
    if (!members.empty()) {
        m_log.info("lines_left_out", members);
    }
}

/** Takes over what may change while the process runs; endpoints and names may not. What is refused stays as it is, except that seeds
    which can be read replace the earlier ones. */
void CookieDaemon::takeOver(const CookieSettingsReading &reading)
{
    const auto &settings = reading.settings;
    const auto isRefused = [&reading](const char *key) { return reading.refusedKeys.contains(key); };
    if (!isRefused("seeds") || !settings.seeds.empty()) {
        m_settings.seeds = settings.seeds;
        m_instance.setSeeds(settings.seeds);
    }
    if (!isRefused("leave_limit")) {
        m_settings.leaveLimit = settings.leaveLimit;
    }
    if (!isRefused("log_level")) {
        m_log.setLevel(settings.logLevel);
    }
}

void CookieDaemon::reload(bool isAsked)
{
    FindingList findings;
    const auto text = readTextFile(m_settingsFile.path, findings);
    if (!text || (!isAsked && *text == m_settingsFile.text)) {
        return;
    }
    m_settingsFile.text = *text;
    const auto reading = readCookieSettings(m_settingsFile.path, *text, findings);
    for (const auto &finding : findings.sorted()) {
        m_log.warning("settings_finding", fields({{"finding", toText(finding)}}));
    }
    if (reading.isReadable) {
        takeOver(reading);
        m_log.info("settings_reloaded");
    }
}

void CookieDaemon::logEvent(const CookieEvent &event)
{
    const bool isBounded = event.flow.has_value() && m_log.level() != "debug";
    if (isBounded && !m_flowLines.allows(event, m_clock.steadyNow())) {
        return;
    }
    Json::Value members(Json::objectValue);
    if (event.flow) {
        members["flow"] = toText(*event.flow);
        members["is_sampled"] = isSampled(*event.flow);
    }
    if (event.upstream != 0) {
        members["upstream"] = textOf(event.upstream);
    }
    members["detail"] = std::string(event.detail);
    m_log.info(std::string(nameOf(event.kind)), members);
}

} // namespace sapphirespan
