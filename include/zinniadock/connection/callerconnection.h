#pragma once

#include <atomic>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/connection/readwatch.h"
#include "zinniadock/process/entryservices.h"
#include "zinniadock/request/callerrequest.h"

namespace zinniadock
{

/// One caller's connection. Reads HTTP requests within time and size limits and runs each of them.
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, EntryServices &services, ReadWatchdog &watchdog);

    void run() override;

private:
    bool waitForRequest(Poco::Net::HTTPServerSession &session, ReadPhase phase);

    /// Reads one request and responds to it. Returns whether the connection can be used for another request.
    bool serveOne(Poco::Net::HTTPServerSession &session);

    /// Counts the body in the budget. Returns a failure if there is no room for it.
    std::optional<Failure> holdBody(const std::string &body);

    /// Reads and drops what a caller still sends after a refusal, so that closing the socket does not discard it.
    void discardInput();
    void rejectRequest(Poco::Net::HTTPServerSession &session, const RequestId &id, const Failure &failure);
    void respondToHealthCheck(Poco::Net::HTTPServerResponse &response);
    std::optional<Failure> readRequest(Poco::Net::HTTPServerRequestImpl &request, CallerRequest &parsed);
    std::optional<Failure> readBody(Poco::Net::HTTPServerRequestImpl &request, std::string &body);

    /// Returns whether the caller has closed its sending side or the connection has failed. A caller that has closed
    /// only its sending side can still receive a response.
    bool hasCallerClosedSending();

    EntryServices &m_services;
    ReadWatchdog &m_watchdog;
    BudgetShare m_share;
    std::atomic<bool> m_isAbandoned{ false }; ///< the budget had no room for the request; set by any thread
    Poco::Net::HTTPServerParams::Ptr m_parameters;
};

/// Creates a CallerConnection for each accepted socket.
class CallerConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    CallerConnectionFactory(EntryServices &services, ReadWatchdog &watchdog);

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override;

private:
    EntryServices &m_services;
    ReadWatchdog &m_watchdog;
};

} // namespace zinniadock
