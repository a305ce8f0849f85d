#include "zinniadock/connection/strayresponse.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace zinniadock
{

namespace
{

constexpr std::string_view versionPrefix = "HTTP/1.";

/// Fields of an event stream.
constexpr std::array<std::string_view, 4> eventFields{ "data", "id", "event", "retry" };

bool isDigit(char character)
{
    return std::isdigit(static_cast<unsigned char>(character)) != 0;
}

/// Returns whether the bytes begin with a version, a space and a status code.
bool startsWithStatus(std::string_view bytes)
{
    constexpr std::size_t codeAt = versionPrefix.size() + 2;
    constexpr std::size_t codeDigits = 3;
    return bytes.size() >= codeAt + codeDigits && isDigit(bytes[versionPrefix.size()]) && bytes[codeAt - 1] == ' '
        && std::all_of(bytes.begin() + codeAt, bytes.begin() + codeAt + codeDigits, isDigit);
}

/// Returns whether the bytes begin with a header field that is no field of an event stream.
bool startsWithHeaderField(std::string_view bytes)
{
    const std::size_t length = bytes.find_first_of(":\r\n ");
    if (length == std::string_view::npos || length == 0 || bytes[length] != ':') {
        return false;
    }
    return std::find(eventFields.begin(), eventFields.end(), bytes.substr(0, length)) == eventFields.end();
}

} // namespace

bool containsResponseHead(std::string_view bytes)
{
    for (std::size_t at = bytes.find(versionPrefix); at != std::string_view::npos;
         at = bytes.find(versionPrefix, at + 1)) {
        const bool beginsLine = at == 0 || bytes[at - 1] == '\n';
        const std::string_view rest = bytes.substr(at);
        const std::size_t lineEnd = std::min(rest.find('\n'), rest.size() - 1);
        if (beginsLine || (startsWithStatus(rest) && startsWithHeaderField(rest.substr(lineEnd + 1)))) {
            return true;
        }
    }
    return false;
}

bool containsStrayResponse(BodyFraming framing, std::string_view body)
{
    return framing == BodyFraming::Connection && containsResponseHead(body);
}

} // namespace zinniadock
