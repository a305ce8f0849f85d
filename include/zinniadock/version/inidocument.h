#pragma once

#include <map>
#include <string>
#include <vector>

namespace zinniadock
{

/// One mistake in an operator's input, with where it is and what would be right.
struct Problem
{
    std::string file;
    int line = 0; ///< 0 where unknown
    std::string section;
    std::string key;
    std::string message;

    /// Returns `file:line: [section] key: message`, leaving out what is empty.
    std::string text() const;
};

using Problems = std::vector<Problem>;

/// One section `[kind name]`, or `[kind]`, of an INI file.
struct IniSection
{
    std::string kind;
    std::string name;
    int line = 0;
    std::map<std::string, std::string> values;

    /// Returns the heading without its brackets.
    std::string heading() const;
};

/// An INI file split into sections.
struct IniDocument
{
    std::string file;
    std::vector<IniSection> sections;
};

/// Parses INI text; mistakes go to \p problems and the rest is still read.
/// \param file  name used in messages
IniDocument parseIni(const std::string &text, const std::string &file, Problems &problems);

/// Reads a whole file; a file that can't be read is a problem.
std::string readFile(const std::string &file, Problems &problems);

} // namespace zinniadock
