#include "zinniadock/version/inidocument.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/Util/IniFileConfiguration.h>

namespace zinniadock
{

namespace
{

constexpr std::size_t maxFileBytes = 64U << 20U;

bool isIdentifier(std::string_view text)
{
    constexpr std::size_t maxNameLength = 128;
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

// Reads the headings and keys with their line numbers from the text: the INI library merges sections of the same name
// and does not report line numbers.
void readHeadingsAndKeys(const std::string &text, IniDocument &document, Problems &problems)
{
    std::istringstream lines(text);
    std::string line;
    std::set<std::string> headings;
    std::set<std::string> keysOfSection;
    for (int number = 1; std::getline(lines, line); ++number) {
        const std::string trimmed = Poco::trim(line);
        if (trimmed.empty() || trimmed.front() == ';') {
            continue;
        }
        if (trimmed.front() != '[') {
            const std::string key = Poco::trim(trimmed.substr(0, trimmed.find('=')));
            const std::string section = document.sections.empty() ? "" : document.sections.back().heading();
            if (trimmed.find('=') == std::string::npos) {
                problems.push_back(
                    { document.file, number, section, key, "expected key = value; comments start with ;" });
            } else if (!isIdentifier(key)) {
                problems.push_back({ document.file, number, section, key, "expected a key of a-z, 0-9, - and _" });
            } else if (document.sections.empty()) {
                problems.push_back({ document.file, number, "", key, "appears before the first [section]" });
            } else if (!keysOfSection.insert(key).second) {
                problems.push_back({ document.file, number, section, key, "is set twice in this section" });
            } else {
                document.sections.back().values[key];
            }
            continue;
        }
        keysOfSection.clear();
        const std::size_t closingBracket = trimmed.find(']');
        const std::string heading
            = closingBracket == std::string::npos ? "" : Poco::trim(trimmed.substr(1, closingBracket - 1));
        const std::size_t separator = heading.find(' ');
        IniSection section;
        section.line = number;
        section.kind = heading.substr(0, separator);
        section.name = separator == std::string::npos ? "" : Poco::trim(heading.substr(separator));
        if (!isIdentifier(section.kind) || (!section.name.empty() && !isIdentifier(section.name))) {
            problems.push_back(
                { document.file, number, trimmed, "", "expected [kind] or [kind name], each of a-z, 0-9, - and _" });
        } else if (!headings.insert(section.heading()).second) {
            problems.push_back({ document.file, number, section.heading(), "", "is defined twice" });
        }
        document.sections.push_back(section);
    }
}

} // namespace

std::string Problem::text() const
{
    std::string out = file;
    if (line > 0) {
        out += ":" + std::to_string(line);
    }
    out += ":";
    if (!section.empty()) {
        out += " [" + section + "]";
    }
    if (!key.empty()) {
        out += " " + key + ":";
    }
    return out + " " + message;
}

std::string IniSection::heading() const
{
    return name.empty() ? kind : kind + " " + name;
}

IniDocument parseIni(const std::string &text, const std::string &file, Problems &problems)
{
    IniDocument document;
    document.file = file;
    const std::size_t problemsBefore = problems.size();
    readHeadingsAndKeys(text, document, problems);
    if (problems.size() > problemsBefore) {
        return document;
    }
    try {
        std::istringstream stream(text);
        const Poco::AutoPtr<Poco::Util::IniFileConfiguration> ini(new Poco::Util::IniFileConfiguration(stream));
        for (IniSection &section : document.sections) {
            // The values are looked up by key, since the INI library scans all sections to list the keys of one.
            for (auto &[key, value] : section.values) {
                value = ini->getRawString(section.heading() + "." + key);
            }
        }
    } catch (const Poco::Exception &error) {
        problems.push_back({ file, 0, "", "", "is not an INI file: " + error.displayText() });
    }
    return document;
}

std::string readFile(const std::string &file, Problems &problems)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    if (!stream || !(content << stream.rdbuf())) {
        problems.push_back({ file, 0, "", "", "can't be read" });
        return {};
    }
    if (content.str().size() > maxFileBytes) {
        problems.push_back(
            { file, 0, "", "", "has " + std::to_string(content.str().size()) + " bytes; expected at most 64 MiB" });
        return {};
    }
    return content.str();
}

} // namespace zinniadock
