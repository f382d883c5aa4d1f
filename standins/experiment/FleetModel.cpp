#include "FleetModelParts.h"

#include <algorithm>
#include <numeric>

namespace sapphirespan {

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
