#include "sapphirespan_base/findings/FindingList.h"

#include <algorithm>
#include <tuple>

namespace sapphirespan {

void FindingList::add(Place place, std::string expected, std::string found)
{
    m_findings.push_back({std::move(place), std::move(expected), std::move(found)});
}

bool FindingList::isEmpty() const
{
    return m_findings.empty();
}

std::vector<Finding> FindingList::sorted() const
{
    auto result = m_findings;
    std::stable_sort(result.begin(), result.end(), [](const Finding &a, const Finding &b) {
        return std::tie(a.place.file, a.place.line, a.place.column) < std::tie(b.place.file, b.place.line, b.place.column);
    });
    return result;
}

std::string toText(const Finding &finding)
{
    const auto &[file, line, column] = finding.place;
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": expected " + finding.expected + ", found " + finding.found;
}

} // namespace sapphirespan
