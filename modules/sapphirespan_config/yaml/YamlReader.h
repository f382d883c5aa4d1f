#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <set>
#include <string_view>
#include <vector>

namespace sapphirespan {

/** Largest YAML file that is read, in bytes. */
inline constexpr std::size_t largestYamlFileBytes = 1'000'000;

/** Most items that one sequence of a YAML file may hold. */
inline constexpr std::size_t longestYamlSequence = 4096;

/** How a file is read that a template was rendered into, unlike one that a person wrote. */
struct YamlReaderOptions {
    bool namesKeys = false; ///< findings name their key, since nobody knows the lines of a rendered file
    bool emptyCountsAsMissing = false; ///< a key without a value is one for which the template had none
};

/** Reads typed values from one YAML file and collects what is wrong with their place.

    A reader method returns its default, or nothing, after it recorded a finding, so that reading goes on and all
    findings come out together. Thread safety: none.
*/
class YamlReader
{
public:
    /** Puts the name of a nested map before the keys that are read from it, while it exists. */
    class Section
    {
    public:
        /** @param reader outlives the section */
        Section(YamlReader &reader, const std::string &key);
        ~Section();
        Section(const Section &) = delete;
        Section &operator=(const Section &) = delete;

    private:
        YamlReader &m_reader;
        std::size_t m_outerSize;
    };

    /** @param file name under which findings are reported @param findings outlives the reader */
    YamlReader(std::string file, FindingList &findings, YamlReaderOptions options = {});

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

    /** @returns the value at a key, of any kind, or nothing; a missing key is recorded when required. */
    std::optional<YAML::Node> node(const YAML::Node &map, const char *key, bool isRequired);

    /** Records a finding at the place of a node. @param key whose value, or part of it, is refused; empty for the section as a whole */
    void addFinding(const YAML::Node &node, const std::string &key, const std::string &expected, std::string found);

    /** Records a finding about a section as a whole, or about a file whose findings do not name keys. */
    void addFinding(const YAML::Node &node, const std::string &expected, std::string found)
    {
        addFinding(node, "", expected, std::move(found));
    }

    /** @returns the keys for which a finding was recorded, with their sections, as "listen.peer". */
    const std::set<std::string> &refusedKeys() const
    {
        return m_refusedKeys;
    }

    /** @returns the place of a node. */
    Place placeOf(const YAML::Node &node) const;

private:
    YAML::Node child(const YAML::Node &map, const char *key, bool isRequired, const char *expected);

    std::string m_file;
    FindingList &m_findings;
    YamlReaderOptions m_options;
    std::string m_section; ///< empty, or ends with a dot
    std::set<std::string> m_refusedKeys;
};

/** @returns a short description of a node for "found": its quoted text, or its kind. */
std::string describe(const YAML::Node &node);

/** Reads a whole file, up to largestYamlFileBytes. @returns nothing after recording why it cannot be read */
std::optional<std::string> readTextFile(const std::string &path, FindingList &findings);

} // namespace sapphirespan
