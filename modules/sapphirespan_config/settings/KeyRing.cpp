#include "sapphirespan_config/settings/KeyRing.h"

#include "sapphirespan_config/yaml/YamlReader.h"

#include <sodium/utils.h>

#include <algorithm>
#include <filesystem>

namespace sapphirespan {

namespace {

bool isPrivate(const std::string &path)
{
    using std::filesystem::perms;
    std::error_code error;
    const auto permissions = std::filesystem::status(path, error).permissions();
    return !error && (permissions & (perms::group_all | perms::others_all)) == perms::none;
}

std::optional<PeerKey> parseKey(YamlReader &reader, const YAML::Node &node)
{
    if (!reader.checkKeys(node, {"id", "secret"})) {
        return std::nullopt;
    }
    PeerKey key;
    key.id = static_cast<std::uint8_t>(reader.number(node, "id", 0, 1, 255));
    const auto secret = reader.text(node, "secret", true).value_or("");
    std::size_t length = 0;
    const int result = sodium_hex2bin(key.secret.data(), key.secret.size(), secret.data(), secret.size(), nullptr, &length, nullptr);
    if (key.id == 0 || result != 0 || length != key.secret.size()) {
        reader.addFinding(node, "an id from 1 to 255 and a secret of 64 hexadecimal digits", "something else");
        return std::nullopt;
    }
    return key;
}

} // namespace

const PeerKey *KeyRing::find(std::uint8_t id) const
{
    const auto found = std::find_if(keys.begin(), keys.end(), [id](const PeerKey &key) { return key.id == id; });
    return found != keys.end() ? &*found : nullptr;
}

std::optional<KeyRing> loadKeyRing(const std::string &path, FindingList &findings)
{
    FindingList mine;
    KeyRing ring;
    const auto text = readTextFile(path, mine);
    if (text && !isPrivate(path)) {
        mine.add({path, 0, 0}, "a file that its owner alone may access", "wider permissions");
    }
    YamlReader reader(path, mine);
    const auto root = text ? reader.parse(*text) : std::nullopt;
    if (root && reader.checkKeys(*root, {"keys"})) {
        for (const auto &node : reader.sequence(*root, "keys", true)) {
            const auto key = parseKey(reader, node);
            if (key && ring.find(key->id) != nullptr) {
                reader.addFinding(node, "each key id once", std::to_string(key->id) + " again");
            } else if (key) {
                ring.keys.push_back(*key);
            }
        }
        if (ring.keys.size() > mostPeerKeys) {
            reader.addFinding(*root, "at most 2 keys", std::to_string(ring.keys.size()));
        }
    }
    for (const auto &finding : mine.sorted()) {
        findings.add(finding.place, finding.expected, finding.found);
    }
    return mine.isEmpty() ? std::optional(ring) : std::nullopt;
}

} // namespace sapphirespan
