#include "sapphirespan_config/yaml/YamlReader.h"

#include "sapphirespan_config/yaml/YamlUnits.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace sapphirespan {

namespace {

constexpr std::size_t longestQuotedText = 40;

/** @returns a text in quotes, cut off if it is long. */
std::string shortened(const std::string &text)
{
    return "'" + (text.size() > longestQuotedText ? text.substr(0, longestQuotedText) + "…" : text) + "'";
}

std::string rangeText(const std::string &kind, const std::string &lowest, const std::string &highest)
{
    return kind + " from " + lowest + " to " + highest;
}

/** Reads the whole of a scalar as a number; trailing characters make it fail. */
template<typename Number>
std::optional<Number> wholeNumber(const YAML::Node &node)
{
    if (!node.IsScalar()) {
        return std::nullopt;
    }
    std::istringstream stream(node.Scalar());
    Number number {};
    stream >> number;
    if (stream.fail() || stream.peek() != std::char_traits<char>::eof()) {
        return std::nullopt;
    }
    return number;
}

/** @returns " in '...'" with the beginning of a line, which names its key. @param line from 0; one beyond the end means the last one */
std::string lineText(const std::string &text, int line)
{
    std::istringstream stream(text);
    std::string content;
    std::string next;
    for (int current = 0; current <= line && std::getline(stream, next); ++current) {
        content = next;
    }
    return content.empty() ? "" : " in " + shortened(content);
}

std::string decimalText(double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

} // namespace

std::string describe(const YAML::Node &node)
{
    if (node.IsScalar()) {
        return shortened(node.Scalar());
    }
    return node.IsMap() ? "a map" : node.IsSequence() ? "a sequence" : "nothing";
}

std::optional<std::string> readTextFile(const std::string &path, FindingList &findings)
{
    std::error_code error;
    const auto status = std::filesystem::status(path, error);
    if (error || !std::filesystem::is_regular_file(status)) {
        findings.add({path, 0, 0}, "a readable file", "none");
        return std::nullopt;
    }
    if (std::filesystem::file_size(path, error) > largestYamlFileBytes) {
        findings.add({path, 0, 0}, "at most 1 MB", "a larger file");
        return std::nullopt;
    }
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    if (!stream) {
        findings.add({path, 0, 0}, "a readable file", "one that can't be read");
        return std::nullopt;
    }
    return content.str();
}

YamlReader::Section::Section(YamlReader &reader, const std::string &key)
    : m_reader(reader)
    , m_outerSize(reader.m_section.size())
{
    reader.m_section += key + ".";
}

YamlReader::Section::~Section()
{
    m_reader.m_section.resize(m_outerSize);
}

YamlReader::YamlReader(std::string file, FindingList &findings, YamlReaderOptions options)
    : m_file(std::move(file))
    , m_findings(findings)
    , m_options(options)
{
}

std::optional<YAML::Node> YamlReader::parse(const std::string &text)
{
    if (text.size() > largestYamlFileBytes) {
        m_findings.add({m_file, 0, 0}, "at most 1 MB", std::to_string(text.size()) + " bytes");
        return std::nullopt;
    }
    try {
        const auto documents = YAML::LoadAll(text);
        if (documents.size() == 1) {
            return documents.front();
        }
        m_findings.add({m_file, 1, 1}, "one YAML document", std::to_string(documents.size()));
    } catch (const YAML::Exception &exception) {
        m_findings.add({m_file, exception.mark.line + 1, exception.mark.column + 1}, "valid YAML",
                       exception.msg + (m_options.namesKeys ? lineText(text, exception.mark.line) : ""));
    } catch (const std::exception &exception) {
        m_findings.add({m_file, 1, 1}, "valid YAML", exception.what());
    }
    return std::nullopt;
}

Place YamlReader::placeOf(const YAML::Node &node) const
{
    const auto mark = node.Mark();
    return {m_file, std::max(0, mark.line + 1), std::max(0, mark.column + 1)};
}

void YamlReader::addFinding(const YAML::Node &node, const std::string &key, const std::string &expected, std::string found)
{
    auto path = m_section + key;
    if (path.ends_with('.')) {
        path.pop_back(); // the section as a whole
    }
    m_findings.add(placeOf(node), m_options.namesKeys && !path.empty() ? path + ": " + expected : expected, std::move(found));
    m_refusedKeys.insert(std::move(path));
}

bool YamlReader::checkKeys(const YAML::Node &map, std::initializer_list<std::string_view> known)
{
    if (!map.IsMap()) {
        addFinding(map, "a map", describe(map));
        return false;
    }
    std::string names;
    for (const auto name : known) {
        names += (names.empty() ? "" : ", ") + std::string(name);
    }
    std::set<std::string> seen;
    for (const auto &pair : map) {
        const auto key = pair.first.IsScalar() ? pair.first.Scalar() : std::string();
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            addFinding(pair.first, key, "one of the keys " + names, describe(pair.first));
        } else if (!seen.insert(key).second) {
            addFinding(pair.first, key, "each key once", "'" + key + "' again");
        }
    }
    return true;
}

YAML::Node YamlReader::child(const YAML::Node &map, const char *key, bool isRequired, const char *expected)
{
    for (const auto &pair : map) {
        if (pair.first.IsScalar() && pair.first.Scalar() == key) {
            if (m_options.emptyCountsAsMissing && pair.second.IsNull()) {
                break;
            }
            return pair.second;
        }
    }
    if (isRequired) {
        addFinding(map, key, std::string("the key '") + key + "' with " + expected, "none");
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> YamlReader::text(const YAML::Node &map, const char *key, bool isRequired)
{
    const auto node = child(map, key, isRequired, "a text");
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        addFinding(node, key, std::string("a text for '") + key + "'", describe(node));
        return std::nullopt;
    }
    return node.Scalar();
}

std::int64_t YamlReader::number(const YAML::Node &map, const char *key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
{
    const auto node = child(map, key, false, "");
    if (!node.IsDefined()) {
        return fallback;
    }
    const auto value = wholeNumber<std::int64_t>(node);
    if (!value || *value < lowest || *value > highest) {
        addFinding(node, key, rangeText("a whole number", std::to_string(lowest), std::to_string(highest)), describe(node));
        return fallback;
    }
    return *value;
}

double YamlReader::decimal(const YAML::Node &map, const char *key, double fallback, double lowest, double highest)
{
    const auto node = child(map, key, false, "");
    if (!node.IsDefined()) {
        return fallback;
    }
    const auto value = wholeNumber<double>(node);
    if (!value || !std::isfinite(*value) || *value < lowest || *value > highest) {
        addFinding(node, key, rangeText("a number", decimalText(lowest), decimalText(highest)), describe(node));
        return fallback;
    }
    return *value;
}

Milliseconds YamlReader::duration(const YAML::Node &map, const char *key, Milliseconds fallback, Milliseconds shortest,
                                  Milliseconds longest)
{
    const auto node = child(map, key, false, "");
    if (!node.IsDefined()) {
        return fallback;
    }
    const auto value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
    if (!value || *value < shortest || *value > longest) {
        addFinding(node, key, rangeText("a duration (ms, s, m, h, d)", durationText(shortest), durationText(longest)), describe(node));
        return fallback;
    }
    return *value;
}

std::optional<Endpoint> YamlReader::endpoint(const YAML::Node &map, const char *key, bool isRequired)
{
    const auto node = child(map, key, isRequired, "ip:port");
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    const auto value = node.IsScalar() ? Endpoint::parse(node.Scalar()) : std::nullopt;
    if (!value) {
        addFinding(node, key, "a numeric ip:port", describe(node));
    }
    return value;
}

std::optional<IpAddress> YamlReader::address(const YAML::Node &map, const char *key)
{
    const auto node = child(map, key, true, "an IP address");
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    const auto value = node.IsScalar() ? IpAddress::parse(node.Scalar()) : std::nullopt;
    if (!value) {
        addFinding(node, key, "a numeric IP address", describe(node));
    }
    return value;
}

std::optional<YAML::Node> YamlReader::node(const YAML::Node &map, const char *key, bool isRequired)
{
    const auto node = child(map, key, isRequired, "a value");
    return node.IsDefined() ? std::optional(node) : std::nullopt;
}

std::vector<YAML::Node> YamlReader::sequence(const YAML::Node &map, const char *key, bool isRequired)
{
    const auto node = child(map, key, isRequired, "a sequence");
    if (!node.IsDefined()) {
        return {};
    }
    if (!node.IsSequence() || node.size() > longestYamlSequence || (isRequired && node.size() == 0)) {
        addFinding(node, key, std::string("a sequence of ") + (isRequired ? "1" : "0") + " to 4096 items for '" + key + "'",
                   node.IsSequence() ? std::to_string(node.size()) + " items" : describe(node));
        return {};
    }
    return {node.begin(), node.end()};
}

} // namespace sapphirespan
