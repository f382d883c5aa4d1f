/** @file
    Instances of a FleetModel and the links between them.
*/
#include "FleetModelParts.h"

#include <algorithm>

namespace sapphirespan {

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
                outcome.isAnswered = upstream.isAlive && !upstream.isStatusSilent;
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

} // namespace sapphirespan
