#include "rawcaller.h"

#include <array>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

namespace zinniadock::test
{

namespace
{

constexpr const char *endOfHead = "\r\n\r\n";

std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::string lower = Poco::toLower(head);
    const std::size_t at = lower.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Appends the chunks of \p bytes to \p body. Returns whether the last chunk is whole.
bool readChunks(const std::string &bytes, std::string &body)
{
    std::size_t at = 0;
    while (true) {
        const std::size_t lineEnd = bytes.find("\r\n", at);
        if (lineEnd == std::string::npos) {
            return false;
        }
        const std::size_t size = std::stoul(bytes.substr(at, lineEnd - at), nullptr, 16);
        const std::size_t begin = lineEnd + 2;
        if (bytes.size() < begin + size + 2) {
            body += bytes.substr(begin, size);
            return false;
        }
        if (size == 0) {
            return true;
        }
        body += bytes.substr(begin, size);
        at = begin + size + 2;
    }
}

/// Evaluates the bytes received so far.
/// \param closedByFin  whether the connection has ended, and how; nothing while it is open
SeenResponse evaluate(const std::string &bytes, const std::string &method, std::optional<bool> closedByFin)
{
    SeenResponse seen;
    const std::size_t headEnd = bytes.find(endOfHead);
    if (headEnd == std::string::npos) {
        return seen;
    }
    seen.head = bytes.substr(0, headEnd + 2);
    seen.status = std::stoi(seen.head.substr(seen.head.find(' ') + 1));
    constexpr int noContent = 204;
    if (method == "HEAD" || seen.status == noContent) {
        seen.end = SeenEnd::Complete;
        return seen;
    }
    const std::string rest = bytes.substr(headEnd + 4);
    const std::string length = fieldOf(seen.head, "content-length");
    bool isWhole = false;
    if (Poco::toLower(fieldOf(seen.head, "transfer-encoding")) == "chunked") {
        isWhole = readChunks(rest, seen.body);
    } else if (!length.empty()) {
        seen.body = rest;
        isWhole = rest.size() >= std::stoul(length);
    } else {
        seen.body = rest;
        seen.end = closedByFin.value_or(false) ? SeenEnd::Unconfirmed : SeenEnd::BrokenOff;
        return seen;
    }
    seen.end = isWhole ? SeenEnd::Complete : SeenEnd::BrokenOff;
    return seen;
}

} // namespace

std::ostream &operator<<(std::ostream &out, SeenEnd end)
{
    return out << (end == SeenEnd::Complete ? "complete" : end == SeenEnd::Unconfirmed ? "unconfirmed" : "broken off");
}

SeenResponse requestRaw(std::uint16_t port, const std::string &request, const std::string &method)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string bytes;
    std::array<char, 16384> buffer{};
    try {
        while (const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) {
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
            SeenResponse seen = evaluate(bytes, method, std::nullopt);
            if (seen.end == SeenEnd::Complete) {
                return seen;
            }
        }
    } catch (const Poco::Exception &) {
        return evaluate(bytes, method, false);
    }
    return evaluate(bytes, method, true);
}

std::string rawRequest(const std::string &method, const std::string &target, const std::string &id,
                       const std::string &fields)
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Key: k1\r\n" + fields
        + "Content-Length: 0\r\n\r\n";
}

std::string rawGeneration(const std::string &id, int deadlineMs)
{
    return rawRequest("POST", "/stream/x", id,
                      "X-Token-Count: 1000,240\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n");
}

} // namespace zinniadock::test
