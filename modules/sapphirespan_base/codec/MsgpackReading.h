/** @file
    Reads typed values out of msgpack objects of any content. For the source files of codecs, not for headers.

    Every function throws BadMessage when the object has another shape. Thread safety: pure functions.
*/
#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <msgpack.hpp>

#include <limits>
#include <span>
#include <string>

namespace sapphirespan {

using Packer = msgpack::packer<msgpack::sbuffer>;

/** Raised and caught inside decoders only, when bytes do not have the shape of a message. */
struct BadMessage {
};

template<typename Number>
Number numberFrom(const msgpack::object &object)
{
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > std::numeric_limits<Number>::max()) {
        throw BadMessage {};
    }
    return static_cast<Number>(object.via.u64);
}

inline std::int64_t signedFrom(const msgpack::object &object)
{
    if (object.type == msgpack::type::NEGATIVE_INTEGER) {
        return object.via.i64;
    }
    return static_cast<std::int64_t>(numberFrom<std::uint64_t>(object) & std::numeric_limits<std::int64_t>::max());
}

inline std::string textFrom(const msgpack::object &object)
{
    if (object.type != msgpack::type::STR) {
        throw BadMessage {};
    }
    return {object.via.str.ptr, object.via.str.size};
}

inline std::span<const msgpack::object> listFrom(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw BadMessage {};
    }
    return {object.via.array.ptr, object.via.array.size};
}

inline std::span<const msgpack::object> listFrom(const msgpack::object &object, std::size_t size)
{
    const auto list = listFrom(object);
    if (list.size() != size) {
        throw BadMessage {};
    }
    return list;
}

template<typename Enum>
Enum enumFrom(const msgpack::object &object)
{
    const auto value = numberFrom<std::uint8_t>(object);
    if (value >= enumCount<Enum>) {
        throw BadMessage {};
    }
    return static_cast<Enum>(value);
}

inline Endpoint endpointFrom(const msgpack::object &object)
{
    const auto endpoint = Endpoint::parse(textFrom(object));
    if (!endpoint) {
        throw BadMessage {};
    }
    return *endpoint;
}

/** Most values of one list, bytes of one text, and lists within lists; what claims more is no message. Without such a
    limit a few bytes could claim gigabytes. */
inline constexpr std::size_t longestList = 1 << 16;
inline constexpr std::size_t longestText = 1 << 20;
inline constexpr std::size_t deepestList = 8;

/** @returns the one value that the bytes hold. @throws msgpack::unpack_error for anything else */
inline msgpack::object_handle unpackBounded(std::span<const std::uint8_t> bytes)
{
    const msgpack::unpack_limit limit(longestList, 0, longestText, longestText, 0, deepestList);
    return msgpack::unpack(reinterpret_cast<const char *>(bytes.data()), bytes.size(), nullptr, nullptr, limit);
}

/** Begins a list of so many values. */
inline void packHeader(Packer &packer, std::size_t fields)
{
    packer.pack_array(static_cast<std::uint32_t>(fields));
}

} // namespace sapphirespan
