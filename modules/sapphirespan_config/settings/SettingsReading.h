#pragma once

#include "sapphirespan_config/yaml/YamlReader.h"

namespace sapphirespan {

/** @returns the name of an instance or data centre at a key, which is required. */
std::string settingsName(YamlReader &reader, const YAML::Node &root, const char *key);

/** Longest name of an instance or data centre that a platform gives, in bytes; reports to peers carry several of them. */
inline constexpr std::size_t longestGivenName = 64;

/** @returns the name at a key, which is required, as a platform gave it: of any characters but control characters. */
std::string settingsGivenName(YamlReader &reader, const YAML::Node &root, const char *key);

/** @returns the endpoints of the sequence at a key. One that cannot be read is left out and recorded. */
std::vector<Endpoint> settingsEndpoints(YamlReader &reader, const YAML::Node &root, const char *key);

/** @returns the flag at a key, `fallback` if there is none or it cannot be read. */
bool settingsFlag(YamlReader &reader, const YAML::Node &root, const char *key, bool fallback = false);

/** @returns the log level at the key log_level, "info" if there is none. */
std::string settingsLogLevel(YamlReader &reader, const YAML::Node &root);

} // namespace sapphirespan
