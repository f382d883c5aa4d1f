#include "CookieFleetModelParts.h"

namespace sapphirespan::model {

std::optional<ClientPacket> ModelFormat::decode(std::span<const std::uint8_t> bytes) const
{
    if (bytes.size() != sizeof(ClientPacket)) {
        return std::nullopt;
    }
    ClientPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof packet);
    return packet;
}

void ModelFormat::writeCookie(std::span<std::uint8_t> bytes, FlowCookie cookie) const
{
    auto packet = *decode(bytes);
    packet.cookie = cookie;
    std::memcpy(bytes.data(), &packet, sizeof packet);
}

std::array<std::uint8_t, PacketFormat::forwardHeaderBytes> ModelFormat::forwardHeader(UpstreamId upstream) const
{
    std::array<std::uint8_t, forwardHeaderBytes> header {};
    std::memcpy(header.data(), &upstream, sizeof upstream);
    return header;
}

std::vector<std::uint8_t> ModelFormat::reset(const FlowEnds &ends, std::uint32_t sequence) const
{
    ClientPacket packet;
    packet.ends = ends;
    packet.isReset = true;
    packet.sequence = sequence;
    return bytesOf(packet);
}

CookieFleetModel::CookieFleetModel(const ModelSettings &settings)
    : areReportsCut([](const std::string &, const std::string &) { return false; })
    , isCut([](const std::string &, const std::string &) { return false; })
    , m_settings(settings)
    , m_random(settings.seed)
{
    std::vector<std::string> services;
    for (const auto &kind : settings.kinds) {
        if (std::find(services.begin(), services.end(), kind.service) == services.end()) {
            services.push_back(kind.service);
        }
    }
    std::uint32_t address = firstInstanceAddress;
    for (std::size_t zone = 0; zone < settings.dataCentres.size(); ++zone) {
        for (const auto &service : services) {
            for (int index = 0; index < settings.upstreamsPerDataCentre; ++index) {
                addUpstream(settings.dataCentres[zone], service);
            }
        }
        const int count = settings.instancesByDataCentre.empty() ? settings.instancesPerDataCentre : settings.instancesByDataCentre[zone];
        for (int index = 0; index < count; ++index) {
            auto &instance = instances.emplace_back();
            instance.dataCentre = settings.dataCentres[zone];
            instance.appliesEvacuations = settings.appliesEvacuations;
            instance.name = settings.areNamedByDataCentre ? "frontend-" + instance.dataCentre + "-" + std::to_string(index + 1)
                                                          : "entry-" + std::to_string(instances.size() - 1);
            instance.clock = std::make_unique<InstanceClock>(clock);
            instance.peer = toEndpoint({address++, peerPort});
        }
        for (int index = 0; index < settings.usersPerDataCentre; ++index) {
            auto &user = addUser(settings.dataCentres[zone], (m_users.size() + 1) % m_settings.kinds.size());
            after(Milliseconds(2000 + draw(1000)), [this, &user] { startRequest(user); });
        }
    }
    for (std::size_t zone = 0; zone < settings.arrivalsPerSecond.size(); ++zone) {
        auto &hosts
            = m_hosts.emplace_back(settings.clientsPerDataCentre, ClientHost {std::vector<std::vector<User *>>(settings.kinds.size())});
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            hosts[index].address = firstHostAddress + static_cast<std::uint32_t>(zone * hosts.size() + index);
        }
        after(2s, [this, zone] { arriveForever(zone); });
    }
    for (const auto &kind : settings.kinds) {
        const auto service = std::find(services.begin(), services.end(), kind.service) - services.begin();
        const Ipv4Endpoint address {static_cast<std::uint32_t>(0xc6120001 + service), kind.port};
        m_addresses.push_back(address);
        if (std::none_of(routes.begin(), routes.end(), [&address](const Route &route) { return route.address == address; })) {
            const RoutePolicy policy {kind.priority, kind.aim, kind.deadline, kind.isIdempotent};
            routes.push_back({address, {{kind.service, 1}}, kind.priority ? policy : RoutePolicy {}});
        }
    }
    configure(routes);
    for (std::size_t index = 0; index < instances.size(); ++index) {
        startInstance(index);
    }
    every(50ms, [this] {
        for (std::size_t index = 0; index < instances.size(); ++index) {
            if (instances[index].isRunning) {
                instances[index].decisions->tick();
                carryOut(index);
            }
        }
    });
    every(2ms, [this] {
        serveStore();
        serveOrders();
    });
    every(readinessPeriod, [this] { checkRotation(); });
}

CookieFleetModel::~CookieFleetModel() = default;

std::uint64_t CookieFleetModel::draw(std::uint64_t limit)
{
    return m_random() % limit;
}

void CookieFleetModel::after(Microseconds delay, std::function<void()> action)
{
    m_events.push({clock.steadyNow() + delay, m_order++, std::move(action)});
}

void CookieFleetModel::every(Milliseconds period, const std::function<void()> &action)
{
    after(period, [this, period, action] {
        action();
        every(period, action);
    });
}

void CookieFleetModel::run(Milliseconds time)
{
    const auto end = clock.steadyNow() + time;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        clock.advance(event.at - clock.steadyNow());
        event.action();
    }
    clock.advance(end - clock.steadyNow());
}

ModelCounts CookieFleetModel::takeCounts()
{
    return std::exchange(m_counts, {});
}

Microseconds ModelCounts::servedWithin(double portion) const
{
    if (servedAfter.empty()) {
        return Microseconds(0);
    }
    auto times = servedAfter;
    const auto index = std::min(times.size() - 1, static_cast<std::size_t>(portion * static_cast<double>(times.size())));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(index), times.end());
    return times[index];
}

Microseconds ModelCounts::longest(const std::vector<Microseconds> &times)
{
    return times.empty() ? Microseconds(0) : *std::max_element(times.begin(), times.end());
}

void CookieFleetModel::startInstance(std::size_t index)
{
    auto &instance = instances[index];
    CookieInstanceSettings settings;
    settings.name = instance.name;
    settings.dataCentre = instance.dataCentre;
    settings.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    settings.reportEndpoint = instance.peer;
    settings.controlEndpoint = {instance.peer.address, controlPort};
    settings.returnPort = returnPort;
    settings.admission = m_settings.admission;
    settings.appliesEvacuations = instance.appliesEvacuations;
    settings.warmUp = m_settings.warmUp;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, instances.size()); ++seed) {
        settings.seeds.push_back({instances[seed * instances.size() / 3].peer.address, controlPort});
    }
    settings.randomSeed = m_settings.seed * 1000 + index + 100 * static_cast<std::uint64_t>(instance.starts++);
    instance.decisions = std::make_unique<CookieInstance>(settings, m_format, *instance.clock);
    for (const auto &attempt : std::exchange(instance.attempts, {})) {
        attempt->isOver = true; // of the process before
    }
    instance.isRunning = true;
    instance.seenRevision = 0;
    instance.seenOrders = 0;
    instance.decisions->tick();
    carryOut(index);
}

void CookieFleetModel::freezeInstance(std::size_t index)
{
    instances[index].isFrozen = true;
    instances[index].isRunning = false;
}

void CookieFleetModel::thawInstance(std::size_t index)
{
    auto &instance = instances[index];
    instance.isFrozen = false;
    instance.isRunning = true;
    instance.decisions->beginBatch();
    for (auto &bytes : instance.waitingPackets) {
        instance.decisions->packetArrived(bytes);
    }
    for (const auto &bytes : instance.waitingReports) {
        instance.decisions->peerDatagramArrived(bytes);
    }
    carryOut(index);
    instance.waitingPackets.clear();
    instance.waitingReports.clear();
    for (const auto &attempt : std::vector(instance.attempts)) {
        settleAttempt(index, attempt);
    }
}

void CookieFleetModel::suspendInstance(std::size_t index)
{
    freezeInstance(index);
    instances[index].clock->stop();
}

void CookieFleetModel::resumeInstance(std::size_t index)
{
    instances[index].clock->resume();
    for (const auto &attempt : instances[index].attempts) {
        awaitDeadline(index, attempt);
    }
    thawInstance(index);
}

void CookieFleetModel::stopInstance(std::size_t index)
{
    instances[index].isRunning = false;
}

std::optional<std::size_t> CookieFleetModel::instanceAt(const Endpoint &peer) const
{
    const auto address = toIpv4(peer);
    const std::size_t index = address ? address->address - firstInstanceAddress : instances.size();
    return index < instances.size() && instances[index].peer == peer ? std::optional(index) : std::nullopt;
}

ProbeResult CookieFleetModel::answerOfPeer(const ModelInstance &instance, const Endpoint &controlEndpoint) const
{
    const auto peer = instanceAt({controlEndpoint.address, peerPort});
    if (!peer || isCut(instance.dataCentre, instances[*peer].dataCentre)) {
        return ProbeResult::silent;
    }
    return instances[*peer].isRunning ? ProbeResult::connected : ProbeResult::refused;
}

/** @returns what is sent back on a connection attempt, and counts it for the upstream that it asks. */
ProbeResult CookieFleetModel::answerTo(const ModelInstance &instance, const ProbeRequest &request)
{
    if (request.purpose == ProbePurpose::peerSelfCheck) {
        return answerOfPeer(instance, request.address);
    }
    const auto resultOfCut = doCutsRefuse ? ProbeResult::refused : ProbeResult::silent;
    const bool isOfHost = request.purpose == ProbePurpose::host || request.purpose == ProbePurpose::hostSelfCheck;
    auto *upstream = isOfHost ? upstreamOnHost(request.address.address) : upstreamAt(request.address);
    if (upstream == nullptr) {
        return ProbeResult::silent;
    }
    const bool isAcrossCut = isCut(instance.dataCentre, upstream->entry.dataCentre);
    const bool isSilent = upstream->isDark || (isOfHost ? upstream->isHostSilent : upstream->isProbeSilent) || isAcrossCut;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(clock.elapsed()).count();
    ++upstream->attempts[second];
    upstream->reached[second] += isSilent ? 0 : 1;
    if (isSilent) {
        return isAcrossCut ? resultOfCut : ProbeResult::silent;
    }
    return upstream->isListening && !upstream->isProbeRefused && !isOfHost ? ProbeResult::connected : ProbeResult::refused;
}

/** Carries out what an instance's decisions want. */
void CookieFleetModel::carryOut(std::size_t index)
{
    auto &instance = instances[index];
    for (const auto &output : instance.decisions->outbox().outputs()) {
        if (output.kind == CookieOutputKind::report) {
            const std::vector<std::uint8_t> bytes(output.payload.begin(), output.payload.end());
            const auto other = instanceAt(output.destination);
            if (!other || !instances[*other].hearsPeers || isCut(instance.dataCentre, instances[*other].dataCentre)
                || areReportsCut(instance.dataCentre, instances[*other].dataCentre)) {
                continue;
            }
            const auto delay = instance.dataCentre == instances[*other].dataCentre ? insideDelay : outsideDelay;
            throughLink(*other, delay, [this, other = *other, bytes] {
                if (instances[other].isFrozen && instances[other].waitingReports.size() < mostWaitingReports) {
                    instances[other].waitingReports.push_back(bytes);
                } else if (instances[other].isRunning) {
                    instances[other].decisions->beginBatch();
                    instances[other].decisions->peerDatagramArrived(bytes);
                    carryOut(other);
                }
            });
        } else if (output.kind == CookieOutputKind::reset) {
            const auto packet = *m_format.decode(output.payload);
            toClient(packet.ends, [this](User &user) { clientReset(user, true); });
        } else {
            UpstreamId id = 0;
            std::memcpy(&id, output.header.data(), sizeof id);
            toUpstream(instance.dataCentre, output.destination, id, *m_format.decode(output.payload));
        }
    }
    instance.decisions->outbox().clear();
    for (const auto &request : instance.decisions->takeProbeRequests()) {
        beginAttempt(index, request);
    }
    for (const auto &request : instance.decisions->takeSnapshotRequests()) {
        requestSnapshot(index, request);
    }
}

/** Lets something enter the link of an instance now. */
void CookieFleetModel::enterLink(std::size_t index, const std::function<void()> &action)
{
    auto &link = instances[index];
    const auto now = clock.steadyNow();
    link.lastLinkArrival = std::max(link.lastLinkArrival, now + (link.hasSlowLink ? link.linkDelay : Microseconds(0)));
    if (link.lastLinkArrival == now) {
        action();
    } else {
        after(link.lastLinkArrival - now, action);
    }
}

/** Lets something enter the link of an instance after a delay. */
void CookieFleetModel::throughLink(std::size_t index, Microseconds delay, const std::function<void()> &action)
{
    after(delay, [this, index, action] { enterLink(index, action); });
}

void CookieFleetModel::fillLink(std::size_t index, Milliseconds time)
{
    auto &link = instances[index];
    link.lastLinkArrival = std::max(link.lastLinkArrival, clock.steadyNow()) + time;
}

/** The attempt ends with its answer, or at its deadline without one; an answer that leaves the link later is reported as late. */
void CookieFleetModel::beginAttempt(std::size_t index, const ProbeRequest &request)
{
    const auto attempt = std::make_shared<ModelAttempt>();
    attempt->request = request;
    instances[index].attempts.push_back(attempt);
    if (const auto answer = answerTo(instances[index], request); answer != ProbeResult::silent) {
        throughLink(index, 2 * outsideDelay, [this, index, attempt, answer] {
            attempt->answer = answer;
            settleAttempt(index, attempt);
        });
    }
    attempt->dueAt = instances[index].clock->steadyNow() + attemptDeadline;
    awaitDeadline(index, attempt);
}

/** The deadline counts by the clock of the instance, which may stand still. */
void CookieFleetModel::awaitDeadline(std::size_t index, const std::shared_ptr<ModelAttempt> &attempt)
{
    after(attempt->dueAt - instances[index].clock->steadyNow(), [this, index, attempt] {
        attempt->isDue = attempt->isDue || instances[index].clock->steadyNow() >= attempt->dueAt;
        settleAttempt(index, attempt);
    });
}

/** Ends an attempt that was answered or is due. Of an instance that stands still it waits until that goes on, which then takes an answer
    that has come after the deadline too. */
void CookieFleetModel::settleAttempt(std::size_t index, const std::shared_ptr<ModelAttempt> &attempt)
{
    auto &instance = instances[index];
    if (attempt->isOver || !instance.isRunning || (!attempt->answer && !attempt->isDue)) {
        return;
    }
    if (attempt->isReportedSilent && !attempt->answer) {
        return;
    }
    instance.decisions->beginBatch();
    if (!attempt->answer) {
        attempt->isReportedSilent = true;
        after(lateAnswerWait, [this, index, attempt] { std::erase(instances[index].attempts, attempt); });
        instance.decisions->probeEnded(attempt->request, ProbeResult::silent);
    } else {
        attempt->isOver = true;
        std::erase(instance.attempts, attempt);
        if (!attempt->isReportedSilent) {
            instance.decisions->probeEnded(attempt->request, *attempt->answer);
        } else if (instance.clock->steadyNow() - attempt->dueAt < lateAnswerWait) {
            instance.decisions->probeAnsweredLate(attempt->request, *attempt->answer);
        }
    }
    carryOut(index);
}

void CookieFleetModel::requestSnapshot(std::size_t index, const SnapshotRequest &request)
{
    const auto requestedAt = clock.steadyNow();
    for (auto &other : instances) {
        if (other.peer.address != request.controlEndpoint.address || !other.isRunning
            || isCut(instances[index].dataCentre, other.dataCentre)) {
            continue;
        }
        while (!other.answeredAt.empty() && requestedAt - other.answeredAt.front() >= 100ms) {
            other.answeredAt.pop_front();
        }
        if (other.answeredAt.size() >= static_cast<std::size_t>(m_settings.instancesAnswerAtATime)) {
            continue;
        }
        if (const auto snapshot = other.decisions->snapshot(request.scope)) {
            other.answeredAt.push_back(requestedAt);
            ++other.snapshotsServed;
            throughLink(index, 4 * outsideDelay, [this, index, snapshot, requestedAt] {
                if (clock.steadyNow() - requestedAt <= snapshotDeadline) {
                    instances[index].decisions->beginBatch();
                    instances[index].decisions->snapshotArrived(*snapshot);
                }
            });
        }
    }
}

/** Begins a call that gets no answer, or gives it up. */
void CookieFleetModel::waitForSilentStore(ModelInstance &instance)
{
    const auto now = clock.steadyNow();
    if (!instance.silentCallEndsAt) {
        ++instance.storeCalls;
        instance.silentCallEndsAt = now + silentCallTimeout;
    } else if (now >= *instance.silentCallEndsAt) {
        instance.silentCallEndsAt.reset();
        instance.decisions->beginBatch();
        instance.decisions->storeFailed();
    }
}

/** Answers the lists and watches of the instances that ask. */
void CookieFleetModel::serveStore()
{
    const auto now = clock.steadyNow();
    for (std::size_t index = 0; index < instances.size(); ++index) {
        auto &instance = instances[index];
        instance.isResumingWatch = instance.isResumingWatch || !instance.isRunning || !instance.decisions->shouldQueryStore();
        if (!instance.isRunning || !instance.decisions->shouldQueryStore() || now < instance.nextStoreAnswer) {
            continue;
        }
        instance.isStoreSilent = instance.isStoreSilent || (turnsAway && turnsAway(instance));
        if (instance.isStoreSilent || instance.silentCallEndsAt) {
            waitForSilentStore(instance);
            continue;
        }
        auto &decisions = *instance.decisions;
        instance.seenRevision = std::max(instance.seenRevision, decisions.storeRevisions().upstreams);
        const bool hasNews = instance.seenRevision < m_revision;
        ++instance.storeCalls;
        const bool isAnsweredAtOnce = std::exchange(instance.isResumingWatch, false) || hasNews;
        instance.nextStoreAnswer = now + storeDelay + (isAnsweredAtOnce ? Milliseconds(0) : watchTime);
        if (isStoreAway || !instance.reachesStore) {
            decisions.beginBatch();
            decisions.storeFailed();
        } else {
            answerStoreCall(index);
        }
    }
}

/** Sends an instance what the store holds now; it may wait in the link of the instance. */
void CookieFleetModel::answerStoreCall(std::size_t index)
{
    auto &instance = instances[index];
    std::optional<UpstreamList> list;
    UpstreamChanges changes;
    if (instance.seenRevision == 0 || storeGeneration(instance.seenRevision) < storeGeneration(m_revision)) {
        list = UpstreamList {m_revision, {}, {}};
        for (const auto &upstream : upstreams) {
            if (upstream.entry.phase != RegistrationPhase::departed) {
                list->entries.push_back(upstream.entry);
            }
        }
        ++instance.storeLists;
    } else {
        for (const auto &[revision, entry] : m_history) {
            if (revision <= instance.seenRevision) {
                continue;
            }
            if (entry.phase == RegistrationPhase::departed) {
                changes.departed.emplace_back(entry.id, entry.revision);
            } else {
                changes.entries.push_back(entry);
            }
        }
    }
    const RouteConfiguration configuration {m_routesRevision, m_routesRevision, 15s, routes, m_settings.policies};
    enterLink(index, [this, index, list, changes, configuration, revision = m_revision, start = instance.starts] {
        auto &target = instances[index];
        if (!target.isRunning || target.starts != start) {
            return;
        }
        auto &decisions = *target.decisions;
        decisions.beginBatch();
        if (list) {
            decisions.upstreamsListed(*list);
        } else {
            decisions.upstreamsChanged(changes);
        }
        decisions.routesArrived(configuration);
        decisions.storeConfirmed(StoreDataKind::upstreams, revision);
        decisions.storeConfirmed(StoreDataKind::routes, revision);
        target.seenRevision = revision;
        decisions.tick();
        carryOut(index);
    });
    instance.nextStoreAnswer = std::max(instance.nextStoreAnswer, instance.lastLinkArrival); // one call at a time
}

void CookieFleetModel::checkRotation()
{
    for (auto &instance : instances) {
        instance.isInRotation = instance.isRunning && instance.decisions->isReady() && !instance.isKeptOutOfRotation;
    }
}

void CookieFleetModel::keepOutOfRotation(std::size_t index, bool isKeptOut)
{
    instances[index].isKeptOutOfRotation = isKeptOut;
    checkRotation();
}

void CookieFleetModel::toInstance(const std::string &dataCentre, const ClientPacket &packet)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (instances[index].dataCentre == dataCentre && instances[index].isInRotation) {
            candidates.push_back(index);
        }
    }
    if (candidates.empty()) {
        for (std::size_t index = 0; index < instances.size(); ++index) {
            if (instances[index].dataCentre == dataCentre) {
                candidates.push_back(index);
            }
        }
    }
    const auto index = candidates[std::hash<FlowEnds>()(packet.ends) % candidates.size()];
    throughLink(index, clientDelay, [this, index, packet] {
        auto &instance = instances[index];
        if (instance.isFrozen) {
            instance.waitingPackets.push_back(bytesOf(packet));
        } else if (instance.isRunning) {
            auto bytes = bytesOf(packet);
            instance.decisions->beginBatch();
            instance.decisions->packetArrived(bytes);
            carryOut(index);
        }
    });
}

void CookieFleetModel::setArrivals(const std::vector<double> &perSecond)
{
    m_settings.arrivalsPerSecond = perSecond;
}

void CookieFleetModel::setKindShares(const std::vector<double> &shares)
{
    for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind) {
        m_settings.kinds[kind].share = shares[kind];
    }
}

void CookieFleetModel::configure(const std::vector<Route> &newRoutes)
{
    for (const auto &route : routes) {
        if (std::none_of(newRoutes.begin(), newRoutes.end(), [&route](const Route &item) { return item.address == route.address; })) {
            m_routeRemovals[route.address] = {clock.steadyNow(), std::nullopt};
        }
    }
    for (const auto &route : newRoutes) {
        if (const auto removal = m_routeRemovals.find(route.address); removal != m_routeRemovals.end() && !removal->second.addedAt) {
            removal->second.addedAt = clock.steadyNow();
        }
    }
    routes = newRoutes;
    m_routesRevision = ++m_revision;
}

} // namespace sapphirespan::model
