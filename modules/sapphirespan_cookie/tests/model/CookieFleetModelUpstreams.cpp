#include "CookieFleetModelParts.h"

namespace sapphirespan::model {

ModelUpstream *CookieFleetModel::upstreamAt(const Endpoint &address)
{
    const auto found = std::find_if(upstreams.rbegin(), upstreams.rend(),
                                    [&address](const ModelUpstream &upstream) { return toEndpoint(upstream.entry.address) == address; });
    return found == upstreams.rend() ? nullptr : &*found;
}

ModelUpstream *CookieFleetModel::upstreamOnHost(const IpAddress &address)
{
    const auto found = std::find_if(upstreams.rbegin(), upstreams.rend(), [&address](const ModelUpstream &upstream) {
        return toEndpoint(upstream.entry.address).address == address;
    });
    return found == upstreams.rend() ? nullptr : &*found;
}

void CookieFleetModel::toUpstream(const std::string &fromDataCentre, const Endpoint &to, UpstreamId id, const ClientPacket &packet)
{
    auto *upstream = upstreamAt(to);
    if (upstream == nullptr || upstream->isDark || isCut(fromDataCentre, upstream->entry.dataCentre)) {
        return;
    }
    after(fromDataCentre == upstream->entry.dataCentre ? insideDelay : outsideDelay, [this, upstream, id, packet] {
        countStray(*upstream, packet);
        if (upstream->isReading) {
            takePacket(*upstream, id, packet);
        } else {
            upstream->unread.push_back([this, upstream, id, packet] { takePacket(*upstream, id, packet); });
        }
    });
}

void CookieFleetModel::stopReading(std::size_t index)
{
    upstreams[index].isReading = false;
}

void CookieFleetModel::readAll(std::size_t index)
{
    upstreams[index].isReading = true;
    for (const auto &take : std::exchange(upstreams[index].unread, {})) {
        take();
    }
}

/** @returns the number with which an upstream begins its side of a flow; as good as random, and not drawn, so that it changes no run. */
static std::uint32_t firstNumberOf(const UpstreamEntry &entry, const FlowEnds &ends)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
    const auto value = (entry.id * multiplier ^ static_cast<std::uint64_t>(entry.startedAt)) * multiplier + ends.client.port;
    return static_cast<std::uint32_t>((value * multiplier) >> 32U);
}

void CookieFleetModel::takePacket(ModelUpstream &upstream, UpstreamId id, const ClientPacket &packet)
{
    const auto &ends = packet.ends;
    if (upstream.isDark || upstream.entry.id != id) {
        m_counts.misdelivered += upstream.entry.id != id ? 1 : 0; // not taken: the header names another
        return;
    }
    const auto route = std::find_if(routes.begin(), routes.end(), [&](const Route &item) { return item.address == ends.service; });
    const bool isOther = route == routes.end() || route->services.front().service != upstream.entry.service;
    m_counts.takenByOthers += isOther && !upstream.flows.contains(ends) ? 1 : 0;
    const auto *owner = ownerOfFlow(ends);
    const bool isOpenElsewhere = owner != nullptr && owner->isOpen && owner->upstream != &upstream // here is a copy of the opening only
        && packet.cookie != 0; // no client leaves the cookie out once it had an answer; where a test does so, any copy serves
    if (!upstream.isListening || (!packet.isOpening && (!upstream.flows.contains(ends) || isOpenElsewhere))) {
        const bool isOtherAlive = upstream.isListening && !packet.isOpening;
        toClient(ends, [this, &upstream, isOtherAlive](User &user) {
            m_counts.resetByOthers += isOtherAlive && user.upstream != &upstream && isServedFlow(user) ? 1 : 0;
            clientReset(user, false);
        });
        return;
    }
    if (packet.isOpening && upstream.isFull && !upstream.flows.contains(ends)) {
        return;
    }
    if (packet.isOpening) {
        m_counts.misdelivered += isOther ? 1 : 0;
        const bool isLate = upstream.drainingSince && clock.steadyNow() - *upstream.drainingSince > drainBound;
        m_counts.placedOnDraining += isLate && !upstream.flows.contains(ends) ? 1 : 0;
        const auto order = m_orderedAt.find(upstream.entry.dataCentre);
        const bool isAfterOrder = order != m_orderedAt.end() && clock.steadyNow() - order->second > evacuationBound;
        m_counts.placedOnEvacuated += isAfterOrder && !upstream.flows.contains(ends) ? 1 : 0;
        if (upstream.flows.emplace(ends, false).second) {
            ++m_counts.openings;
            upstream.openedAt.push_back(clock.steadyNow());
        }
        toClient(ends, [this, &upstream, cookie = packet.cookie](User &user) {
            if (user.upstream == nullptr) { // the attempt was not answered before
                user.isOpen = true;
                user.upstream = &upstream;
                user.openedAt = clock.steadyNow();
                user.cookie = cookie;
                user.acknowledged = firstNumberOf(upstream.entry, user.ends);
                ++user.sequence;
                sendData(user, 0);
            } else if (user.isOpen && m_settings.takeClientsLatestCookie) {
                user.cookie = cookie;
            }
        });
    } else if (packet.payloadBytes > 0 && !upstream.flows[ends]) {
        upstream.flows[ends] = true;
        const auto client = m_flowOwners.find(ends.client);
        if (client != m_flowOwners.end()) {
            countCrossing(*client->second, upstream);
            const auto mean = static_cast<std::uint64_t>(client->second->kind->work.count());
            serve(upstream, ends, Milliseconds(mean / 2 + draw(mean + 1)));
        }
    }
}

void CookieFleetModel::countCrossing(const User &user, const ModelUpstream &upstream)
{
    if (user.dataCentre != upstream.entry.dataCentre) {
        ++m_counts.crossingRequests;
        m_counts.crossingBytes += user.kind->requestBytes + user.kind->responseBytes;
    }
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
                    user.acknowledged += user.kind->responseBytes;
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
        upstream.mostWaiting = std::max(upstream.mostWaiting, upstream.waiting.size());
    } else {
        upstream.flows[ends] = false;
        ++m_counts.rejectedByUpstreams;
        toClient(ends, [this](User &user) { // a response that says that the request has not run
            user.acknowledged += rejectionBytes;
            acknowledgeResponse(user, true);
            endAttempt(user, true);
        });
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

void CookieFleetModel::crash(std::size_t index, bool isSilent)
{
    auto &upstream = upstreams[index];
    upstream.isListening = false;
    upstream.isDark = isSilent;
    upstream.darkSince = isSilent ? std::optional(clock.steadyNow()) : std::nullopt;
    upstream.flows.clear();
    upstream.waiting.clear();
}

void CookieFleetModel::drain(std::size_t index)
{
    upstreams[index].entry.phase = RegistrationPhase::draining;
    upstreams[index].entry.revision = ++m_revision;
    upstreams[index].drainingSince = clock.steadyNow();
    m_history.emplace_back(m_revision, upstreams[index].entry);
}

void CookieFleetModel::remove(std::size_t index)
{
    upstreams[index].entry.phase = RegistrationPhase::departed;
    m_history.emplace_back(++m_revision, upstreams[index].entry);
}

void CookieFleetModel::relist(std::size_t index)
{
    upstreams[index].entry.phase = RegistrationPhase::ready;
    upstreams[index].entry.revision = ++m_revision;
    m_history.emplace_back(m_revision, upstreams[index].entry);
}

std::size_t CookieFleetModel::restart(std::size_t index)
{
    crash(index, false);
    upstreams[index].entry.phase = RegistrationPhase::departed;
    auto entry = upstreams[index].entry;
    const auto started = addUpstreamAt(entry.dataCentre, entry.service, entry.address);
    upstreams[started].entry.id = entry.id;
    m_history.back().second = upstreams[started].entry;
    return started;
}

/** Counts a packet that reached an upstream, if its flow is open. */
void CookieFleetModel::countStray(const ModelUpstream &upstream, const ClientPacket &packet)
{
    auto *user = ownerOfFlow(packet.ends);
    if (user == nullptr || !user->isOpen) {
        return;
    }
    if (user->upstream == &upstream) {
        user->isEstablished = user->isEstablished || !packet.isOpening;
        user->strays.clear();
        return;
    }
    if (!user->isEstablished || !isServedFlow(*user)) {
        return;
    }
    const auto now = clock.steadyNow();
    while (!user->strays.empty() && now - user->strays.front() > strayWindow) {
        user->strays.pop_front();
    }
    user->strays.push_back(now);
    if (user->strays.size() >= strayPackets && !std::exchange(user->isCountedAsStray, true)) {
        ++m_counts.strayFlows;
    }
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

std::size_t CookieFleetModel::addColdUpstream(const std::string &dataCentre, const std::string &service, Milliseconds warmUp,
                                              double slowness)
{
    const auto index = addUpstream(dataCentre, service);
    upstreams[index].entry.warmUpRemainingMs = static_cast<std::uint32_t>(warmUp.count());
    m_history.back().second = upstreams[index].entry;
    upstreams[index].slowness = slowness;
    after(warmUp, [this, index] { upstreams[index].slowness = 1; });
    return index;
}

} // namespace sapphirespan::model
