#pragma once

#include <string>
#include <vector>

namespace sapphirespan {

/** A place in a file; line and column count from 1, and 0 means "the file as a whole". */
struct Place {
    std::string file;
    int line = 0;
    int column = 0;

    bool operator==(const Place &) const = default;
};

/** One thing wrong with an input file. */
struct Finding {
    Place place;
    std::string expected;
    std::string found;

    bool operator==(const Finding &) const = default;
};

/** Findings collected over all inputs, so that they are reported together. Thread safety: none. */
class FindingList
{
public:
    /** Adds one finding. @param expected what the place should hold @param found what it holds */
    void add(Place place, std::string expected, std::string found);

    /** @returns true when nothing was found. */
    bool isEmpty() const;

    /** @returns all findings, sorted by file, line and column. */
    std::vector<Finding> sorted() const;

private:
    std::vector<Finding> m_findings;
};

/** @returns "file:line:column: expected X, found Y". */
std::string toText(const Finding &finding);

} // namespace sapphirespan
