#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <string>

namespace sapphirespan {

/** How a call to the platform's object API failed. */
enum class StoreError : std::uint8_t {
    missing, ///< the object does not exist
    conflict, ///< its version is not the expected one; nothing was written
    overloaded, ///< refused for rate; nothing was written
    unreachable, ///< the request certainly did not take effect
    unknownOutcome, ///< no answer came; a write may have taken effect
    count
};

template<>
struct NameTable<StoreError> {
    static constexpr std::array<std::string_view, enumCount<StoreError>> names {"missing", "conflict", "overloaded", "unreachable",
                                                                                "unknown_outcome"};
};

/** Kinds of objects that the system keeps in the platform. */
enum class ObjectKind : std::uint8_t {
    head, ///< the catalogue head, by the name "catalogue"
    index, ///< an index, by its digest
    content, ///< a service content, by its digest
    status, ///< a data centre's summary, by its name
    count
};

template<>
struct NameTable<ObjectKind> {
    static constexpr std::array<std::string_view, enumCount<ObjectKind>> names {"head", "index", "content", "status"};
};

/** Name of the one head object. */
inline constexpr const char *catalogueHeadName = "catalogue";

/** Names one object. */
struct ObjectName {
    ObjectKind kind = ObjectKind::head;
    std::string name;

    auto operator<=>(const ObjectName &) const = default;
};

/** @returns "/v1/objects/kind/name". */
std::string objectPath(const ObjectName &name);

/** An object's value with the version that conditional writes refer to. */
struct StoredObject {
    std::uint64_t version = 0;
    std::string value;
};

/** The platform's object API, as publishers use it: each call waits for its outcome.

    Thread safety: none.
*/
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /** @returns the object, or nothing with the error. */
    virtual std::optional<StoredObject> read(const ObjectName &name, StoreError &error) = 0;

    /** Writes on condition that the version is `expected`; 0 means that the object must not exist.
        @returns the new version, or nothing with the error
    */
    virtual std::optional<std::uint64_t> write(const ObjectName &name, std::uint64_t expected, const std::string &value, StoreError &error)
        = 0;

    /** Waits before a repetition. */
    virtual void pause(Milliseconds time) = 0;
};

} // namespace sapphirespan
