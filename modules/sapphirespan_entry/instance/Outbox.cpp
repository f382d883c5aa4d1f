#include "sapphirespan_entry/instance/Outbox.h"

namespace sapphirespan {

void Outbox::addForward(const Endpoint &to, std::span<const std::uint8_t> packet)
{
    auto &output = m_outputs.emplace_back();
    output.kind = OutputKind::forward;
    output.to = to;
    output.payload = packet;
}

void Outbox::addRelay(const Endpoint &to, const PeerCodec &codec, InstanceId sender, std::uint8_t hopsLeft,
                      std::span<const std::uint8_t> packet)
{
    auto &output = m_outputs.emplace_back();
    output.kind = OutputKind::relay;
    output.hasHeader = true;
    output.to = to;
    output.payload = packet;
    codec.sealRelay(sender, hopsLeft, packet, output.header.data());
}

void Outbox::addOwned(OutputKind kind, const Endpoint &to, std::vector<std::uint8_t> bytes)
{
    auto &output = m_outputs.emplace_back();
    output.kind = kind;
    output.to = to;
    output.payload = m_owned.emplace_back(std::move(bytes));
}

void Outbox::clear()
{
    m_outputs.clear();
    m_owned.clear();
}

std::vector<std::uint8_t> datagramOf(const Output &output)
{
    std::vector<std::uint8_t> bytes;
    if (output.hasHeader) {
        bytes.assign(output.header.begin(), output.header.end());
    }
    bytes.insert(bytes.end(), output.payload.begin(), output.payload.end());
    return bytes;
}

} // namespace sapphirespan
