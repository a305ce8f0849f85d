#include "soakcallers.h"

#include <array>
#include <memory>
#include <random>

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

namespace zinniadock::soak
{

namespace
{

constexpr std::chrono::milliseconds pause{ 15 };
constexpr std::chrono::milliseconds pauseAfterFailure{ 100 };
constexpr long patienceSeconds = 12;

const char *targetOf(RequestKind kind)
{
    return kind == RequestKind::Generation ? "/stream/1" : kind == RequestKind::Order ? "/order/1" : "/read/1";
}

/// A connection to an entry that is kept over requests, and reads answers without any help from the daemons' code.
class CallerConnection
{
public:
    explicit CallerConnection(const std::string &entry)
        : m_socket(Poco::Net::SocketAddress(entry))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(patienceSeconds, 0));
        m_socket.setNoDelay(true);
    }

    void send(const std::string &text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent)));
        }
    }

    /// Reads up to and with the next end of a line.
    std::string line()
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            receive();
        }
        return take(end + 2).substr(0, end);
    }

    std::string bytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            receive();
        }
        return take(count);
    }

private:
    std::string take(std::size_t count)
    {
        std::string taken = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return taken;
    }

    void receive()
    {
        std::array<char, 4096> piece{};
        const int count = m_socket.receiveBytes(piece.data(), static_cast<int>(piece.size()));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException("closed");
        }
        m_buffer.append(piece.data(), static_cast<std::size_t>(count));
    }

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

std::string requestText(const std::string &id, RequestKind kind)
{
    const bool isRead = kind == RequestKind::Read;
    const std::string body = isRead ? "" : "body of " + id;
    std::string text = std::string(isRead ? "GET " : "POST ") + targetOf(kind) + " HTTP/1.1\r\nHost: a.example\r\n"
        + "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\n";
    if (kind == RequestKind::Generation) {
        text += "X-Token-Count: 1000,240\r\nX-Length-Hint: 200\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void readBody(CallerConnection &connection, bool chunked, std::size_t length, std::string &body)
{
    if (!chunked) {
        body = connection.bytes(length);
        return;
    }
    constexpr int hexadecimal = 16;
    std::size_t size = 1;
    while (size > 0) {
        size = std::stoul(connection.line(), nullptr, hexadecimal);
        body += connection.bytes(size);
        connection.bytes(2);
    }
}

Outcome askOn(std::unique_ptr<CallerConnection> &connection, const std::string &entry, const std::string &id,
              RequestKind kind)
{
    Outcome outcome{ .id = id, .kind = kind };
    bool closes = true;
    try {
        if (!connection) {
            connection = std::make_unique<CallerConnection>(entry);
        }
        connection->send(requestText(id, kind));
        const std::string status = connection->line();
        bool chunked = false;
        std::size_t length = 0;
        closes = false;
        for (std::string field = connection->line(); !field.empty(); field = connection->line()) {
            const std::string name = Poco::toLower(field.substr(0, field.find(':')));
            const std::string value = Poco::trim(field.substr(field.find(':') + 1));
            outcome.isSigned = outcome.isSigned || name == "x-server-signature";
            chunked = chunked || (name == "transfer-encoding" && value == "chunked");
            length = name == "content-length" ? std::stoul(value) : length;
            closes = closes || (name == "connection" && value == "close");
        }
        outcome.status = std::stoi(status.substr(status.find(' ') + 1));
        readBody(*connection, chunked, length, outcome.body);
        outcome.whole = true;
    } catch (const Poco::Exception &) {
        outcome.whole = false;
    }
    if (closes || !outcome.whole) {
        connection.reset();
    }
    return outcome;
}

} // namespace

Outcome ask(const std::string &entry, const std::string &id, RequestKind kind)
{
    std::unique_ptr<CallerConnection> connection;
    return askOn(connection, entry, id, kind);
}

SoakCallers::SoakCallers(std::vector<std::string> entries, std::size_t callers, std::uint64_t seed)
    : m_entries(std::move(entries))
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_threads.emplace_back([this, i, seed] {
            work(i, seed);
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

void SoakCallers::work(std::size_t caller, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 1000 + caller);
    const std::string &entry = m_entries[caller % m_entries.size()];
    std::unique_ptr<CallerConnection> connection;
    for (int number = 0; !m_stopping; ++number) {
        const auto draw = random() % 10;
        const RequestKind kind = draw < 4 ? RequestKind::Generation : draw < 7 ? RequestKind::Order : RequestKind::Read;
        const std::string id
            = "s" + std::to_string(seed) + "-c" + std::to_string(caller) + "-" + std::to_string(number);
        const Outcome outcome = askOn(connection, entry, id, kind);
        std::this_thread::sleep_for(outcome.whole && outcome.status == 200 ? pause : pauseAfterFailure);
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
