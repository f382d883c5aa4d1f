#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace sapphirespan {

/** An IPv4 or IPv6 address in network byte order. */
struct IpAddress {
    static constexpr std::uint8_t familyV4 = 4;
    static constexpr std::uint8_t familyV6 = 6;
    static constexpr std::size_t sizeV4 = 4;
    static constexpr std::size_t sizeV6 = 16;

    std::array<std::uint8_t, sizeV6> bytes {}; ///< an IPv4 address fills the first 4 bytes, the rest is 0
    std::uint8_t family = familyV4;

    /** @returns the address that the text names, or nothing for anything but a plain IPv4 or IPv6 address. */
    static std::optional<IpAddress> parse(const std::string &text);

    /** @returns the address of `size` raw bytes. @pre raw holds 4 or 16 bytes */
    static IpAddress fromBytes(std::span<const std::uint8_t> raw);

    /** @returns the bytes in use: 4 or 16. */
    std::span<const std::uint8_t> raw() const
    {
        return {bytes.data(), family == familyV4 ? sizeV4 : sizeV6};
    }

    /** @returns the usual text form. */
    std::string toText() const;

    auto operator<=>(const IpAddress &) const = default;
};

} // namespace sapphirespan
