#include "StatusJson.h"

namespace sapphirespan {

namespace {

Json::Value toJsonValue(const MemberStatus &member)
{
    Json::Value value;
    value["name"] = member.name;
    value["data_centre"] = member.dataCentre;
    value["phase"] = member.phase;
    value["peer"] = member.peer;
    value["control"] = member.control;
    value["reachable"] = member.isReachable;
    value["ranked"] = member.isRanked;
    value["ready_for_us"] = member.isReadyForUs;
    value["same_registers"] = member.hasSameRegisters;
    value["confirmed"] = member.isConfirmed;
    value["generation"] = Json::UInt64(member.generation);
    value["heard_ms_ago"] = Json::Int64(member.sinceHeard.count());
    return value;
}

Json::Value toJsonValue(const UpstreamStatus &upstream)
{
    Json::Value value;
    value["service"] = upstream.service;
    value["tunnel"] = upstream.tunnel;
    value["phase"] = upstream.phase;
    value["opinion"] = upstream.opinion;
    value["steered"] = upstream.isSteered;
    value["removed"] = upstream.isRemoved;
    value["connections_estimated"] = upstream.connections;
    value["slots_in_use_reported"] = upstream.slotsInUse;
    value["report_age_ms"] = upstream.reportAge ? Json::Value(Json::Int64(upstream.reportAge->count())) : Json::Value();
    return value;
}

} // namespace

Json::Value toJsonValue(const InstanceStatus &status)
{
    Json::Value value;
    value["name"] = status.name;
    value["data_centre"] = status.dataCentre;
    value["phase"] = status.phase;
    value["generation"] = Json::UInt64(status.generation);
    value["index"] = status.indexDigest;
    value["entries"] = Json::UInt64(status.entries);
    value["owned_buckets"] = Json::UInt64(status.ownedBuckets);
    value["invariant_breaches"] = Json::UInt64(status.invariantBreaches);
    value["merges_with_two_placements"] = Json::UInt64(status.mergesWithTwoPlacements);
    value["members"] = Json::arrayValue;
    for (const auto &member : status.members) {
        value["members"].append(toJsonValue(member));
    }
    value["upstreams"] = Json::arrayValue;
    for (const auto &upstream : status.upstreams) {
        value["upstreams"].append(toJsonValue(upstream));
    }
    return value;
}

Json::Value toJsonValue(const FlowExplanation &explanation)
{
    Json::Value value;
    value["service"] = explanation.service;
    value["bucket"] = Json::UInt64(explanation.bucket);
    value["steering"] = explanation.steering;
    value["acknowledged"] = explanation.isAcknowledged;
    value["owner"] = explanation.owner;
    value["backup"] = explanation.backup;
    value["default_upstream"] = explanation.defaultUpstream;
    value["target_upstream"] = explanation.targetUpstream;
    value["entry_upstream"] = explanation.entryUpstream;
    value["decided_here"] = explanation.isDecidedHere;
    return value;
}

Json::Value toJsonValue(const DecisionAccounts &accounts)
{
    Json::Value value;
    value["from_fabric"] = Json::UInt64(accounts.fromFabric);
    value["from_peers"] = Json::UInt64(accounts.fromPeers);
    value["forwarded"] = Json::UInt64(accounts.forwarded);
    value["relayed"] = Json::UInt64(accounts.relayed);
    value["refused"] = Json::UInt64(accounts.refused);
    value["dropped"] = Json::objectValue;
    for (std::size_t reason = 0; reason < enumCount<DropReason>; ++reason) {
        value["dropped"][std::string(nameOf(static_cast<DropReason>(reason)))] = Json::UInt64(accounts.dropped[reason]);
    }
    return value;
}

Json::Value toJsonValue(const ServiceAccounts &accounts)
{
    Json::Value value;
    value["service"] = accounts.service;
    value["objective_level"] = accounts.objective.level;
    value["objective_window_ms"] = Json::Int64(accounts.objective.window.count());
    value["placed_on_default"] = Json::UInt64(accounts.flows.placedOnDefault);
    value["placed_elsewhere"] = Json::UInt64(accounts.flows.placedElsewhere);
    value["refused"] = Json::UInt64(accounts.flows.refused);
    value["unplaced"] = Json::UInt64(accounts.flows.unplaced);
    value["repeated_openings"] = Json::UInt64(accounts.flows.repeatedOpenings);
    return value;
}

} // namespace sapphirespan
