#pragma once

#include "sapphirespan_entry/sapphirespan_entry.h"

#include <json/value.h>

namespace sapphirespan {

/** @returns what operators see of an instance. */
Json::Value toJsonValue(const InstanceStatus &status);

/** @returns where a flow goes, and why. */
Json::Value toJsonValue(const FlowExplanation &explanation);

/** @returns the accounts of packets. */
Json::Value toJsonValue(const DecisionAccounts &accounts);

/** @returns the accounts of one service's new flows, with its objective. */
Json::Value toJsonValue(const ServiceAccounts &accounts);

} // namespace sapphirespan
