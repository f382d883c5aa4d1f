#include "FleetModel.h"

#include "FlowPackets.h"

#include <algorithm>
#include <numeric>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Microseconds withinDataCentre = 200us;
constexpr Microseconds betweenDataCentres = 1500us;
constexpr Microseconds callerDelay = 3ms;
constexpr Milliseconds tickPeriod = 20ms;
constexpr Milliseconds samplePeriod = 1s;
constexpr Microseconds stallLimit = 15s;
constexpr Milliseconds firstRetransmission = 200ms;
constexpr Milliseconds longestRetransmission = 2s;
constexpr Milliseconds synRetransmission = 1s;
constexpr Milliseconds drainNewsLimit = 3s;
constexpr Microseconds fetchTime = 20ms;
constexpr Microseconds slowJoin = 8s;
constexpr std::uint64_t mostBrokenNoted = 3;
constexpr std::size_t longestBacklog = 4096; ///< datagrams that a frozen process's socket keeps

Endpoint endpointOf(unsigned network, std::size_t host, std::uint16_t port)
{
    Endpoint endpoint;
    endpoint.address.bytes
        = {10, static_cast<std::uint8_t>(network), static_cast<std::uint8_t>(host >> 8), static_cast<std::uint8_t>(host)};
    endpoint.port = port;
    return endpoint;
}

} // namespace

/** One instance with what surrounds it. */
struct FleetModel::Node {
    std::size_t number = 0;
    std::size_t dataCentre = 0;
    EntryInstanceSettings settings;
    std::unique_ptr<InvariantLog> invariants;
    std::unique_ptr<EntryInstance> instance;
    std::unique_ptr<BaselineDecider> baseline;
    std::vector<std::function<void()>> backlog; ///< while frozen
    std::uint64_t life = 0; ///< counts starts; timers of an earlier life do nothing
    Milliseconds newsLag {0}; ///< by which this instance learns of changes later than the first
    bool isRunning = false;
    bool isFrozen = false;
    bool isLeaving = false;
    bool isSeenByFabric = false;
    bool isFetching = false;
    std::optional<Microseconds> joiningSince; ///< until it is admitted
    bool isSlowJoinNoted = false;
};

/** One server. */
struct FleetModel::Upstream {
    Endpoint tunnel;
    std::set<std::size_t> flows; ///< numbers of flows that it knows
    std::vector<std::pair<Microseconds, std::size_t>> history; ///< connections over time, for late reports
    std::uint64_t requests = 0; ///< since the counts began; each holds a slot for the same mean time
    bool wasAlwaysOpen = true; ///< since the counts began
    std::optional<Microseconds> openSince; ///< it counts towards imbalance once its slow start is over
    std::optional<Microseconds> drainingSince;
    std::optional<Microseconds> drainNewsAt; ///< when the first instance learned of it
    bool isAlive = true;
    bool isShedding = false;
};

struct FleetModel::Service {
    ServiceSetup setup;
    ServiceFile file;
    std::shared_ptr<const ServiceContent> content;
    std::vector<std::unique_ptr<Upstream>> upstreams; ///< by ordinal
};

/** One connection of a caller. */
struct FleetModel::Flow {
    std::size_t number = 0;
    std::size_t service = 0;
    FlowKey key;
    std::optional<std::size_t> upstream; ///< ordinal that first took the opening packet
    Microseconds openedAt {0}; ///< when it did
    Microseconds endsAt {0};
    Microseconds waitingSince {0}; ///< when the packet that waits for delivery was first sent
    Milliseconds nextRetransmission {0};
    bool isWaiting = false;
    bool isOver = false;
};

FleetModel::FleetModel(const ModelSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_catalogue(std::make_shared<Catalogue>())
{
    PeerKey key {1, {}};
    key.secret.fill(0x5a);
    m_keys.keys.push_back(key);
    m_catalogue->index.hashKey.fill(static_cast<std::uint8_t>(settings.seed));
    for (std::size_t service = 0; service < settings.services.size(); ++service) {
        startService(service);
    }
    for (std::size_t number = 0; number < settings.instances; ++number) {
        addInstance();
    }
}

FleetModel::~FleetModel() = default;

Microseconds FleetModel::randomUpTo(Microseconds longest)
{
    return Microseconds(longest.count() > 0 ? static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest.count() + 1)) : 0);
}

bool FleetModel::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>()(m_random) < share;
}

// Services and upstreams

void FleetModel::startService(std::size_t number)
{
    auto service = std::make_unique<Service>();
    service->setup = m_settings.services[number];
    service->file.name = service->setup.name + std::to_string(number);
    service->file.addresses = {{endpointOf(80, number + 1, 443), Protocol::tcp}};
    service->file.traffic = service->setup.traffic;
    m_services.push_back(std::move(service));
    publishChange(number, [&](ServiceFile &file) {
        for (std::size_t upstream = 0; upstream < m_settings.services[number].upstreams; ++upstream) {
            UpstreamSpec spec;
            spec.tunnel = endpointOf(static_cast<unsigned>(100 + number), upstream + 1, 6080);
            spec.dataCentre = "dc";
            spec.status = spec.tunnel;
            file.upstreams.push_back(spec);
        }
    });
}

void FleetModel::publishChange(std::size_t number, const std::function<void(ServiceFile &)> &change)
{
    auto &service = *m_services[number];
    change(service.file);
    auto catalogue = std::make_shared<Catalogue>(*m_catalogue);
    ++catalogue->head.generation;
    catalogue->index.generation = catalogue->head.generation;
    catalogue->head.indexDigest = std::to_string(catalogue->head.generation);
    LastReason reason;
    const auto content = contentAfterPublish(service.file, service.content.get(), static_cast<ServiceNumber>(number),
                                             catalogue->head.generation, m_events.clock().wallNow(), reason);
    if (!content) {
        return; // too many changes in transition; a publisher would be refused
    }
    service.content = std::make_shared<const ServiceContent>(*content);
    catalogue->services.resize(m_services.size());
    catalogue->services[number] = service.content;
    m_catalogue = catalogue;
    for (auto ordinal = service.upstreams.size(); ordinal < content->upstreams.size(); ++ordinal) {
        service.upstreams.push_back(std::make_unique<Upstream>());
        service.upstreams.back()->tunnel = content->upstreams[ordinal].spec.tunnel;
        m_upstreamByTunnel[service.upstreams.back()->tunnel] = {number, ordinal};
    }
    for (const auto &node : m_nodes) {
        m_events.after(randomUpTo(m_settings.longestSkew), [this, catalogue, number = node->number, life = node->life] {
            auto &target = *m_nodes[number];
            if (target.isRunning && target.life == life) {
                handleBatch(target, [&target, catalogue] { target.instance->catalogueArrived(catalogue); });
            }
        });
    }
    teachBaselines(number, m_settings.longestSkew);
}

void FleetModel::teachBaselines(std::size_t number, Milliseconds longestDelay)
{
    std::vector<bool> isClosed;
    for (const auto &upstream : m_services[number]->upstreams) {
        isClosed.push_back(upstream->drainingSince || !upstream->isAlive || upstream->isShedding);
    }
    for (const auto &node : m_nodes) {
        m_events.after(randomUpTo(longestDelay), [&target = *node, content = m_services[number]->content, isClosed] {
            if (target.baseline) {
                target.baseline->learn(*content, isClosed);
            }
        });
    }
}

void FleetModel::drainUpstream(std::size_t service, std::size_t upstream)
{
    m_services[service]->upstreams[upstream]->drainingSince = m_events.clock().elapsed();
    m_services[service]->upstreams[upstream]->drainNewsAt.reset();
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::undrainUpstream(std::size_t service, std::size_t upstream)
{
    m_services[service]->upstreams[upstream]->drainingSince.reset();
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::setShedding(std::size_t service, std::size_t upstream, bool isShedding)
{
    m_services[service]->upstreams[upstream]->isShedding = isShedding;
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::killUpstream(std::size_t service, std::size_t upstream)
{
    auto &dead = *m_services[service]->upstreams[upstream];
    dead.isAlive = false;
    for (const auto flow : std::set<std::size_t>(dead.flows)) {
        endFlow(*m_flows[flow]);
    }
    teachBaselines(service, m_settings.longestSkew);
}

void FleetModel::addUpstream(std::size_t service)
{
    publishChange(service, [&](ServiceFile &file) {
        auto spec = file.upstreams.back();
        spec.tunnel = endpointOf(static_cast<unsigned>(100 + service), m_services[service]->upstreams.size() + 1, 6080);
        spec.status = spec.tunnel;
        file.upstreams.push_back(spec);
    });
}

void FleetModel::removeUpstream(std::size_t service, std::size_t upstream)
{
    const auto tunnel = m_services[service]->upstreams[upstream]->tunnel;
    publishChange(service, [&](ServiceFile &file) {
        std::erase_if(file.upstreams, [&](const UpstreamSpec &spec) { return spec.tunnel == tunnel && file.upstreams.size() > 1; });
    });
}

void FleetModel::changeWeight(std::size_t service, std::size_t upstream, std::uint32_t weight)
{
    const auto tunnel = m_services[service]->upstreams[upstream]->tunnel;
    publishChange(service, [&](ServiceFile &file) {
        for (auto &spec : file.upstreams) {
            spec.weight = spec.tunnel == tunnel ? weight : spec.weight;
        }
    });
}

void FleetModel::changeTraffic(std::size_t service, const TrafficPolicy &traffic)
{
    publishChange(service, [&](ServiceFile &file) { file.traffic = traffic; });
}

std::vector<std::size_t> FleetModel::connections(std::size_t service) const
{
    std::vector<std::size_t> result;
    for (const auto &upstream : m_services[service]->upstreams) {
        result.push_back(upstream->flows.size());
    }
    return result;
}

// Instances

std::size_t FleetModel::addInstance()
{
    const auto number = m_nodes.size();
    auto node = std::make_unique<Node>();
    node->number = number;
    node->dataCentre = number % m_settings.dataCentres;
    node->settings.name = "entry-" + std::to_string(number + 1);
    node->settings.dataCentre = "dc-" + std::to_string(node->dataCentre + 1);
    node->settings.peer = endpointOf(1, number + 1, 6082);
    node->settings.control = endpointOf(1, number + 1, 6083);
    node->settings.returnPath = endpointOf(2, 1, 6084);
    node->settings.timing = m_settings.timing;
    m_nodeByPeer[node->settings.peer] = number;
    m_nodes.push_back(std::move(node));
    restart(number);
    return number;
}

void FleetModel::restart(std::size_t number)
{
    auto &node = *m_nodes[number];
    if (node.isRunning) {
        return;
    }
    startNode(node);
}

void FleetModel::restartAllStopped()
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        restart(number);
    }
    for (const auto &service : m_services) {
        for (const auto &upstream : service->upstreams) {
            upstream->isAlive = true;
        }
    }
}

void FleetModel::startNode(Node &node)
{
    note("start " + node.settings.name);
    ++node.life;
    node.joiningSince = m_events.clock().elapsed();
    node.isSlowJoinNoted = false;
    node.isRunning = true;
    node.isLeaving = false;
    node.isFrozen = false;
    node.isFetching = false;
    node.backlog.clear();
    node.newsLag = std::chrono::duration_cast<Milliseconds>(randomUpTo(m_settings.longestSkew));
    node.settings.randomSeed = m_random();
    node.settings.seeds.clear();
    for (const auto &other : m_nodes) {
        if (other->number != node.number) {
            node.settings.seeds.push_back(other->settings.peer);
        }
    }
    node.invariants = std::make_unique<InvariantLog>();
    node.invariants->signalBreach.connect([this, number = node.number](Invariant invariant, const std::string &detail) {
        ++m_counts.invariantBreaches;
        m_counts.breachDetails.push_back("instance " + std::to_string(number) + ": " + std::string(nameOf(invariant)) + " " + detail);
    });
    node.instance = std::make_unique<EntryInstance>(node.settings, m_keys, m_events.clock(), *node.invariants);
    if (m_settings.scheme != Scheme::steering) {
        node.baseline = std::make_unique<BaselineDecider>(m_settings.scheme == Scheme::hashWithCache);
        for (std::size_t service = 0; service < m_services.size(); ++service) {
            teachBaselines(service, Milliseconds(0));
        }
    }
    handleBatch(node, [&] { node.instance->catalogueArrived(m_catalogue); });
    m_events.after(randomUpTo(tickPeriod), [this, number = node.number, life = node.life] { tickNode(number, life); });
    m_events.after(randomUpTo(m_settings.timing.probe), [this, number = node.number, life = node.life] { probeFrom(number, life); });
}

void FleetModel::kill(std::size_t number)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning) {
        return;
    }
    for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
        const auto traffic = node.instance->traffic(static_cast<PeerTraffic>(kind));
        m_trafficOfEnded[kind] += traffic.bytes;
        m_messagesOfEnded += traffic.messages;
    }
    m_relayedOfEnded += node.instance->accounts().relayed;
    node.isRunning = false;
    ++node.life;
    m_events.after(m_settings.fabricLag, [&node, life = node.life] { node.isSeenByFabric = node.life != life && node.isSeenByFabric; });
}

void FleetModel::leave(std::size_t number)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning || node.isFrozen) {
        return;
    }
    note("leave " + node.settings.name);
    node.isLeaving = true;
    handleBatch(node, [&node] { node.instance->leaveRequested(); });
}

void FleetModel::freeze(std::size_t number, Milliseconds length)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning || node.isFrozen) {
        return;
    }
    node.isFrozen = true;
    m_events.after(length, [this, &node, life = node.life] {
        if (node.life != life) {
            return;
        }
        node.isFrozen = false;
        const auto backlog = std::exchange(node.backlog, {});
        handleBatch(node, [&backlog] { std::for_each(backlog.begin(), backlog.end(), [](const auto &input) { input(); }); });
        tickNode(node.number, life);
        probeFrom(node.number, life);
    });
}

void FleetModel::cutDataCentre(std::size_t dataCentre, Milliseconds length)
{
    m_cutDataCentres.insert(dataCentre);
    m_events.after(length, [this, dataCentre] { m_cutDataCentres.erase(dataCentre); });
}

bool FleetModel::isCut(const Node &a, const Node &b) const
{
    return a.dataCentre != b.dataCentre && (m_cutDataCentres.contains(a.dataCentre) || m_cutDataCentres.contains(b.dataCentre));
}

std::vector<std::size_t> FleetModel::running() const
{
    std::vector<std::size_t> numbers;
    for (const auto &node : m_nodes) {
        if (node->isRunning && !node->isFrozen && !node->isLeaving) {
            numbers.push_back(node->number);
        }
    }
    return numbers;
}

std::size_t FleetModel::unsettled() const
{
    const auto numbers = running();
    return static_cast<std::size_t>(std::count_if(numbers.begin(), numbers.end(), [this](std::size_t number) {
        const auto &instance = *m_nodes[number]->instance;
        return !instance.isReady() || instance.catalogue()->head.generation != m_catalogue->head.generation;
    }));
}

std::pair<std::size_t, std::size_t> FleetModel::busiestHolders() const
{
    std::vector<RankedInstance> candidates;
    std::map<InstanceId, std::size_t> numberOf;
    for (const auto number : running()) {
        const auto &settings = m_nodes[number]->settings;
        candidates.push_back({instanceIdOf(settings.name), settings.dataCentre});
        numberOf[candidates.back().id] = number;
    }
    const Ranking ranking(candidates);
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> counts;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        const auto &holders = ranking.holders(bucket);
        ++counts[{numberOf[holders.owner], numberOf[holders.backup]}];
    }
    return std::max_element(counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; })->first;
}

void FleetModel::tickNode(std::size_t number, std::uint64_t life)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning || node.life != life || node.isFrozen) {
        return;
    }
    node.instance->tick();
    sendOutputs(node);
    fetchFromPeer(node);
    if (node.joiningSince && node.instance->isReady()) {
        const auto took = (m_events.clock().elapsed() - *node.joiningSince).count() / 1000;
        m_counts.worstJoinMs = std::max<std::int64_t>(m_counts.worstJoinMs, took);
        node.joiningSince.reset();
        note("admitted " + node.settings.name + " after " + std::to_string(took) + " ms");
    }
    noteSlowJoin(node);
    if (node.instance->isReady() != node.isSeenByFabric) {
        m_events.after(m_settings.fabricLag, [&node, life] {
            if (node.life == life) {
                node.isSeenByFabric = node.instance->isReady();
            }
        });
    }
    if (node.isLeaving && node.instance->hasLeft()) {
        node.instance->sayFarewell();
        sendOutputs(node);
        kill(number);
        return;
    }
    m_events.after(tickPeriod, [this, number, life] { tickNode(number, life); });
}

void FleetModel::noteSlowJoin(Node &node)
{
    const auto now = m_events.clock().elapsed();
    if (!node.joiningSince || node.isSlowJoinNoted || now - *node.joiningSince < slowJoin) {
        return;
    }
    node.isSlowJoinNoted = true;
    const auto status = node.instance->status();
    note("slow to join: " + node.settings.name + " generation " + std::to_string(status.generation));
    for (const auto &member : status.members) {
        note("  " + member.name + " " + member.phase + (member.isReachable ? "" : " silent")
             + (member.isReadyForUs ? " ready" : " not ready") + (member.hasSameRegisters ? "" : " other registers") + " generation "
             + std::to_string(member.generation));
    }
}

void FleetModel::fetchFromPeer(Node &node)
{
    if (node.isFetching || !node.instance->wantedGeneration()) {
        return;
    }
    node.isFetching = true;
    m_events.after(fetchTime, [this, &node, life = node.life, catalogue = m_catalogue] {
        if (node.life == life) {
            node.isFetching = false;
            handleBatch(node, [&] { node.instance->catalogueArrived(catalogue); });
        }
    });
}

void FleetModel::probeFrom(std::size_t number, std::uint64_t life)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning || node.life != life || node.isFrozen) {
        return;
    }
    const auto now = m_events.clock().elapsed();
    handleBatch(node, [&] {
        for (std::size_t service = 0; service < m_services.size(); ++service) {
            for (std::size_t ordinal = 0; ordinal < m_services[service]->upstreams.size(); ++ordinal) {
                auto &upstream = *m_services[service]->upstreams[ordinal];
                ProbeOutcome outcome;
                outcome.isAnswered = upstream.isAlive;
                const bool isDrainingNews = upstream.drainingSince && now - *upstream.drainingSince >= node.newsLag;
                if (isDrainingNews) {
                    upstream.drainNewsAt = upstream.drainNewsAt.value_or(now);
                }
                outcome.claimed = isDrainingNews ? UpstreamPhase::draining
                    : upstream.isShedding        ? UpstreamPhase::shedding
                                                 : UpstreamPhase::open;
                const auto lag = ordinal == 0 ? Microseconds(m_services[service]->setup.slowReportLag) : Microseconds(0);
                outcome.connections = static_cast<std::uint32_t>(upstream.flows.size());
                for (const auto &[time, count] : upstream.history) {
                    if (lag.count() > 0 && time <= now - lag) {
                        outcome.connections = static_cast<std::uint32_t>(count);
                    }
                }
                node.instance->upstreamProbed({static_cast<ServiceNumber>(service), static_cast<UpstreamOrdinal>(ordinal)}, outcome);
            }
        }
    });
    m_events.after(m_settings.timing.probe, [this, number, life] { probeFrom(number, life); });
}

void FleetModel::handleBatch(Node &node, const std::function<void()> &input)
{
    node.instance->beginBatch();
    input();
    node.instance->endBatch();
    sendOutputs(node);
}

void FleetModel::deliverToNode(std::size_t number, bool isFromFabric, const Endpoint &from, std::vector<std::uint8_t> bytes)
{
    auto &node = *m_nodes[number];
    if (!node.isRunning) {
        return;
    }
    auto input = [&node, isFromFabric, from, bytes = std::move(bytes)] {
        if (isFromFabric) {
            node.instance->packetArrived(bytes);
        } else {
            node.instance->peerDatagramArrived(from, bytes);
        }
    };
    if (node.isFrozen) {
        if (node.backlog.size() < longestBacklog) {
            node.backlog.emplace_back(std::move(input));
        }
        return;
    }
    handleBatch(node, input);
}

void FleetModel::decideByBaseline(Node &node, std::span<const std::uint8_t> packet)
{
    DropReason reason {};
    const auto view = parsePacket(packet, reason);
    const auto tunnel = view ? node.baseline->decide(*view) : std::nullopt;
    if (tunnel) {
        m_events.after(withinDataCentre, [this, to = *tunnel, bytes = std::vector<std::uint8_t>(packet.begin(), packet.end())] {
            deliverToUpstream(to, bytes);
        });
    }
}

void FleetModel::sendOutputs(Node &node)
{
    for (const auto &output : node.instance->outbox().outputs()) {
        switch (output.kind) {
        case OutputKind::forward:
            m_events.after(withinDataCentre, [this, to = output.to, bytes = datagramOf(output)] { deliverToUpstream(to, bytes); });
            break;
        case OutputKind::refusal:
            m_events.after(callerDelay, [this, bytes = datagramOf(output)] { deliverRefusal(bytes); });
            break;
        case OutputKind::relay:
        case OutputKind::message:
        case OutputKind::count:
            sendToPeer(node, output);
            break;
        }
    }
    node.instance->outbox().clear();
}

void FleetModel::sendToPeer(const Node &sender, const Output &output)
{
    const auto target = m_nodeByPeer.find(output.to);
    if (target == m_nodeByPeer.end()) {
        return;
    }
    const auto &receiver = *m_nodes[target->second];
    if (isCut(sender, receiver) || chance(m_settings.links.loss)) {
        return;
    }
    const auto base = sender.dataCentre == receiver.dataCentre ? withinDataCentre : betweenDataCentres;
    const int copies = chance(m_settings.links.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        m_events.after(base + randomUpTo(m_settings.links.jitter),
                       [this, number = target->second, from = sender.settings.peer, bytes = datagramOf(output)] {
                           deliverToNode(number, false, from, bytes);
                       });
    }
}

// Callers

void FleetModel::spray(std::vector<std::uint8_t> packet)
{
    std::vector<Node *> seen;
    for (const auto &node : m_nodes) {
        if (node->isSeenByFabric) {
            seen.push_back(node.get());
        }
    }
    if (seen.empty()) {
        return;
    }
    auto &node = *seen[m_random() % seen.size()];
    if (node.baseline) {
        if (node.isRunning && !node.isFrozen) {
            decideByBaseline(node, packet);
        }
        return;
    }
    deliverToNode(node.number, true, {}, std::move(packet));
}

void FleetModel::injectFromFabric(const std::vector<std::uint8_t> &packet)
{
    spray(packet);
}

void FleetModel::openFlow(std::size_t service, std::optional<double> lifeSeconds)
{
    auto flow = std::make_unique<Flow>();
    flow->number = m_flows.size();
    flow->service = service;
    flow->key = flowKeyOf(flow->number, m_services[service]->file.addresses.front().endpoint);
    const auto life = lifeSeconds ? Microseconds(static_cast<std::int64_t>(*lifeSeconds * 1e6)) : Microseconds(std::chrono::hours(24));
    flow->endsAt = m_events.clock().elapsed() + life;
    m_flows.push_back(std::move(flow));
    ++m_counts.flowsOpened;
    sendFlowPacket(m_flows.size() - 1);
}

void FleetModel::openFlowsForever(std::size_t service)
{
    const auto &setup = m_services[service]->setup;
    if (setup.newPerSecond <= 0) {
        return;
    }
    const auto gap = std::exponential_distribution<double>(setup.newPerSecond)(m_random);
    m_events.after(Microseconds(static_cast<std::int64_t>(gap * 1e6)), [this, service, mean = setup.meanLifeSeconds] {
        openFlow(service, std::exponential_distribution<double>(1 / mean)(m_random));
        openFlowsForever(service);
    });
}

/** Sends the opening packet, a data packet or the closing packet of a flow, again and again until it is delivered. */
void FleetModel::sendFlowPacket(std::size_t number)
{
    auto &flow = *m_flows[number];
    if (flow.isOver) {
        return;
    }
    const auto now = m_events.clock().elapsed();
    if (!flow.isWaiting) {
        flow.isWaiting = true;
        flow.waitingSince = now;
        flow.nextRetransmission = flow.upstream ? firstRetransmission : synRetransmission;
    } else if (now - flow.waitingSince > stallLimit) {
        if (flow.upstream) {
            ++m_counts.brokenByStall;
        }
        endFlow(flow);
        return;
    }
    const bool isLast = flow.upstream && now >= flow.endsAt;
    const auto kind = !flow.upstream ? FlowPacket::opening : isLast ? FlowPacket::closing : FlowPacket::data;
    m_events.after(callerDelay, [this, packet = buildFlowPacket(flow.key, kind)] { spray(packet); });
    m_events.after(flow.nextRetransmission, [this, number, since = flow.waitingSince] {
        auto &again = *m_flows[number];
        if (again.isWaiting && again.waitingSince == since) {
            again.nextRetransmission = std::min<Milliseconds>(again.nextRetransmission * 2, longestRetransmission);
            sendFlowPacket(number);
        }
    });
}

void FleetModel::confirmDelivery(Flow &flow)
{
    if (!flow.isWaiting) {
        return;
    }
    flow.isWaiting = false;
    const auto remaining = flow.endsAt - m_events.clock().elapsed();
    const auto interval = Microseconds(m_services[flow.service]->setup.packetInterval);
    const auto pause = std::clamp(remaining, Microseconds(0), interval / 2 + randomUpTo(interval));
    m_events.after(2 * callerDelay + pause, [this, number = flow.number] { sendFlowPacket(number); });
}

void FleetModel::endFlow(Flow &flow)
{
    flow.isOver = true;
    flow.isWaiting = false;
    if (flow.upstream) {
        m_services[flow.service]->upstreams[*flow.upstream]->flows.erase(flow.number);
    }
}

void FleetModel::deliverToUpstream(const Endpoint &tunnel, const std::vector<std::uint8_t> &packet)
{
    DropReason reason {};
    const auto view = parsePacket(packet, reason);
    const auto target = m_upstreamByTunnel.find(tunnel);
    if (!view || target == m_upstreamByTunnel.end()) {
        return;
    }
    const auto [service, ordinal] = target->second;
    const auto number = flowNumberOf(view->flow);
    if (number >= m_flows.size()) {
        return; // an injected packet
    }
    auto &flow = *m_flows[number];
    auto &upstream = *m_services[service]->upstreams[ordinal];
    if (flow.service != service) {
        ++m_counts.misdelivered;
        return;
    }
    if (flow.isOver || !upstream.isAlive) {
        return;
    }
    ++m_counts.packetsDelivered;
    if (!flow.upstream) {
        flow.upstream = ordinal;
        flow.openedAt = m_events.clock().elapsed();
        upstream.flows.insert(number);
        const auto firstNews = upstream.drainingSince ? upstream.drainNewsAt.value_or(Microseconds::max() / 2) : Microseconds::max() / 2;
        if (m_events.clock().elapsed() - firstNews > Microseconds(drainNewsLimit)) {
            ++m_counts.lateToDraining;
            note("flow " + std::to_string(number) + " opened late on draining upstream " + std::to_string(ordinal) + " of service "
                 + std::to_string(service));
        }
    } else if (*flow.upstream != ordinal) {
        if (!view->isSyn) {
            ++m_counts.brokenAtWrongUpstream;
            noteBroken(flow, ordinal);
            endFlow(flow);
        }
        return;
    }
    if (view->isFin) {
        endFlow(flow);
        return;
    }
    upstream.requests += m_isCounting ? 1 : 0;
    confirmDelivery(flow);
}

void FleetModel::note(const std::string &text)
{
    m_counts.trace.push_back(std::to_string(m_events.clock().elapsed().count() / 1000) + " ms: " + text);
}

void FleetModel::noteBroken(const Flow &flow, std::size_t reachedUpstream)
{
    if (m_counts.brokenAtWrongUpstream > mostBrokenNoted) {
        return;
    }
    note("flow " + std::to_string(flow.number) + " opened at " + std::to_string(flow.openedAt.count() / 1000) + " ms on upstream "
         + std::to_string(*flow.upstream) + " reached " + std::to_string(reachedUpstream));
    for (const auto &node : m_nodes) {
        if (!node->isRunning || node->isFrozen) {
            continue;
        }
        const auto known = node->instance->explain(flow.key);
        note("  " + node->settings.name + " " + node->instance->status().phase + " steering " + known.steering + " owner " + known.owner
             + " backup " + known.backup + " default " + known.defaultUpstream + " target " + known.targetUpstream + " entry "
             + known.entryUpstream + (known.isAcknowledged ? " acknowledged" : ""));
    }
}

void FleetModel::deliverRefusal(const std::vector<std::uint8_t> &packet)
{
    DropReason reason {};
    const auto view = parsePacket(packet, reason);
    if (!view) {
        return;
    }
    const FlowKey key {view->flow.destination, view->flow.source, view->flow.destinationPort, view->flow.sourcePort, view->flow.protocol};
    const auto number = flowNumberOf(key);
    if (number >= m_flows.size() || m_flows[number]->isOver) {
        return;
    }
    auto &flow = *m_flows[number];
    ++(flow.upstream ? m_counts.untrueRefusals : m_counts.refused);
    m_counts.brokenByRefusal += flow.upstream ? 1 : 0;
    endFlow(flow);
}

// Running and counting

void FleetModel::warmUp()
{
    runFor(2 * m_settings.timing.lease + Milliseconds(1000));
    for (std::size_t service = 0; service < m_services.size(); ++service) {
        const auto &setup = m_services[service]->setup;
        for (std::size_t flow = 0; flow < setup.longFlows; ++flow) {
            m_events.after(randomUpTo(m_settings.warmUp / 2), [this, service] { openFlow(service, std::nullopt); });
        }
        openFlowsForever(service);
    }
    sample();
    runFor(m_settings.warmUp);
    m_isCounting = true;
    m_countingSince = m_events.clock().elapsed();
    for (const auto number : running()) {
        for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
            const auto traffic = m_nodes[number]->instance->traffic(static_cast<PeerTraffic>(kind));
            m_trafficAtStart[kind] += traffic.bytes;
            m_messagesAtStart += traffic.messages;
        }
        m_relayedAtStart += m_nodes[number]->instance->accounts().relayed;
    }
}

void FleetModel::runFor(Milliseconds length)
{
    m_events.runFor(length);
}

void FleetModel::sample()
{
    const auto now = m_events.clock().elapsed();
    for (const auto &service : m_services) {
        std::vector<double> loads;
        for (std::size_t ordinal = 0; ordinal < service->upstreams.size(); ++ordinal) {
            auto &upstream = *service->upstreams[ordinal];
            upstream.history.emplace_back(now, upstream.flows.size());
            const bool isClosed = upstream.drainingSince || !upstream.isAlive || upstream.isShedding;
            const bool isOpen = !isClosed && !service->content->upstreams[ordinal].isRemoved;
            upstream.wasAlwaysOpen = upstream.wasAlwaysOpen && isOpen;
            upstream.openSince = isOpen ? upstream.openSince.value_or(now) : std::optional<Microseconds>();
            if (isOpen && now - *upstream.openSince >= Microseconds(service->setup.traffic.slowStart)) {
                loads.push_back(static_cast<double>(upstream.flows.size()) / service->content->upstreams[ordinal].spec.weight);
            }
        }
        const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
        if (m_isCounting && sum > 0) {
            const double imbalance = *std::max_element(loads.begin(), loads.end()) * static_cast<double>(loads.size()) / sum;
            m_counts.worstImbalance = std::max(m_counts.worstImbalance, imbalance);
            m_counts.meanImbalance += imbalance;
            ++m_samples;
        }
    }
    m_events.after(samplePeriod, [this] { sample(); });
}

double FleetModel::slotImbalance() const
{
    double worst = 0;
    for (const auto &service : m_services) {
        double most = 0;
        double sum = 0;
        double count = 0;
        for (std::size_t ordinal = 0; ordinal < service->upstreams.size(); ++ordinal) {
            const auto &upstream = *service->upstreams[ordinal];
            if (upstream.wasAlwaysOpen) {
                const auto load = static_cast<double>(upstream.requests) / service->content->upstreams[ordinal].spec.weight;
                most = std::max(most, load);
                sum += load;
                ++count;
            }
        }
        worst = sum > 0 ? std::max(worst, most * count / sum) : worst;
    }
    return worst;
}

ModelCounts FleetModel::counts() const
{
    auto counts = m_counts;
    counts.slotImbalance = slotImbalance();
    counts.unsettled = m_settings.scheme == Scheme::steering ? unsettled() : 0;
    counts.meanImbalance = m_samples > 0 ? m_counts.meanImbalance / static_cast<double>(m_samples) : 0;
    auto traffic = m_trafficOfEnded;
    auto messages = m_messagesOfEnded;
    auto relayed = m_relayedOfEnded;
    for (const auto &node : m_nodes) {
        if (!node->isRunning) {
            continue;
        }
        for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
            const auto sent = node->instance->traffic(static_cast<PeerTraffic>(kind));
            traffic[kind] += sent.bytes;
            messages += sent.messages;
        }
        relayed += node->instance->accounts().relayed;
        counts.entries = std::max<std::uint64_t>(counts.entries, node->instance->flowTableUse().second);
    }
    const double seconds = static_cast<double>((m_events.clock().elapsed() - m_countingSince).count()) / 1e6;
    const double scale = 1 / (std::max(seconds, 1e-3) * static_cast<double>(m_settings.instances));
    for (std::size_t kind = 0; kind < enumCount<PeerTraffic>; ++kind) {
        counts.bytesPerSecondByKind[kind] = static_cast<double>(traffic[kind] - m_trafficAtStart[kind]) * scale;
        counts.controlBytesPerSecond += counts.bytesPerSecondByKind[kind];
    }
    counts.controlMessagesPerSecond = static_cast<double>(messages - m_messagesAtStart) * scale;
    counts.relayed = relayed - m_relayedAtStart;
    return counts;
}

const EntryInstance &FleetModel::instance(std::size_t number) const
{
    return *m_nodes[number]->instance;
}

} // namespace sapphirespan
