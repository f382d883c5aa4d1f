#include "CookieFleetModel.h"

#include <algorithm>
#include <cstring>

namespace sapphirespan::model {

namespace {

using namespace std::chrono_literals;

constexpr Microseconds clientDelay = 3ms;
constexpr Microseconds insideDelay = 200us;
constexpr Microseconds outsideDelay = 1400us;
constexpr Microseconds storeDelay = 4ms;
constexpr Microseconds slowLinkDelay = 300ms;
constexpr Milliseconds watchTime = 1s;
constexpr Milliseconds readinessPeriod = 500ms;
constexpr Milliseconds drainBound = 3s;
constexpr std::uint16_t returnPort = 9000;
constexpr std::uint16_t peerPort = 7000;
constexpr std::uint16_t controlPort = 7001;
constexpr int mostRetries = 2;
constexpr std::array<Milliseconds, 2> openingCopies {200ms, 600ms};
constexpr Milliseconds openingEnds = 1400ms;
constexpr std::array<Milliseconds, 4> dataCopies {200ms, 600ms, 1400ms, 3000ms};
constexpr std::uint32_t requestBytes = 100;
constexpr std::uint32_t responseBytes = 1000;

std::vector<std::uint8_t> bytesOf(const ClientPacket &packet)
{
    std::vector<std::uint8_t> bytes(sizeof(ClientPacket));
    std::memcpy(bytes.data(), &packet, sizeof packet);
    return bytes;
}

} // namespace

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

/** One client that sends a request, waits, pauses and sends the next. */
struct CookieFleetModel::User {
    std::string dataCentre;
    std::uint32_t address = 0;
    const RequestKind *kind = nullptr;
    std::uint16_t port = 20000;
    FlowEnds ends;
    bool isOpen = false;
    std::uint64_t attempt = 0; ///< grows with each try; actions of an earlier one are ignored
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    FlowCookie cookie = 0;
    bool isAsking = false;
    SteadyTime askedAt {};
    int retries = 0;
};

CookieFleetModel::CookieFleetModel(const ModelSettings &settings)
    : isCut([](const std::string &, const std::string &) { return false; })
    , m_settings(settings)
    , m_random(settings.seed)
{
    std::vector<std::string> services;
    for (const auto &kind : settings.kinds) {
        if (std::find(services.begin(), services.end(), kind.service) == services.end()) {
            services.push_back(kind.service);
        }
    }
    std::uint32_t address = 0x0a000001;
    for (std::size_t zone = 0; zone < settings.dataCentres.size(); ++zone) {
        for (const auto &service : services) {
            for (int index = 0; index < settings.upstreamsPerDataCentre; ++index) {
                addUpstream(settings.dataCentres[zone], service);
            }
        }
        for (int index = 0; index < settings.instancesPerDataCentre; ++index) {
            auto &instance = instances.emplace_back();
            instance.dataCentre = settings.dataCentres[zone];
            instance.peer = toEndpoint({address++, peerPort});
        }
        for (int index = 0; index < settings.usersPerDataCentre; ++index) {
            auto &user = *m_users.emplace_back(std::make_unique<User>());
            user.dataCentre = settings.dataCentres[zone];
            user.address = 0x64400000 + static_cast<std::uint32_t>(m_users.size());
            user.kind = &m_settings.kinds[m_users.size() % m_settings.kinds.size()];
            after(Milliseconds(2000 + draw(1000)), [this, &user] { startRequest(user); });
        }
    }
    for (std::size_t index = 0; index < services.size(); ++index) {
        routes.push_back({{0xc6120001, static_cast<std::uint16_t>(443 + index)}, {{services[index], 1}}});
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
    every(2ms, [this] { serveStore(); });
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

void CookieFleetModel::startInstance(std::size_t index)
{
    auto &instance = instances[index];
    CookieInstanceSettings settings;
    settings.name = "entry-" + std::to_string(index);
    settings.dataCentre = instance.dataCentre;
    settings.incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    settings.peer = instance.peer;
    settings.control = {instance.peer.address, controlPort};
    settings.returnPort = returnPort;
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, instances.size()); ++seed) {
        settings.seeds.push_back({instances[seed * instances.size() / 3].peer.address, controlPort});
    }
    settings.randomSeed = m_settings.seed * 1000 + index + 100 * static_cast<std::uint64_t>(instance.starts++);
    instance.decisions = std::make_unique<CookieInstance>(settings, m_format, clock);
    instance.isRunning = true;
    instance.seenRevision = 0;
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
    carryOut(index);
    instance.waitingPackets.clear();
}

void CookieFleetModel::stopInstance(std::size_t index)
{
    instances[index].isRunning = false;
}

/** Carries out what an instance's decisions want. */
void CookieFleetModel::carryOut(std::size_t index)
{
    auto &instance = instances[index];
    for (const auto &output : instance.decisions->outbox().outputs()) {
        if (output.kind == CookieOutputKind::report) {
            const std::vector<std::uint8_t> bytes(output.payload.begin(), output.payload.end());
            for (std::size_t other = 0; other < instances.size(); ++other) {
                if (instances[other].peer != output.to || isCut(instance.dataCentre, instances[other].dataCentre)) {
                    continue;
                }
                after(instance.dataCentre == instances[other].dataCentre ? insideDelay : outsideDelay, [this, other, bytes] {
                    if (instances[other].isRunning) {
                        instances[other].decisions->beginBatch();
                        instances[other].decisions->peerDatagramArrived(bytes);
                        carryOut(other);
                    }
                });
            }
        } else if (output.kind == CookieOutputKind::reset) {
            const auto packet = *m_format.decode(output.payload);
            toClient(packet.ends, [this](User &user) { clientReset(user, true); });
        } else {
            UpstreamId id = 0;
            std::memcpy(&id, output.header.data(), sizeof id);
            toUpstream(instance.dataCentre, output.to, id, *m_format.decode(output.payload));
        }
    }
    instance.decisions->outbox().clear();
    for (const auto &request : instance.decisions->takeProbeRequests()) {
        const auto *upstream = upstreamAt(request.address);
        const bool isSilent
            = upstream == nullptr || upstream->isDark || instance.hasSlowLink || isCut(instance.dataCentre, upstream->entry.dataCentre);
        const auto result = isSilent ? ProbeResult::silent : (upstream->isListening ? ProbeResult::connected : ProbeResult::refused);
        after(isSilent ? 60ms : 2 * outsideDelay, [this, index, request, result] {
            if (instances[index].isRunning) {
                instances[index].decisions->beginBatch();
                instances[index].decisions->probeEnded(request, result);
                carryOut(index);
            }
        });
    }
    for (const auto &request : instance.decisions->takeSnapshotRequests()) {
        for (auto &other : instances) {
            if (other.peer.address != request.control.address || !other.isRunning || isCut(instance.dataCentre, other.dataCentre)) {
                continue;
            }
            if (const auto snapshot = other.decisions->snapshot(request.scope)) {
                ++other.snapshotsServed;
                after(4 * outsideDelay, [this, index, snapshot] {
                    instances[index].decisions->beginBatch();
                    instances[index].decisions->snapshotArrived(*snapshot);
                });
            }
        }
    }
}

/** Answers the lists and watches of the instances that ask. */
void CookieFleetModel::serveStore()
{
    const auto now = clock.steadyNow();
    for (std::size_t index = 0; index < instances.size(); ++index) {
        auto &instance = instances[index];
        if (!instance.isRunning || !instance.decisions->wantsStore() || now < instance.nextStoreAnswer) {
            continue;
        }
        const bool hasNews = instance.seenRevision < m_revision;
        auto &decisions = *instance.decisions;
        decisions.beginBatch();
        ++instance.storeCalls;
        instance.nextStoreAnswer = now + storeDelay + (hasNews ? Milliseconds(0) : watchTime);
        if (isStoreAway || !instance.reachesStore) {
            decisions.storeFailed();
            continue;
        }
        if (instance.seenRevision == 0) {
            UpstreamList list {m_revision, {}, {}};
            for (const auto &upstream : upstreams) {
                if (upstream.entry.phase != ListedPhase::departed) {
                    list.entries.push_back(upstream.entry);
                }
            }
            decisions.upstreamsListed(list);
        } else {
            UpstreamChanges changes;
            for (const auto &[revision, entry] : m_history) {
                if (revision <= instance.seenRevision) {
                    continue;
                }
                if (entry.phase == ListedPhase::departed) {
                    changes.departed.emplace_back(entry.id, entry.revision);
                } else {
                    changes.entries.push_back(entry);
                }
            }
            decisions.upstreamsChanged(changes);
        }
        decisions.routesArrived({m_routesRevision, m_routesRevision, 15s, routes});
        decisions.storeConfirmed(KnowledgePart::upstreams);
        decisions.storeConfirmed(KnowledgePart::routes);
        instance.seenRevision = m_revision;
        decisions.tick();
        carryOut(index);
    }
}

void CookieFleetModel::checkRotation()
{
    for (auto &instance : instances) {
        instance.isInRotation = instance.isRunning && instance.decisions->isReady();
    }
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
    after(clientDelay + (instances[index].hasSlowLink ? slowLinkDelay : Microseconds(0)), [this, index, packet] {
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

ModelUpstream *CookieFleetModel::upstreamAt(const Endpoint &address)
{
    const auto found = std::find_if(upstreams.rbegin(), upstreams.rend(),
                                    [&address](const ModelUpstream &upstream) { return toEndpoint(upstream.entry.address) == address; });
    return found == upstreams.rend() ? nullptr : &*found;
}

ModelUpstream *CookieFleetModel::holderOf(const FlowEnds &ends)
{
    const auto found
        = std::find_if(upstreams.begin(), upstreams.end(), [&ends](const ModelUpstream &item) { return item.flows.contains(ends); });
    return found == upstreams.end() ? nullptr : &*found;
}

void CookieFleetModel::toUpstream(const std::string &fromDataCentre, const Endpoint &to, UpstreamId id, const ClientPacket &packet)
{
    auto *upstream = upstreamAt(to);
    if (upstream == nullptr || upstream->isDark || isCut(fromDataCentre, upstream->entry.dataCentre)) {
        return;
    }
    after(fromDataCentre == upstream->entry.dataCentre ? insideDelay : outsideDelay, [this, upstream, id, packet] {
        const auto &ends = packet.ends;
        if (upstream->isDark || upstream->entry.id != id) {
            m_counts.misdelivered += upstream->entry.id != id ? 1 : 0; // not taken: the header names another
            return;
        }
        const auto route = std::find_if(routes.begin(), routes.end(), [&](const Route &item) { return item.address == ends.service; });
        const bool isOther = route == routes.end() || route->services.front().service != upstream->entry.service;
        m_counts.takenByOthers += isOther ? 1 : 0;
        if (!upstream->isListening || (!packet.isOpening && !upstream->flows.contains(ends))) {
            toClient(ends, [this](User &user) { clientReset(user, false); });
            return;
        }
        if (packet.isOpening) {
            m_counts.misdelivered += isOther ? 1 : 0;
            const bool isLate = upstream->drainingSince && clock.steadyNow() - *upstream->drainingSince > drainBound;
            m_counts.placedOnDraining += isLate && !upstream->flows.contains(ends) ? 1 : 0;
            upstream->flows.emplace(ends, false);
            toClient(ends, [this, cookie = packet.cookie](User &user) {
                if (!user.isOpen) {
                    user.isOpen = true;
                    user.cookie = cookie;
                    user.acknowledged = 1;
                    sendData(user, 0);
                }
            });
        } else if (packet.payloadBytes > 0 && !upstream->flows[ends]) {
            upstream->flows[ends] = true;
            const auto owner = m_flowOwners.find(ends.client);
            if (owner != m_flowOwners.end()) {
                const auto mean = static_cast<std::uint64_t>(owner->second->kind->work.count());
                serve(*upstream, ends, Milliseconds(mean / 2 + draw(mean + 1)));
            }
        }
    });
}

void CookieFleetModel::serve(ModelUpstream &upstream, const FlowEnds &ends, Milliseconds work)
{
    const auto begin = [this, &upstream, ends, work] {
        ++upstream.running;
        const auto time = std::chrono::duration_cast<Microseconds>(work * upstream.slowness);
        after(time, [this, &upstream, ends] {
            if (upstream.isDark || !upstream.isListening) {
                return;
            }
            if (const auto flow = upstream.flows.find(ends); flow != upstream.flows.end()) {
                flow->second = false;
            }
            toClient(ends, [this](User &user) {
                if (user.isOpen && user.isAsking) {
                    user.acknowledged += responseBytes;
                    endRequest(user, true);
                }
            });
            finishOne(upstream);
        });
    };
    if (upstream.running < upstream.entry.slots) {
        begin();
    } else if (upstream.waiting.size() < static_cast<std::size_t>(m_settings.queue)) {
        upstream.waiting.push_back(begin);
    } else {
        upstream.flows[ends] = false;
        toClient(ends, [this](User &user) { endAttempt(user, true); }); // shed: not run
    }
}

void CookieFleetModel::finishOne(ModelUpstream &upstream)
{
    --upstream.running;
    if (!upstream.waiting.empty()) {
        const auto next = upstream.waiting.front();
        upstream.waiting.pop_front();
        next();
    }
}

void CookieFleetModel::toClient(const FlowEnds &ends, std::function<void(User &)> action)
{
    after(clientDelay, [this, ends, action = std::move(action)] {
        if (const auto owner = m_flowOwners.find(ends.client); owner != m_flowOwners.end() && owner->second->ends == ends) {
            action(*owner->second);
        }
    });
}

void CookieFleetModel::startRequest(User &user)
{
    ++m_counts.asked;
    m_counts.owed += 1;
    user.isAsking = true;
    user.askedAt = clock.steadyNow();
    user.retries = 0;
    after(user.kind->deadline, [this, &user, asked = user.askedAt] {
        if (user.isAsking && user.askedAt == asked) {
            endRequest(user, false);
        }
    });
    if (user.isOpen) {
        sendData(user, 0);
    } else {
        sendOpening(user, 0);
    }
}

void CookieFleetModel::sendOpening(User &user, int copy)
{
    if (copy == 0) {
        ++user.attempt;
        m_flowOwners.erase(user.ends.client);
        const auto route = std::find_if(routes.begin(), routes.end(),
                                        [&user](const Route &item) { return item.services.front().service == user.kind->service; });
        user.ends = {{user.address, user.port++}, route->address};
        m_flowOwners[user.ends.client] = &user;
        user.sequence = static_cast<std::uint32_t>(m_random());
        user.isOpen = false;
        user.cookie = 0;
        after(openingEnds, [this, &user, attempt = user.attempt] {
            if (user.attempt == attempt && !user.isOpen) {
                endAttempt(user, true);
            }
        });
    }
    ClientPacket packet;
    packet.ends = user.ends;
    packet.isOpening = true;
    packet.sequence = user.sequence;
    packet.acknowledged = static_cast<std::uint32_t>(copy);
    toInstance(user.dataCentre, packet);
    if (copy < static_cast<int>(openingCopies.size())) {
        const auto wait = openingCopies[copy] - (copy > 0 ? openingCopies[copy - 1] : 0ms);
        after(wait, [this, &user, copy, attempt = user.attempt] {
            if (user.attempt == attempt && !user.isOpen && user.isAsking) {
                sendOpening(user, copy + 1);
            }
        });
    }
}

void CookieFleetModel::sendData(User &user, int copy)
{
    if (copy == 0) {
        user.sequence += requestBytes;
    }
    ClientPacket packet;
    packet.ends = user.ends;
    packet.sequence = user.sequence - requestBytes;
    packet.acknowledged = user.acknowledged;
    packet.payloadBytes = requestBytes;
    packet.cookie = user.cookie;
    toInstance(user.dataCentre, packet);
    if (copy < static_cast<int>(dataCopies.size())) {
        const auto wait = dataCopies[copy] - (copy > 0 ? dataCopies[copy - 1] : 0ms);
        after(wait, [this, &user, copy, attempt = user.attempt, sequence = user.sequence] {
            if (user.attempt == attempt && user.isOpen && user.isAsking && user.sequence == sequence) {
                sendData(user, copy + 1);
            }
        });
    }
}

void CookieFleetModel::endAttempt(User &user, bool mayRetry)
{
    user.isOpen = false;
    if (!user.isAsking) {
        return;
    }
    if (mayRetry && user.retries < mostRetries) {
        ++user.retries;
        sendOpening(user, 0);
    } else {
        endRequest(user, false);
    }
}

void CookieFleetModel::endRequest(User &user, bool isServed)
{
    user.isAsking = false;
    const auto time = clock.steadyNow() - user.askedAt;
    if (!isServed) {
        ++m_counts.failed;
        user.isOpen = false;
        ++user.attempt;
    } else if (time <= user.kind->aim) {
        ++m_counts.inAim;
        m_counts.worth += 1;
    } else {
        ++m_counts.late;
        m_counts.worth += user.kind->lateWorth;
    }
    if (isServed) {
        ClientPacket packet; // acknowledges the response
        packet.ends = user.ends;
        packet.sequence = user.sequence;
        packet.acknowledged = user.acknowledged;
        packet.cookie = user.cookie;
        packet.isClosing = !user.kind->usesLongFlows;
        toInstance(user.dataCentre, packet);
        user.isOpen = user.kind->usesLongFlows;
    }
    const auto mean = static_cast<std::uint64_t>(m_settings.think.count());
    after(Milliseconds(mean / 2 + draw(mean + 1)), [this, &user] { startRequest(user); });
}

void CookieFleetModel::clientReset(User &user, bool isBySystem)
{
    const auto *holder = holderOf(user.ends);
    if (isBySystem && user.isOpen && holder != nullptr && holder->isListening && !holder->isDark) {
        const bool isReached = std::none_of(instances.begin(), instances.end(), [&](const ModelInstance &instance) {
            return instance.dataCentre == user.dataCentre && isCut(instance.dataCentre, holder->entry.dataCentre);
        });
        m_counts.brokenFlows += isReached ? 1 : 0;
    }
    const bool wasOpen = user.isOpen;
    endAttempt(user, user.kind->isIdempotent || !wasOpen);
}

void CookieFleetModel::crash(std::size_t index, bool isSilent)
{
    auto &upstream = upstreams[index];
    upstream.isListening = false;
    upstream.isDark = isSilent;
    upstream.flows.clear();
    upstream.waiting.clear();
}

void CookieFleetModel::drain(std::size_t index)
{
    upstreams[index].entry.phase = ListedPhase::draining;
    upstreams[index].entry.revision = ++m_revision;
    upstreams[index].drainingSince = clock.steadyNow();
    m_history.emplace_back(m_revision, upstreams[index].entry);
}

void CookieFleetModel::remove(std::size_t index)
{
    upstreams[index].entry.phase = ListedPhase::departed;
    m_history.emplace_back(++m_revision, upstreams[index].entry);
}

std::size_t CookieFleetModel::addUpstream(const std::string &dataCentre, const std::string &service)
{
    return addUpstreamAt(dataCentre, service, {0x0a800000 + static_cast<std::uint32_t>(upstreams.size()), 8080});
}

std::size_t CookieFleetModel::addUpstreamAt(const std::string &dataCentre, const std::string &service, const Ipv4Endpoint &address)
{
    ModelUpstream upstream;
    upstream.entry.id = m_nextId++;
    upstream.entry.startedAt = clock.wallNow().time_since_epoch().count();
    upstream.entry.revision = ++m_revision;
    upstream.entry.service = service;
    upstream.entry.address = address;
    upstream.entry.dataCentre = dataCentre;
    upstream.entry.slots = m_settings.slots;
    m_history.emplace_back(m_revision, upstream.entry);
    upstreams.push_back(std::move(upstream));
    return upstreams.size() - 1;
}

void CookieFleetModel::configure(const std::vector<Route> &newRoutes)
{
    routes = newRoutes;
    m_routesRevision = ++m_revision;
}

} // namespace sapphirespan::model
