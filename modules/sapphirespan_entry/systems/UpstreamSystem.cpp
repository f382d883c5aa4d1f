#include "sapphirespan_entry/systems/UpstreamSystem.h"

#include "sapphirespan_entry/systems/EntryCopySystem.h"
#include "sapphirespan_entry/systems/SteeringSystem.h"

#include <algorithm>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr auto soonestRegisterPush = 100ms;
constexpr auto soonestReopening = 3s; // lets the probes of all instances see the same
constexpr auto soonestPanicRepetition = 1min;
constexpr std::size_t mostRegistersPerMessage = 48;

UpstreamRow *findUpstream(EntryState &state, const UpstreamName &name)
{
    const auto service = state.services.find(name.service);
    if (service == state.services.end() || name.upstream >= service->second.upstreams.size()) {
        return nullptr;
    }
    return &service->second.upstreams[name.upstream];
}

std::uint64_t digestOfRegister(const UpstreamName &name, const UpstreamRegister &value)
{
    const auto subject = (std::uint64_t {name.service} << 16) | name.upstream;
    const auto content
        = (std::uint64_t {value.version} << 32) | (std::uint64_t {static_cast<std::uint8_t>(value.phase)} << 1) | (value.isSteered ? 1 : 0);
    return rendezvousRank(rendezvousRank(subject, content), value.writer);
}

void store(EntryState &state, const UpstreamName &name, const UpstreamRegister &value)
{
    auto &row = state.registers[name];
    if (row.value.version > 0) {
        state.registersDigest ^= digestOfRegister(name, row.value);
    }
    const bool wasSteered = row.value.isSteered && row.value.version > 0;
    row = {value, state.now, wasSteered ? row.steeredAt : state.now};
    state.registersDigest ^= digestOfRegister(name, value);
    state.isHeartbeatDue = true;
    if (const auto service = state.services.find(name.service); service != state.services.end()) {
        applyRegisters(state, service->second);
        refreshSteering(state, service->second);
    }
}

/** Sends registers that changed since `since`. */
void pushRegisters(EntryState &state, MemberRow &member, SteadyTime since)
{
    RegisterUpdate update;
    const auto flush = [&] {
        if (!update.registers.empty()) {
            sendMessage(state, member.card.peer, std::exchange(update, {}));
        }
    };
    for (const auto &[name, row] : state.registers) {
        if (row.changedAt >= since) {
            update.registers.push_back({name, row.value});
        }
        if (update.registers.size() == mostRegistersPerMessage) {
            flush();
        }
    }
    flush();
    member.lastRegisterPush = state.now;
}

void write(EntryState &state, const UpstreamName &name, UpstreamPhase phase, bool isSteered)
{
    const auto &current = state.registers[name].value;
    store(state, name, rewritten(current, phase, isSteered, state.self.id));
    for (auto &[id, member] : state.members) {
        if (member.isReachable) {
            sendMessage(state, member.card.peer, RegisterUpdate {{{name, state.registers[name].value}}});
        }
    }
}

/** How the admitted instances see one upstream. */
struct Votes {
    std::size_t voters = 1;
    std::array<std::size_t, enumCount<UpstreamPhase>> byPhase {};

    std::size_t of(UpstreamPhase phase) const
    {
        return byPhase[static_cast<std::size_t>(phase)];
    }
};

Votes collectVotes(const EntryState &state, const UpstreamName &name, const UpstreamRow &upstream)
{
    Votes votes;
    ++votes.byPhase[static_cast<std::size_t>(upstream.opinion.phase)];
    for (const auto &[id, member] : state.members) {
        if (!member.isReachable || member.phase != MemberPhase::admitted) {
            continue;
        }
        ++votes.voters;
        const auto opinion = member.opinions.find(name);
        const auto phase = opinion != member.opinions.end() ? opinion->second : UpstreamPhase::open;
        ++votes.byPhase[static_cast<std::size_t>(phase)];
    }
    return votes;
}

/** The highest-ranked instance judges; were there two for a moment, their writes would merge. */
bool isJudge(const EntryState &state, const UpstreamName &name)
{
    const auto subject = (std::uint64_t {name.service} << 16) | name.upstream;
    return state.ranking.holders(rendezvousRank(subject, 0) % bucketCount).owner == state.self.id;
}

/** Closing one more upstream must leave at least half of the service open, else health news is not believed. */
bool wouldPanic(const ServiceRow &service)
{
    std::size_t listed = 0;
    std::size_t open = 0;
    for (const auto &upstream : service.upstreams) {
        listed += upstream.isRemoved ? 0 : 1;
        open += takesNewFlows(upstream) ? 1 : 0;
    }
    return (open - 1) * 2 < listed;
}

void announcePanic(EntryState &state, ServiceRow &service, UpstreamOrdinal ordinal)
{
    auto &announcedAt = service.upstreams[ordinal].panicAnnouncedAt;
    if (!announcedAt || state.now - *announcedAt > soonestPanicRepetition) {
        announcedAt = state.now;
        announce(state, InstanceEventKind::upstreamPanic, upstreamText(service, ordinal), "kept open: too many would be closed");
    }
}

bool isAnyDependent(const EntryState &state, const UpstreamName &name, const UpstreamRow &upstream)
{
    const auto hasIt = [&name](const auto &pair) { return pair.second.isReachable && pair.second.dependents.contains(name); };
    return upstream.hasDependents || std::any_of(state.members.begin(), state.members.end(), hasIt);
}

void judgeOpen(EntryState &state, ServiceRow &service, const UpstreamName &name, const UpstreamRow &upstream, const Votes &votes)
{
    for (const auto phase : {UpstreamPhase::down, UpstreamPhase::shedding}) {
        if (votes.of(phase) * 2 <= votes.voters) {
            continue;
        }
        if (phase == UpstreamPhase::down && wouldPanic(service)) {
            announcePanic(state, service, name.upstream);
            return;
        }
        write(state, name, phase, true);
        return;
    }
    const auto settled = service.content->service.traffic.slowStart + soonestReopening;
    const bool isWarm = state.now - upstream.openedAt > settled;
    const bool isKnownToAll = state.lowestRegistersEqualAt > upstream.entryUpdatedAt + soonestReopening;
    if (upstream.isSteered && isWarm && isKnownToAll && !isAnyDependent(state, name, upstream)) {
        write(state, name, UpstreamPhase::open, false);
    }
}

void judge(EntryState &state, ServiceRow &service, const UpstreamName &name)
{
    auto &upstream = service.upstreams[name.upstream];
    if (upstream.opinion.phase == UpstreamPhase::draining && upstream.phase != UpstreamPhase::draining) {
        write(state, name, UpstreamPhase::draining, true); // said by the upstream itself; whoever hears it first tells all
        return;
    }
    if (!isJudge(state, name)) {
        return;
    }
    const auto votes = collectVotes(state, name, upstream);
    if (upstream.phase == UpstreamPhase::open) {
        judgeOpen(state, service, name, upstream, votes);
        return;
    }
    if (votes.of(UpstreamPhase::open) == votes.voters && state.now - upstream.entryUpdatedAt > soonestReopening) {
        write(state, name, UpstreamPhase::open, true);
    }
}

void sumPeerLoads(EntryState &state)
{
    for (auto &[number, service] : state.services) {
        for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
            const UpstreamName name {number, static_cast<UpstreamOrdinal>(ordinal)};
            std::int64_t sum = 0;
            for (const auto &[id, member] : state.members) {
                const auto load = member.loads.find(name);
                sum += load != member.loads.end() ? load->second : 0;
            }
            service.upstreams[ordinal].load.setPeerSum(sum, state.now);
        }
    }
}

/** Visits the upstreams of all services. */
template<typename Visit>
void forEachUpstream(const EntryState &state, Visit visit)
{
    for (const auto &[number, service] : state.services) {
        for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
            visit(UpstreamName {number, static_cast<UpstreamOrdinal>(ordinal)}, service.upstreams[ordinal]);
        }
    }
}

bool isReopened(const UpstreamRow &upstream)
{
    return upstream.isSteered && upstream.phase == UpstreamPhase::open;
}

} // namespace

void takeInProbe(EntryState &state, const UpstreamName &name, const ProbeOutcome &outcome)
{
    auto *upstream = findUpstream(state, name);
    if (upstream == nullptr) {
        return;
    }
    const auto before = upstream->opinion.phase;
    recordProbe(upstream->opinion, outcome);
    state.isHeartbeatDue = state.isHeartbeatDue || before != upstream->opinion.phase;
    if (outcome.isAnswered) {
        upstream->load.report(outcome.connections, outcome.age, state.now);
        upstream->slotsInUse = outcome.slotsInUse;
        upstream->lastReport = state.now;
    }
}

void takeInUpstreamNews(EntryState &state, MemberRow &member, const Heartbeat &beat)
{
    member.opinions.clear();
    for (const auto &opinion : beat.opinions) {
        member.opinions[opinion.name] = opinion.phase;
    }
    member.dependents = {beat.dependents.begin(), beat.dependents.end()};
    if (beat.carriesLoads) {
        member.loads.clear();
        for (const auto &load : beat.loads) {
            member.loads[load.name] = load.open;
        }
        sumPeerLoads(state);
    }
    if (member.registersDigest == state.registersDigest) {
        member.registersEqualAt = state.now;
    } else if (state.now - member.lastRegisterPush >= soonestRegisterPush) {
        const bool wasEverEqual = member.registersEqualAt != SteadyTime {};
        const bool isLongUnequal = state.now - member.registersEqualAt > state.settings.timing.lease;
        pushRegisters(state, member, wasEverEqual && !isLongUnequal ? member.registersEqualAt : SteadyTime {});
    }
}

void mergeRegisters(EntryState &state, const RegisterUpdate &update)
{
    for (const auto &[name, value] : update.registers) {
        if (const auto mine = state.registers.find(name); mine == state.registers.end() || supersedes(value, mine->second.value)) {
            store(state, name, value);
        }
    }
}

void applyRegisters(EntryState &state, ServiceRow &service)
{
    for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
        auto &upstream = service.upstreams[ordinal];
        const auto row = state.registers.find({service.content->number, static_cast<UpstreamOrdinal>(ordinal)});
        if (row == state.registers.end() || row->second.changedAt == upstream.entryUpdatedAt) {
            continue;
        }
        const auto &value = row->second.value;
        if (upstream.phase != value.phase) {
            announce(state, InstanceEventKind::upstreamPhaseChanged, upstreamText(service, static_cast<UpstreamOrdinal>(ordinal)),
                     std::string(nameOf(upstream.phase)) + " to " + std::string(nameOf(value.phase)));
            upstream.openedAt = value.phase == UpstreamPhase::open ? state.now : upstream.openedAt;
        }
        upstream.phase = value.phase;
        upstream.isSteered = value.isSteered;
        upstream.entryUpdatedAt = row->second.changedAt;
        upstream.steeredAt = row->second.steeredAt;
    }
}

void evaluateUpstreams(EntryState &state)
{
    if (state.phase != MemberPhase::admitted) {
        return;
    }
    for (auto &[number, service] : state.services) {
        for (std::size_t ordinal = 0; ordinal < service.upstreams.size(); ++ordinal) {
            if (!service.upstreams[ordinal].isRemoved) {
                judge(state, service, {number, static_cast<UpstreamOrdinal>(ordinal)});
            }
        }
    }
}

void findDependents(EntryState &state)
{
    bool isAnyReopened = false;
    for (auto &[number, service] : state.services) {
        for (auto &upstream : service.upstreams) {
            upstream.hasDependents = false;
            isAnyReopened = isAnyReopened || isReopened(upstream);
        }
    }
    if (!isAnyReopened) {
        return;
    }
    state.flows.forEach([&](FlowEntry &entry) {
        const auto service = state.services.find(entry.service);
        if (service == state.services.end() || entry.isLocal) {
            return;
        }
        const auto byDefault = service->second.content->defaults[bucketOf(entry.key)];
        if (byDefault != noUpstream && byDefault != entry.upstream) {
            service->second.upstreams[byDefault].hasDependents = true;
        }
    });
}

std::vector<OpinionNews> ownOpinions(const EntryState &state)
{
    std::vector<OpinionNews> news;
    forEachUpstream(state, [&](const UpstreamName &name, const UpstreamRow &upstream) {
        if (upstream.opinion.phase != UpstreamPhase::open) {
            news.push_back({name, upstream.opinion.phase});
        }
    });
    return news;
}

std::vector<UpstreamName> ownDependents(const EntryState &state)
{
    std::vector<UpstreamName> names;
    forEachUpstream(state, [&](const UpstreamName &name, const UpstreamRow &upstream) {
        if (upstream.hasDependents && isReopened(upstream)) {
            names.push_back(name);
        }
    });
    return names;
}

std::vector<LoadNews> ownLoads(const EntryState &state)
{
    std::vector<LoadNews> news;
    forEachUpstream(state, [&](const UpstreamName &name, const UpstreamRow &upstream) {
        if (upstream.load.own() != 0) {
            news.push_back({name, upstream.load.own()});
        }
    });
    return news;
}

} // namespace sapphirespan
