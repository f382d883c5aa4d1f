#pragma once

#include <cstddef>
#include <string>

namespace sapphirespan {

/** Length of a digest in hexadecimal digits. */
inline constexpr std::size_t digestHexLength = 32;

/** @returns the BLAKE2b digest of bytes, 16 bytes long, in hexadecimal. Thread safety: pure function. */
std::string digestOf(const std::string &bytes);

} // namespace sapphirespan
