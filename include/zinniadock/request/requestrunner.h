#pragma once

#include <functional>
#include <optional>
#include <string>

#include <Poco/Net/HTTPServerResponse.h>

#include "zinniadock/process/entryservices.h"
#include "zinniadock/request/callerrequest.h"
#include "zinniadock/request/requestcontext.h"

namespace zinniadock
{

/// Runs one request of a caller, from authentication to the end of its response, with one configuration version.
class RequestRunner
{
public:
    RequestRunner(EntryServices &services, const CallerRequest &request, Poco::Net::HTTPServerResponse &response,
                  CallerControl caller);

    /// Runs the request and responds to it in every case.
    void run();

private:
    std::optional<Failure> authenticate();
    void runAuthenticated();
    std::optional<Failure> authorise(const std::string &routeName);
    void runGeneration();
    std::optional<Failure> checkStop(RequestContext::Clock::time_point latestEnd) const;
    RequestContext::Clock::time_point latestEnd(const GenerationRequest &generation) const;

    RequestContext m_context;
};

} // namespace zinniadock
