#include "soakcallers.h"

#include <array>
#include <memory>
#include <random>
#include <stdexcept>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

namespace zinniadock::soak
{

namespace
{

constexpr std::chrono::milliseconds pauseBetweenRequests{ 15 };
constexpr std::chrono::milliseconds pauseAfterFailure{ 100 };
constexpr long receiveTimeoutSeconds = 12;

const char *pathOf(RequestKind kind)
{
    return kind == RequestKind::Generation ? "/stream/1" : kind == RequestKind::Order ? "/order/1" : "/read/1";
}

/// A persistent connection to an entry. Parses responses without any code of the daemons.
class CallerConnection
{
public:
    explicit CallerConnection(const std::string &entry)
        : m_socket(Poco::Net::SocketAddress(entry))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSeconds, 0));
        m_socket.setNoDelay(true);
    }

    /// Closes the connection, with a reset or with FIN.
    void close(bool withReset)
    {
        m_socket.setLinger(withReset, 0);
        m_socket.close();
    }

    void send(const std::string &text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent)));
        }
    }

    /// Reads a line and its CRLF; returns the line without the CRLF.
    std::string readLine()
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            receive();
        }
        return takeBytes(end + 2).substr(0, end);
    }

    std::string readBytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            receive();
        }
        return takeBytes(count);
    }

private:
    std::string takeBytes(std::size_t count)
    {
        std::string taken = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return taken;
    }

    void receive()
    {
        std::array<char, 4096> data{};
        const int count = m_socket.receiveBytes(data.data(), static_cast<int>(data.size()));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException(
                "the entry closed the connection before the response was complete");
        }
        m_buffer.append(data.data(), static_cast<std::size_t>(count));
    }

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

std::string requestText(const std::string &id, RequestKind kind)
{
    const bool isRead = kind == RequestKind::Read;
    const std::string body = isRead ? "" : "body of " + id;
    std::string text = std::string(isRead ? "GET " : "POST ") + pathOf(kind) + " HTTP/1.1\r\nHost: a.example\r\n"
        + "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\n";
    if (kind == RequestKind::Generation) {
        text += "X-Token-Count: 1000,240\r\nX-Length-Hint: 200\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void readBody(CallerConnection &connection, bool isChunked, std::size_t length, std::string &body)
{
    if (!isChunked) {
        body = connection.readBytes(length);
        return;
    }
    constexpr int hexadecimal = 16;
    std::size_t size = 1;
    while (size > 0) {
        size = std::stoul(connection.readLine(), nullptr, hexadecimal);
        body += connection.readBytes(size);
        connection.readBytes(2);
    }
}

Outcome sendRequestOn(std::unique_ptr<CallerConnection> &connection, const std::string &entry, const std::string &id,
                      RequestKind kind)
{
    Outcome outcome{ .id = id, .kind = kind };
    bool mustClose = true;
    try {
        if (!connection) {
            connection = std::make_unique<CallerConnection>(entry);
        }
        connection->send(requestText(id, kind));
        const std::string statusLine = connection->readLine();
        bool isChunked = false;
        std::size_t length = 0;
        mustClose = false;
        for (std::string field = connection->readLine(); !field.empty(); field = connection->readLine()) {
            const std::string name = Poco::toLower(field.substr(0, field.find(':')));
            const std::string value = Poco::trim(field.substr(field.find(':') + 1));
            outcome.isSigned = outcome.isSigned || name == "x-server-signature";
            isChunked = isChunked || (name == "transfer-encoding" && value == "chunked");
            length = name == "content-length" ? std::stoul(value) : length;
            mustClose = mustClose || (name == "connection" && value == "close");
        }
        outcome.status = std::stoi(statusLine.substr(statusLine.find(' ') + 1));
        readBody(*connection, isChunked, length, outcome.body);
        outcome.isComplete = true;
    } catch (const Poco::Exception &) {
        outcome.isComplete = false;
    } catch (const std::logic_error &) {
        outcome.isMalformed = true; // a status or the size of a chunk is no number
    }
    if (mustClose || !outcome.isComplete) {
        connection.reset();
    }
    return outcome;
}

/// Sends a request on a new connection and closes it soon. Sends two bytes more in some cases, which must not hide the
/// close.
Outcome sendAndLeave(const std::string &entry, const std::string &id, RequestKind kind, std::mt19937_64 &random)
{
    constexpr std::uint64_t maxStayMilliseconds = 300;
    Outcome outcome{ .id = id, .kind = kind };
    try {
        CallerConnection connection(entry);
        connection.send(requestText(id, kind));
        if (random() % 3 == 0) {
            connection.send("GE");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % maxStayMilliseconds));
        connection.close(random() % 2 == 0);
        outcome.leftAt = std::chrono::steady_clock::now();
    } catch (const Poco::Exception &) {
        outcome.leftAt.reset(); // the entry has closed the connection first
    }
    return outcome;
}

} // namespace

Outcome sendSingleRequest(const std::string &entry, const std::string &id, RequestKind kind)
{
    std::unique_ptr<CallerConnection> connection;
    return sendRequestOn(connection, entry, id, kind);
}

SoakCallers::SoakCallers(std::vector<std::string> entries, std::size_t callerCount, std::uint64_t seed)
    : m_entries(std::move(entries))
{
    for (std::size_t i = 0; i < callerCount; ++i) {
        m_threads.emplace_back([this, i, seed] {
            runCaller(i, seed);
        });
    }
}

SoakCallers::~SoakCallers()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void SoakCallers::runCaller(std::size_t caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + caller);
    const std::string &entry = m_entries[caller % m_entries.size()];
    std::unique_ptr<CallerConnection> connection;
    for (int requestNumber = 0; !m_stopping; ++requestNumber) {
        const auto choice = random() % 10;
        const RequestKind kind = choice < 4 ? RequestKind::Generation
            : choice < 7                    ? RequestKind::Order
                                            : RequestKind::Read;
        const std::string id
            = "s" + std::to_string(seed) + "-c" + std::to_string(caller) + "-" + std::to_string(requestNumber);
        const bool leaves = random() % 8 == 0;
        const Outcome outcome
            = leaves ? sendAndLeave(entry, id, kind, random) : sendRequestOn(connection, entry, id, kind);
        std::this_thread::sleep_for(outcome.isComplete && outcome.status == 200 ? pauseBetweenRequests
                                                                                : pauseAfterFailure);
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(outcome);
    }
}

void SoakCallers::finish(SoakChecker &checker)
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    for (Outcome &outcome : m_outcomes) {
        checker.add(std::move(outcome));
    }
}

} // namespace zinniadock::soak
