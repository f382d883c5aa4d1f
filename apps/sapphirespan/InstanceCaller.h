#pragma once

#include "Commands.h"

namespace sapphirespan {

/** Calls a JSON-RPC method of an instance and waits for the answer. @returns nothing, with the reason, on failure */
std::optional<Json::Value> callInstance(EventLoop &loop, const Endpoint &control, const std::string &method, const Json::Value &parameters,
                                        LastReason &reason);

} // namespace sapphirespan
