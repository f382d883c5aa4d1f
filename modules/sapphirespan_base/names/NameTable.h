#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace sapphirespan {

/** Names of an `enum class` whose enumerators count up from 0 and end with `count`. Specialised beside each enum. */
template<typename Enum>
struct NameTable;

/** Number of named enumerators of an enum. */
template<typename Enum>
inline constexpr std::size_t enumCount = static_cast<std::size_t>(Enum::count);

/** @returns the name of an enumerator. @pre value is below Enum::count */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    static_assert(NameTable<Enum>::names.size() == enumCount<Enum>);
    return NameTable<Enum>::names[static_cast<std::size_t>(value)];
}

/** @returns the enumerator of that name, or nothing. */
template<typename Enum>
constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (std::size_t index = 0; index < enumCount<Enum>; ++index) {
        if (NameTable<Enum>::names[index] == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace sapphirespan
