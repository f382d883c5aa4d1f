#pragma once

#include "sapphirespan_entry/state/EntryState.h"

namespace sapphirespan {

/** Takes in the outcome of probing one upstream's status endpoint. An unknown name is ignored. */
void takeInProbe(EntryState &state, const UpstreamName &name, const ProbeOutcome &outcome);

/** Takes in what a heartbeat says of upstreams: opinions, dependents, loads and the digest of registers. */
void takeInUpstreamNews(EntryState &state, MemberRow &member, const Heartbeat &beat);

/** Merges registers from a peer. */
void mergeRegisters(EntryState &state, const RegisterUpdate &update);

/** Copies registers into the rows of a service, after its content or a register changed. */
void applyRegisters(EntryState &state, ServiceRow &service);

/** Writes registers where the opinions of the scope ask for it. */
void evaluateUpstreams(EntryState &state);

/** Marks the upstreams whose buckets hold entries off the default. */
void findDependents(EntryState &state);

std::vector<OpinionNews> ownOpinions(const EntryState &state);
std::vector<UpstreamName> ownDependents(const EntryState &state);
std::vector<LoadNews> ownLoads(const EntryState &state);

} // namespace sapphirespan
