#include "sapphirespan_fleet/membership/Member.h"

#include <sodium/crypto_generichash.h>

#include <cstring>

namespace sapphirespan {

InstanceId instanceIdOf(std::string_view name)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest {};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char *>(name.data()), name.size(), nullptr, 0);
    InstanceId id = 0;
    std::memcpy(&id, digest.data(), sizeof id);
    return id != 0 ? id : 1;
}

} // namespace sapphirespan
