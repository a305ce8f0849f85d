#include "zinniadock/connection/servicecall.h"

#include <memory>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>

#include "zinniadock/connection/httpclient.h"
#include "zinniadock/connection/strayresponse.h"
#include "zinniadock/detail/httptime.h"

namespace zinniadock
{

namespace
{

using CallOutcome = std::variant<ServiceResponse, Failure>;

constexpr std::size_t maxResponseBytes = 4U << 20U;

/// A call in progress, which runs on the thread of its caller.
struct RunningCall
{
    explicit RunningCall(const Endpoint &service)
        : exchange(pool, service, std::chrono::milliseconds(0))
    {
    }

    asio::io_context context{ 1 };
    ConnectionPool pool{ context };
    HttpExchange exchange;
};

HttpRequest makeRequest(const Endpoint &service, const Offer &offer)
{
    HttpRequest request;
    request.version(11);
    request.method_string(offer.method);
    request.target(offer.path);
    request.set(http::field::host, service.text());
    request.set("X-Request-Id", offer.request.text());
    if (!offer.contentType.empty()) {
        request.set(http::field::content_type, offer.contentType);
    }
    if (!offer.idempotencyKey.empty()) {
        request.set("Idempotency-Key", offer.idempotencyKey);
    }
    request.keep_alive(false);
    request.body() = offer.body;
    request.content_length(offer.body.size());
    return request;
}

Failure failureOfSending(const HttpExchange &exchange, const IoError &error)
{
    const bool notSent = exchange.sendState() == SendState::NotSent;
    return Failure{ .code = RequestError::EngineLost,
                    .verdict = notSent ? Verdict::NotRun : Verdict::MayHaveRun,
                    .message = "sending the call to the service failed: " + error.message() };
}

Failure failureOfReading(const IoError &error, std::size_t bodyBytes, std::chrono::milliseconds receiveTimeout)
{
    if (error == boost::beast::error::timeout) {
        return Failure{ .code = RequestError::DeadlineExceeded,
                        .verdict = Verdict::MayHaveRun,
                        .message = "the service sent no data for " + std::to_string(receiveTimeout.count()) + " ms" };
    }
    if (error == http::error::body_limit) {
        return Failure{ .code = RequestError::ResponseTooLarge,
                        .verdict = Verdict::Ran,
                        .message = "the service's response is larger than 4 MiB" };
    }
    return Failure{ .code = RequestError::EngineLost,
                    .verdict = Verdict::MayHaveRun,
                    .message = "reading the response of the service failed after " + std::to_string(bodyBytes)
                        + " bytes of its body: " + error.message() };
}

Awaitable<void> exchangeWithService(HttpExchange &exchange, const Endpoint &service, const Offer &offer,
                                    BackendTimeouts timeouts, std::optional<CallOutcome> &outcome)
{
    exchange.setReadTimeout(timeouts.receive);
    const HttpRequest request = makeRequest(service, offer);
    IoError error = co_await exchange.send(request, timeouts.connect);
    if (error) {
        outcome = failureOfSending(exchange, error);
        co_return;
    }
    ServiceResponse response{ .request = offer.request, .generation = offer.generation };
    error = co_await exchange.readHead();
    if (!error) {
        error = co_await exchange.readRest(response.body, maxResponseBytes);
    }
    if (error) {
        outcome = failureOfReading(error, response.body.size(), timeouts.receive);
        co_return;
    }
    if (containsStrayResponse(exchange.framing(), response.body)) {
        outcome = Failure{ .code = RequestError::EngineLost,
                           .verdict = Verdict::MayHaveRun,
                           .message = "the body of the service's response contains another response" };
        co_return;
    }
    response.status = exchange.head().result_int();
    response.contentType = exchange.head()[http::field::content_type].to_string();
    response.isEndStated = exchange.end() == ResponseEnd::Complete;
    outcome = std::move(response);
}

} // namespace

CallOutcome callService(const Endpoint &service, const Offer &offer, BackendTimeouts timeouts,
                        const CallAbortSetter &setAbort)
{
    timeouts.receive = std::min(timeouts.receive, std::max(offer.timeLeft, std::chrono::milliseconds(1)));
    const auto running = std::make_shared<RunningCall>(service);
    setAbort([weak = std::weak_ptr(running)] {
        if (const auto call = weak.lock()) {
            asio::post(call->context, [weak] {
                if (const auto posted = weak.lock()) {
                    posted->exchange.abort();
                }
            });
        }
    });
    std::optional<CallOutcome> outcome;
    asio::co_spawn(
        running->context,
        [&]() {
            return exchangeWithService(running->exchange, service, offer, timeouts, outcome);
        },
        asio::detached);
    running->context.run();
    return std::move(*outcome);
}

bool isServiceReachable(const Endpoint &service, BackendTimeouts timeouts)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(service.address, service.port), detail::toTimespan(timeouts.connect));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace zinniadock
