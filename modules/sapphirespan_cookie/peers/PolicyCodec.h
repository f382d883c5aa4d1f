/** @file
    Codec of policies and evacuation orders, which supplements and snapshots share. For the source files of codecs.

    Functions that read throw BadMessage when the object has another shape. Thread safety: pure functions.
*/
#pragma once

#include "sapphirespan_cookie/knowledge/EvacuationEntry.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"

#include "sapphirespan_base/codec/MsgpackReading.h"

#include <cmath>

namespace sapphirespan {

/** Reads a finite number that is not negative. */
inline double decimalFrom(const msgpack::object &object)
{
    if (object.type == msgpack::type::POSITIVE_INTEGER) {
        return static_cast<double>(object.via.u64);
    }
    const bool isDecimal = object.type == msgpack::type::FLOAT32 || object.type == msgpack::type::FLOAT64;
    if (!isDecimal || !std::isfinite(object.via.f64) || object.via.f64 < 0) {
        throw BadMessage {};
    }
    return object.via.f64;
}

void pack(Packer &packer, const EvacuationList &list);
EvacuationList evacuationListFrom(const msgpack::object &object);

/** Packs the policies of all routes, in the order of the routes, and of all services. */
void packPolicies(Packer &packer, const RouteConfiguration &routes);

/** Reads what packPolicies() packed. @pre `routes` holds the routes of the same message */
void readPolicies(const msgpack::object &object, RouteConfiguration &routes);

} // namespace sapphirespan
