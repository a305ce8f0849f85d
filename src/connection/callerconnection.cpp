#include "zinniadock/connection/callerconnection.h"

#include <array>
#include <charconv>
#include <istream>
#include <memory>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include "zinniadock/connection/freememory.h"
#include "zinniadock/connection/peerstate.h"
#include "zinniadock/detail/httptime.h"
#include "zinniadock/process/observing/log.h"
#include "zinniadock/request/answerwriter.h"
#include "zinniadock/request/requestrunner.h"

namespace zinniadock
{

namespace
{

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;
using Poco::Net::HTTPServerSession;

constexpr Log log{ "caller" };

constexpr std::chrono::milliseconds idleTimeout{ 60000 };
constexpr std::chrono::milliseconds sendTimeout{ 30000 };

/// Maximum wait for a caller to close a connection after a refusal. The caller may still be sending a large body.
constexpr std::chrono::milliseconds refusalCloseTimeout{ 2000 };

/// Memory of a connection beyond the body of its request: its thread, buffers of the library, and a small head.
constexpr std::size_t connectionBytes = 24576;

constexpr std::size_t maxIdempotencyKeyBytes = 256;
constexpr const char *bearerPrefix = "Bearer ";

Failure badRequest(const std::string &message)
{
    return Failure{ .code = RequestError::BadRequest, .verdict = Verdict::NotRun, .message = message };
}

Failure noMemory()
{
    return Failure{ .code = RequestError::QueueFull,
                    .verdict = Verdict::NotRun,
                    .message = "the entry has no room for the request",
                    .retryAfter = std::chrono::seconds(1) };
}

std::optional<std::chrono::milliseconds> parseDeadline(const std::string &text)
{
    constexpr std::int64_t maxMilliseconds = 86400000;
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || position != end || count < 1 || count > maxMilliseconds) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket, EntryServices &services,
                                   ReadWatchdog &watchdog)
    : TCPServerConnection(socket)
    , m_services(services)
    , m_watchdog(watchdog)
    , m_share(services.callerBudget,
              [this](RefusalCause /*cause*/) {
                  m_isAbandoned = true;
                  try {
                      this->socket().shutdownReceive();
                  } catch (const Poco::Exception &) {
                      return; // the caller has reset the connection; the error must not reach the calling thread
                  }
              })
    , m_parameters(new Poco::Net::HTTPServerParams)
{
    m_parameters->setKeepAlive(true);
    m_parameters->setMaxKeepAliveRequests(0);
    m_parameters->setKeepAliveTimeout(detail::toTimespan(idleTimeout));
    // The watchdog limits the time of a whole request. This timeout applies to each read and must be longer.
    m_parameters->setTimeout(detail::toTimespan(2 * services.settings.entry.readTimeout));
}

void CallerConnection::run()
{
    try {
        socket().setNoDelay(true);
        socket().setSendTimeout(detail::toTimespan(sendTimeout));
        HTTPServerSession session(socket(), m_parameters);
        ReadPhase phase = ReadPhase::FirstRequest;
        while (waitForRequest(session, phase) && serveOne(session)) {
            phase = ReadPhase::BetweenRequests;
        }
    } catch (const Poco::Exception &error) {
        log.debug("closed a caller connection after an error: " + error.displayText());
    }
}

bool CallerConnection::waitForRequest(HTTPServerSession &session, ReadPhase phase)
{
    const auto limit = phase == ReadPhase::FirstRequest ? m_services.settings.entry.readTimeout : idleTimeout;
    const ReadWatchdog::ScopedWatch scopedWatch(m_watchdog, socket(), limit, phase);
    return session.hasMoreRequests() && !scopedWatch.isReceiveShutDown();
}

bool CallerConnection::serveOne(HTTPServerSession &session)
{
    HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    CallerRequest parsed;
    parsed.id = RequestId::random();
    m_isAbandoned = false;
    std::unique_ptr<HTTPServerRequestImpl> request;
    std::optional<Failure> failure;
    {
        const ReadWatchdog::ScopedWatch scopedWatch(m_watchdog, socket(), m_services.settings.entry.readTimeout,
                                                    ReadPhase::WithinRequest);
        try {
            if (!m_share.hold(connectionBytes, std::chrono::steady_clock::now())) {
                m_isAbandoned = true;
            }
            request = std::make_unique<HTTPServerRequestImpl>(response, session, m_parameters.get());
            failure = readRequest(*request, parsed);
            // After this call the request is not abandoned any more, so the check below is final.
            m_share.startService();
        } catch (const Poco::Net::NoMessageException &) {
            return false;
        } catch (const Poco::Exception &) {
            failure = badRequest("the request is not well-formed HTTP");
        }
        if (m_isAbandoned) {
            failure = noMemory();
        } else if (failure && scopedWatch.isReceiveShutDown()) {
            failure->message = "the request did not arrive within "
                + std::to_string(m_services.settings.entry.readTimeout.count()) + " ms";
        }
    }
    if (failure) {
        request.reset();
        std::string().swap(parsed.body);
        m_share.release();
        m_share.hold(connectionBytes, std::chrono::steady_clock::now());
        m_share.startService();
        if (m_isAbandoned) {
            const auto now = std::chrono::steady_clock::now();
            m_share.budget().recordRefusal(RefusalCause::Memory, now);
            returnFreeMemory(now);
        }
        rejectRequest(session, parsed.id, *failure);
        discardInput();
        m_share.release();
        return false;
    }
    response.setKeepAlive(request->getKeepAlive() && !m_services.draining);
    if (parsed.path == "/health") {
        respondToHealthCheck(response);
    } else {
        const CallerControl control{ .hasClosedSending =
                                         [this] {
                                             return hasCallerClosedSending();
                                         },
                                     .resetOnClose =
                                         [this](bool enabled) {
                                             socket().setLinger(enabled, 0);
                                         } };
        RequestRunner(m_services, parsed, response, control).run();
    }
    m_share.release();
    return response.sent() && response.getKeepAlive();
}

// Uses a new response object, because the library leaves the first one attached to the request that it could not read.
void CallerConnection::rejectRequest(HTTPServerSession &session, const RequestId &id, const Failure &failure)
{
    ++m_services.metrics.requests;
    ++m_services.metrics.refused;
    HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    sendFailure(response, id, failure);
}

std::optional<Failure> CallerConnection::holdBody(const std::string &body)
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_share.hold(connectionBytes + residentBytes(body), now)) {
        m_isAbandoned = true;
        return noMemory();
    }
    m_share.recordProgress(now);
    return std::nullopt;
}

void CallerConnection::discardInput()
{
    const auto end = std::chrono::steady_clock::now() + refusalCloseTimeout;
    std::array<char, 1024> input{};
    try {
        socket().shutdownSend();
        socket().setReceiveTimeout(detail::toTimespan(refusalCloseTimeout));
        while (std::chrono::steady_clock::now() < end
               && socket().receiveBytes(input.data(), static_cast<int>(input.size())) > 0) { }
    } catch (const Poco::Exception &) {
        return; // the caller has closed the connection, or sends nothing
    }
}

void CallerConnection::respondToHealthCheck(Poco::Net::HTTPServerResponse &response)
{
    const bool ready = !m_services.draining && m_services.versions.revision() > 0;
    response.setStatusAndReason(ready ? Poco::Net::HTTPResponse::HTTP_OK
                                      : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    const std::string body = ready ? "ready\n" : "not ready\n";
    response.setContentType("text/plain");
    response.sendBuffer(body.data(), body.size());
}

std::optional<Failure> CallerConnection::readRequest(HTTPServerRequestImpl &request, CallerRequest &parsed)
{
    parsed.method = request.getMethod();
    parsed.target = request.getURI();
    try {
        parsed.path = Poco::URI(parsed.target).getPath();
    } catch (const Poco::SyntaxException &) {
        return badRequest("the request target is not a valid URI");
    }
    parsed.contentType = request.getContentType();
    const std::string authorization = request.get("Authorization", "");
    if (Poco::icompare(authorization, 0, std::char_traits<char>::length(bearerPrefix), bearerPrefix) == 0) {
        parsed.key = Poco::trim(authorization.substr(std::char_traits<char>::length(bearerPrefix)));
    }
    parsed.idempotencyKey = request.get("Idempotency-Key", "");
    if (parsed.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        return badRequest("Idempotency-Key: expected at most 256 bytes, found "
                          + std::to_string(parsed.idempotencyKey.size()));
    }
    if (request.has("X-Zinniadock-Deadline-Ms")) {
        parsed.deadline = parseDeadline(request.get("X-Zinniadock-Deadline-Ms"));
        if (!parsed.deadline) {
            return badRequest("X-Zinniadock-Deadline-Ms: expected milliseconds from 1 to 86400000, found \""
                              + request.get("X-Zinniadock-Deadline-Ms") + "\"");
        }
    }
    return readBody(request, parsed.body);
}

std::optional<Failure> CallerConnection::readBody(HTTPServerRequestImpl &request, std::string &body)
{
    const std::size_t limit = m_services.settings.entry.maxBodyBytes;
    const Failure tooLarge{ .code = RequestError::BodyTooLarge,
                            .verdict = Verdict::NotRun,
                            .message = "the body is larger than " + std::to_string(limit) + " bytes" };
    const bool hasLength = request.hasContentLength();
    if (hasLength && request.getContentLength64() > static_cast<std::int64_t>(limit)) {
        return tooLarge;
    }
    if (!hasLength && !request.getChunkedTransferEncoding()) {
        return std::nullopt;
    }
    // A string that grows by doubling would hold two copies of a body at times. The pages of the whole capacity become
    // resident only when bytes are written to them.
    body.reserve(hasLength ? static_cast<std::size_t>(request.getContentLength64()) : limit);
    std::istream &stream = request.stream();
    std::array<char, 2048> buffer{};
    while (stream.read(buffer.data(), buffer.size()).gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit) {
            return tooLarge;
        }
        if (auto failure = holdBody(body)) {
            return failure;
        }
    }
    if (hasLength && body.size() != static_cast<std::size_t>(request.getContentLength64())) {
        return badRequest("the body has " + std::to_string(body.size()) + " bytes, but its Content-Length is "
                          + std::to_string(request.getContentLength64()));
    }
    return std::nullopt;
}

bool CallerConnection::hasCallerClosedSending()
{
    return peerState(socket().impl()->sockfd()) == PeerState::HasClosed;
}

CallerConnectionFactory::CallerConnectionFactory(EntryServices &services, ReadWatchdog &watchdog)
    : m_services(services)
    , m_watchdog(watchdog)
{
}

Poco::Net::TCPServerConnection *CallerConnectionFactory::createConnection(const Poco::Net::StreamSocket &socket)
{
    return new CallerConnection(socket, m_services, m_watchdog); // NOLINT: the library owns it
}

} // namespace zinniadock
