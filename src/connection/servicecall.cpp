#include "zinniadock/connection/servicecall.h"

#include <array>
#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "zinniadock/detail/httptime.h"

namespace zinniadock
{

namespace
{

constexpr std::size_t maxResponseBytes = 4U << 20U;

// Stops reading after the limit is exceeded, so that an endless response uses bounded memory.
std::string readUpToLimit(std::istream &stream)
{
    std::string body;
    std::array<char, 16384> buffer{};
    while (body.size() <= maxResponseBytes && stream.read(buffer.data(), buffer.size()).gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return body;
}

} // namespace

std::variant<ServiceResponse, Failure> callService(const Endpoint &service, const Offer &offer,
                                                   BackendTimeouts timeouts)
{
    Poco::Net::HTTPClientSession session(service.address, service.port);
    const auto receiveTimeout = std::min(timeouts.receive, std::max(offer.timeLeft, std::chrono::milliseconds(1)));
    session.setTimeout(detail::toTimespan(timeouts.connect), detail::toTimespan(timeouts.connect),
                       detail::toTimespan(receiveTimeout));
    try {
        Poco::Net::HTTPRequest request(offer.method, offer.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(offer.body.size()));
        request.set("X-Request-Id", offer.request.text());
        if (!offer.contentType.empty()) {
            request.setContentType(offer.contentType);
        }
        if (!offer.idempotencyKey.empty()) {
            request.set("Idempotency-Key", offer.idempotencyKey);
        }
        session.sendRequest(request) << offer.body << std::flush;
    } catch (const Poco::Exception &error) {
        const Verdict verdict = session.connected() ? Verdict::MayHaveRun : Verdict::NotRun;
        return Failure{ .code = RequestError::EngineLost,
                        .verdict = verdict,
                        .message = "sending the call to the service failed: " + error.displayText() };
    }
    try {
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        ServiceResponse serviceResponse{ .request = offer.request,
                                         .generation = offer.generation,
                                         .status = static_cast<std::uint32_t>(response.getStatus()),
                                         .contentType = response.getContentType(),
                                         .body = readUpToLimit(stream) };
        if (serviceResponse.body.size() > maxResponseBytes) {
            return Failure{ .code = RequestError::ResponseTooLarge,
                            .verdict = Verdict::Ran,
                            .message = "the service's response is larger than 4 MiB" };
        }
        const bool isComplete = !response.hasContentLength()
            || serviceResponse.body.size() == static_cast<std::size_t>(response.getContentLength64())
            || offer.method == Poco::Net::HTTPRequest::HTTP_HEAD;
        if (!isComplete) {
            return Failure{ .code = RequestError::EngineLost,
                            .verdict = Verdict::MayHaveRun,
                            .message = "the service closed the connection after "
                                + std::to_string(serviceResponse.body.size()) + " of "
                                + std::to_string(response.getContentLength64()) + " bytes of its response body" };
        }
        return serviceResponse;
    } catch (const Poco::TimeoutException &) {
        return Failure{ .code = RequestError::DeadlineExceeded,
                        .verdict = Verdict::MayHaveRun,
                        .message = "the service sent no data for " + std::to_string(receiveTimeout.count()) + " ms" };
    } catch (const Poco::Exception &error) {
        return Failure{ .code = RequestError::EngineLost,
                        .verdict = Verdict::MayHaveRun,
                        .message = "reading the response of the service failed: " + error.displayText() };
    }
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
