#pragma once

#include <map>
#include <string>
#include <vector>

namespace zinniadock
{

/// An error in the input of an operator: its place and a message that names what was expected.
struct Problem
{
    std::string file;
    int line = 0; ///< 0 if the line is unknown
    std::string section;
    std::string key;
    std::string message;

    /// Returns `file:line: [section] key: message` without the parts that are empty or unknown.
    std::string text() const;
};

using Problems = std::vector<Problem>;

/// A section `[kind name]` or `[kind]` of an INI file.
struct IniSection
{
    std::string kind;
    std::string name;
    int line = 0; ///< line of the heading
    std::map<std::string, std::string> values; ///< values by key

    /// Returns the heading without brackets: `kind name` or `kind`.
    std::string heading() const;
};

/// The sections of an INI file, in the order of the file.
struct IniDocument
{
    std::string file;
    std::vector<IniSection> sections;
};

/// Parses INI text. Continues after an error, so that all errors of the headings and keys are appended to \p problems.
/// All values stay empty after an error.
/// \param file  name of the file in error messages
IniDocument parseIni(const std::string &text, const std::string &file, Problems &problems);

/// Returns the content of a file. If the file cannot be read or is larger than 64 MiB, appends an error to \p problems
/// and returns an empty text.
std::string readFile(const std::string &file, Problems &problems);

} // namespace zinniadock
