#pragma once

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "zinniadock/connection/readwatch.h"
#include "zinniadock/process/entryservices.h"
#include "zinniadock/request/callerrequest.h"

namespace zinniadock
{

/// One connection of a caller: reads HTTP requests within bounds of time and size, and has each of them run.
class CallerConnection final : public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, EntryServices &services, ReadWatchdog &watch);

    void run() override;

private:
    bool waitForRequest(Poco::Net::HTTPServerSession &session, ReadPhase phase);

    /// Reads and answers one request; false if the connection can't be used for another one.
    bool serveOne(Poco::Net::HTTPServerSession &session);
    void refuse(Poco::Net::HTTPServerSession &session, const RequestId &id, const Failure &failure);
    void answerHealth(Poco::Net::HTTPServerResponse &response);
    std::optional<Failure> readRequest(Poco::Net::HTTPServerRequestImpl &request, CallerRequest &parsed);
    std::optional<Failure> readBody(Poco::Net::HTTPServerRequestImpl &request, std::string &body);
    bool callerClosed();

    EntryServices &m_services;
    ReadWatchdog &m_watch;
    Poco::Net::HTTPServerParams::Ptr m_parameters;
};

/// Makes a CallerConnection for each accepted socket.
class CallerConnectionFactory final : public Poco::Net::TCPServerConnectionFactory
{
public:
    CallerConnectionFactory(EntryServices &services, ReadWatchdog &watch);

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override;

private:
    EntryServices &m_services;
    ReadWatchdog &m_watch;
};

} // namespace zinniadock
