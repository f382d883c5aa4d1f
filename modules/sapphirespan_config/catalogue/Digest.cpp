#include "sapphirespan_config/catalogue/Digest.h"

#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

#include <array>

namespace sapphirespan {

std::string digestOf(const std::string &bytes)
{
    std::array<unsigned char, digestHexLength / 2> digest {};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), nullptr, 0);
    std::array<char, digestHexLength + 1> text {};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

} // namespace sapphirespan
