#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <string_view>
#include <vector>

namespace sapphirespan {

/** Largest YAML file that is read, in bytes. */
inline constexpr std::size_t largestYamlFileBytes = 1'000'000;

/** Most items that one sequence of a YAML file may hold. */
inline constexpr std::size_t longestYamlSequence = 4096;

/** Reads typed values from one YAML file and collects what is wrong with their place.

    A reader method returns its default, or nothing, after it recorded a finding, so that reading goes on and all
    findings come out together. Thread safety: none.
*/
class YamlReader
{
public:
    /** @param file name under which findings are reported @param findings outlives the reader */
    YamlReader(std::string file, FindingList &findings);

    /** Parses text of any content. @returns the root, or nothing after recording why it cannot be parsed */
    std::optional<YAML::Node> parse(const std::string &text);

    /** Records every key of a map that is not among `known`, and every key that stands twice.
        @returns false when the node is no map, which is recorded too
    */
    bool checkKeys(const YAML::Node &map, std::initializer_list<std::string_view> known);

    /** @returns the text at a key, or nothing; a missing key is recorded when required. */
    std::optional<std::string> text(const YAML::Node &map, const char *key, bool isRequired);

    /** @returns the whole number at a key within [lowest, highest], or the fallback. */
    std::int64_t number(const YAML::Node &map, const char *key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest);

    /** @returns the decimal number at a key within [lowest, highest], or the fallback. */
    double decimal(const YAML::Node &map, const char *key, double fallback, double lowest, double highest);

    /** @returns the duration at a key within [shortest, longest], or the fallback. */
    Milliseconds duration(const YAML::Node &map, const char *key, Milliseconds fallback, Milliseconds shortest, Milliseconds longest);

    /** @returns the endpoint "ip:port" at a key, or nothing. */
    std::optional<Endpoint> endpoint(const YAML::Node &map, const char *key, bool isRequired);

    /** @returns the IP address at a key, which is required, or nothing. */
    std::optional<IpAddress> address(const YAML::Node &map, const char *key);

    /** @returns the items of the sequence at a key; a missing one is recorded when required. */
    std::vector<YAML::Node> sequence(const YAML::Node &map, const char *key, bool isRequired);

    /** Records a finding at the place of a node. */
    void addFinding(const YAML::Node &node, std::string expected, std::string found);

    /** @returns the place of a node. */
    Place placeOf(const YAML::Node &node) const;

private:
    YAML::Node child(const YAML::Node &map, const char *key, bool isRequired, const char *expected);

    std::string m_file;
    FindingList &m_findings;
};

/** @returns a short description of a node for "found": its quoted text, or its kind. */
std::string describe(const YAML::Node &node);

/** Reads a whole file, up to largestYamlFileBytes. @returns nothing after recording why it cannot be read */
std::optional<std::string> readTextFile(const std::string &path, FindingList &findings);

} // namespace sapphirespan
