#pragma once

#include "FleetModel.h"

namespace sapphirespan {

/** Changes and failures that a run goes through. */
enum class Change : std::uint8_t {
    none,
    upstreamDrain,
    upstreamRemoval,
    upstreamAddition,
    weightChange,
    shareChange,
    instanceJoin,
    instanceLeave,
    rollingRestart,
    upstreamShedding,
    ownerKilled,
    ownerAndBackupKilled,
    dataCentreCut,
    instanceFrozen,
    upstreamKilled,
    count
};

template<>
struct NameTable<Change> {
    static constexpr std::array<std::string_view, enumCount<Change>> names {
        "none",         "upstream-drain",          "upstream-removal", "upstream-addition", "weight-change",
        "share-change", "instance-join",           "instance-leave",   "rolling-restart",   "upstream-shedding",
        "owner-killed", "owner-and-backup-killed", "data-centre-cut",  "instance-frozen",   "upstream-killed",
    };
};

/** @returns whether open flows must survive the change: it is planned by operators. */
constexpr bool isPlanned(Change change)
{
    return change < Change::ownerKilled;
}

/** Settings of a deployment at today's sizes, named as its users are. */
std::optional<ModelSettings> deploymentSettings(const std::string &name);

/** Begins a change. @param service, upstream what it is about, where that matters */
void beginChange(FleetModel &model, Change change, std::size_t service, std::size_t upstream);

/** Runs settings through changes that begin a second apart. @returns the counts at the end */
ModelCounts runThroughChanges(const ModelSettings &settings, const std::vector<Change> &changes, Milliseconds length);

/** Runs settings through random changes. @param withFailures also unplanned ones, one at a time */
ModelCounts runRandomly(const ModelSettings &settings, std::size_t steps, bool withFailures);

} // namespace sapphirespan
