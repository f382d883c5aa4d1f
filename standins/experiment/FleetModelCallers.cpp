/** @file
    The fabric and the callers of a FleetModel, and what upstreams make of their packets.
*/
#include "FleetModelParts.h"

#include "FlowPackets.h"

#include <algorithm>

namespace sapphirespan {

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

} // namespace sapphirespan
