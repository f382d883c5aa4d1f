#include "sapphirespan_entry/state/EntryState.h"

#include <cstring>

namespace sapphirespan {

std::size_t ServiceAddressHash::operator()(const ServiceAddress &address) const
{
    std::array<std::uint64_t, 2> words;
    std::memcpy(words.data(), address.endpoint.address.bytes.data(), sizeof words);
    const auto tail = (std::uint64_t {address.endpoint.port} << 8) | static_cast<std::uint64_t>(address.protocol);
    return rendezvousRank(words[0] ^ tail, words[1]);
}

EntryState::EntryState(EntryInstanceSettings instanceSettings, const KeyRing &keys, const Clock &instanceClock, InvariantLog &invariantLog)
    : settings(std::move(instanceSettings))
    , clock(instanceClock)
    , invariants(invariantLog)
    , codec(keys)
    , ownedSince(bucketCount)
    , previousOwner(bucketCount, noInstance)
    , ownedUntil(bucketCount)
    , heldUntil(bucketCount)
    , flows(settings.mostFlowEntries)
    , random(settings.randomSeed)
{
    now = clock.steadyNow();
    self = {instanceIdOf(settings.name), static_cast<Incarnation>(clock.wallNow().time_since_epoch().count())};
    phaseSince = now;
    lastTick = now;
    lastHeartbeat = now;
    for (const auto &seed : settings.seeds) {
        knownPeers.insert(seed);
    }
}

void announce(EntryState &state, InstanceEventKind kind, std::string subject, std::string detail)
{
    state.signalEvent.emit({kind, std::move(subject), std::move(detail)});
}

MemberRow *findMember(EntryState &state, InstanceId id)
{
    const auto found = state.members.find(id);
    return found != state.members.end() ? &found->second : nullptr;
}

std::string memberText(const MemberRow &member)
{
    return member.card.name.empty() ? "#" + std::to_string(member.name.id) : member.card.name;
}

std::string upstreamText(const ServiceRow &service, UpstreamOrdinal ordinal)
{
    return service.content->service.name + "/" + service.content->upstreams[ordinal].spec.tunnel.toText();
}

std::uint32_t wallMilliseconds(const EntryState &state)
{
    return static_cast<std::uint32_t>(state.clock.wallNow().time_since_epoch().count());
}

} // namespace sapphirespan
