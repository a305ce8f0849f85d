#include "soakcallers.h"

#include <random>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

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

Outcome askOn(Poco::Net::HTTPClientSession &session, const std::string &id, RequestKind kind)
{
    Outcome outcome{ .id = id, .kind = kind };
    const bool isRead = kind == RequestKind::Read;
    Poco::Net::HTTPRequest request(isRead ? "GET" : "POST", targetOf(kind), Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost("a.example");
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", "8000");
    if (kind == RequestKind::Generation) {
        request.set("X-Token-Count", "1000,240");
        request.set("X-Length-Hint", "200");
    }
    const std::string body = isRead ? "" : "body of " + id;
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    try {
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        outcome.status = response.getStatus();
        outcome.isSigned = response.has("X-Server-Signature");
        Poco::StreamCopier::copyToString(stream, outcome.body);
        // A body that ends early shows as an error of the stream, or as fewer bytes than were announced.
        outcome.whole = !stream.bad() && session.networkException() == nullptr
            && (!response.hasContentLength()
                || response.getContentLength() == static_cast<std::streamsize>(outcome.body.size()));
    } catch (const Poco::Exception &) {
        outcome.whole = false;
    }
    return outcome;
}

} // namespace

Outcome ask(std::uint16_t port, const std::string &id, RequestKind kind)
{
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    session.setTimeout(Poco::Timespan(patienceSeconds, 0));
    return askOn(session, id, kind);
}

SoakCallers::SoakCallers(std::vector<std::uint16_t> ports, std::size_t callers, std::uint64_t seed)
    : m_ports(std::move(ports))
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
    const std::uint16_t port = m_ports[caller % m_ports.size()];
    auto session = std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", port);
    for (int number = 0; !m_stopping; ++number) {
        session->setKeepAlive(true);
        session->setTimeout(Poco::Timespan(patienceSeconds, 0));
        const auto draw = random() % 10;
        const RequestKind kind = draw < 4 ? RequestKind::Generation : draw < 7 ? RequestKind::Order : RequestKind::Read;
        const std::string id
            = "s" + std::to_string(seed) + "-c" + std::to_string(caller) + "-" + std::to_string(number);
        const Outcome outcome = askOn(*session, id, kind);
        if (!outcome.whole) {
            session = std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", port);
        }
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
