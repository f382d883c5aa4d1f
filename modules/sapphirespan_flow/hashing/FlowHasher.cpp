#include "sapphirespan_flow/hashing/FlowHasher.h"

#include <sodium/crypto_shorthash.h>

#include <cstring>

namespace sapphirespan {

namespace {
constexpr std::size_t longestInputBytes = 2 * IpAddress::sizeV6 + 2 * sizeof(std::uint16_t) + 1;

template<typename Value>
std::uint8_t *append(std::uint8_t *out, const Value &value)
{
    std::memcpy(out, &value, sizeof value);
    return out + sizeof value;
}

std::uint8_t *append(std::uint8_t *out, const IpAddress &address)
{
    const auto raw = address.raw();
    std::memcpy(out, raw.data(), raw.size());
    return out + raw.size();
}
} // namespace

std::uint64_t FlowHasher::hash(const FlowKey &flow) const
{
    static_assert(flowHashKeyBytes == crypto_shorthash_KEYBYTES);
    std::array<std::uint8_t, longestInputBytes> input;
    auto *end = append(input.data(), flow.source);
    end = append(end, flow.destination);
    end = append(end, flow.sourcePort);
    end = append(end, flow.destinationPort);
    end = append(end, flow.protocol);
    std::uint64_t result = 0;
    crypto_shorthash(reinterpret_cast<unsigned char *>(&result), input.data(), static_cast<unsigned long long>(end - input.data()),
                     m_key.data());
    return result != 0 ? result : 1;
}

} // namespace sapphirespan
