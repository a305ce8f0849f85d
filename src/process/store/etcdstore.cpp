#include "zinniadock/process/store/etcdstore.h"

#include <algorithm>
#include <istream>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <nlohmann/json.hpp>

#include "zinniadock/detail/base64.h"
#include "zinniadock/detail/httptime.h"

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;
using Poco::Net::HTTPClientSession;

constexpr std::size_t maxIdleSessions = 8;

std::int64_t int64Field(const Json &object, const char *key)
{
    // The JSON form of the protocol writes 64-bit numbers as strings and omits zeros.
    const auto position = object.find(key);
    if (position == object.end()) {
        return 0;
    }
    if (position->is_string()) {
        return std::strtoll(position->get_ref<const std::string &>().c_str(), nullptr, 10);
    }
    return position->is_number_integer() ? position->get<std::int64_t>() : 0;
}

std::optional<StoreValue> decodeValue(const Json &object)
{
    const auto bytes = detail::fromBase64(object.value("value", std::string()));
    if (!bytes) {
        return std::nullopt;
    }
    return StoreValue{ .value = *bytes, .modRevision = int64Field(object, "mod_revision") };
}

void shutDownSocket(HTTPClientSession &session)
{
    try {
        session.socket().shutdown();
    } catch (const Poco::Exception &) {
        // The connection is already closed, which is the requested state.
        return;
    }
}

void writeRequest(HTTPClientSession &session, const std::string &path, const std::string &body)
{
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(true);
    session.sendRequest(request) << body;
}

} // namespace

EtcdStore::EtcdStore(Endpoint endpoint, std::chrono::milliseconds timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

StoreRead EtcdStore::read(const std::string &key)
{
    const Response response = call("/v3/kv/range", Json{ { "key", detail::toBase64(key) } }.dump());
    StoreRead result;
    result.status = response.status == StoreStatus::Done ? StoreStatus::Done : StoreStatus::Unavailable;
    if (response.status != StoreStatus::Done) {
        return result;
    }
    const Json document = Json::parse(response.body, nullptr, false);
    if (!document.is_object()) {
        result.status = StoreStatus::Unavailable;
        return result;
    }
    result.storeRevision = int64Field(document.value("header", Json::object()), "revision");
    const Json values = document.value("kvs", Json::array());
    if (!values.empty()) {
        result.value = decodeValue(values.front());
    }
    return result;
}

StoreStatus EtcdStore::compareAndSwap(const std::string &key, std::int64_t modRevision, const std::string &value,
                                      LeaseId lease)
{
    Json put{ { "key", detail::toBase64(key) }, { "value", detail::toBase64(value) } };
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    return transact(key, modRevision, Json{ { "requestPut", put } }.dump());
}

StoreStatus EtcdStore::compareAndErase(const std::string &key, std::int64_t modRevision)
{
    return transact(key, modRevision, Json{ { "requestDeleteRange", { { "key", detail::toBase64(key) } } } }.dump());
}

std::optional<LeaseId> EtcdStore::grantLease(std::chrono::milliseconds retention)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(retention).count();
    const Response response = call("/v3/lease/grant", Json{ { "TTL", std::to_string(seconds) } }.dump());
    if (response.status != StoreStatus::Done) {
        return std::nullopt;
    }
    const Json document = Json::parse(response.body, nullptr, false);
    const LeaseId lease = document.is_object() ? int64Field(document, "ID") : 0;
    return lease == 0 ? std::nullopt : std::optional(lease);
}

StoreStatus EtcdStore::watch(const std::string &key, std::int64_t afterRevision, std::chrono::milliseconds duration,
                             const std::function<bool(const StoreValue &)> &onChange)
{
    ++m_calls;
    const auto startedAt = std::chrono::steady_clock::now();
    try {
        HTTPClientSession session(m_endpoint.address, m_endpoint.port);
        session.setTimeout(detail::toTimespan(m_timeout), detail::toTimespan(m_timeout), detail::toTimespan(duration));
        const Json create{ { "create_request",
                             { { "key", detail::toBase64(key) },
                               { "start_revision", std::to_string(afterRevision + 1) } } } };
        writeRequest(session, "/v3/watch", create.dump());
        const WatchRegistration registration(*this, session);
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return StoreStatus::Unavailable;
        }
        for (std::string line; std::getline(stream, line);) {
            const Json document = Json::parse(line, nullptr, false);
            if (!document.is_object()) {
                return StoreStatus::Unavailable;
            }
            for (const Json &event : document.value("result", Json::object()).value("events", Json::array())) {
                const auto value = decodeValue(event.value("kv", Json::object()));
                if (value && !onChange(*value)) {
                    return StoreStatus::Done;
                }
            }
        }
    } catch (const Poco::Exception &) {
        return StoreStatus::Unavailable;
    }
    // The stream ends in the same way when the store closes the connection and when nothing arrives for the whole
    // duration, so the elapsed time has to distinguish the two.
    const bool isDurationOver = std::chrono::steady_clock::now() - startedAt >= duration;
    return isDurationOver ? StoreStatus::Done : StoreStatus::Unavailable;
}

void EtcdStore::interruptWatches()
{
    const std::lock_guard lock(m_mutex);
    m_areWatchesInterrupted = true;
    for (HTTPClientSession *session : m_watchSessions) {
        shutDownSocket(*session);
    }
}

EtcdStore::WatchRegistration::WatchRegistration(EtcdStore &store, HTTPClientSession &session)
    : m_store(store)
    , m_session(session)
{
    const std::lock_guard lock(m_store.m_mutex);
    m_store.m_watchSessions.push_back(&session);
    if (m_store.m_areWatchesInterrupted) {
        shutDownSocket(session);
    }
}

EtcdStore::WatchRegistration::~WatchRegistration()
{
    const std::lock_guard lock(m_store.m_mutex);
    std::erase(m_store.m_watchSessions, &m_session);
}

std::uint64_t EtcdStore::calls() const
{
    return m_calls;
}

EtcdStore::Response EtcdStore::call(const std::string &path, const std::string &body)
{
    ++m_calls;
    std::unique_ptr<HTTPClientSession> session = acquireSession();
    try {
        session->setTimeout(detail::toTimespan(m_timeout));
        if (!session->connected()) {
            session->reset();
        }
        writeRequest(*session, path, body);
    } catch (const Poco::Exception &) {
        // Without a connection nothing was sent. With a connection the store may have received the whole request.
        return { session->connected() ? StoreStatus::Unknown : StoreStatus::Unavailable, {} };
    }
    try {
        Poco::Net::HTTPResponse response;
        std::istream &stream = session->receiveResponse(response);
        Response storeResponse;
        Poco::StreamCopier::copyToString(stream, storeResponse.body);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
            storeResponse.status = StoreStatus::Done;
            releaseSession(std::move(session));
        } else if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
            storeResponse.status = StoreStatus::Unavailable;
        } else {
            storeResponse.status = StoreStatus::Unknown;
        }
        return storeResponse;
    } catch (const Poco::Exception &) {
        return { StoreStatus::Unknown, {} };
    }
}

StoreStatus EtcdStore::transact(const std::string &key, std::int64_t modRevision, const std::string &operation)
{
    const Json body{ { "compare",
                       { { { "key", detail::toBase64(key) },
                           { "target", "MOD" },
                           { "result", "EQUAL" },
                           { "mod_revision", std::to_string(modRevision) } } } },
                     { "success", { Json::parse(operation) } } };
    const Response response = call("/v3/kv/txn", body.dump());
    if (response.status != StoreStatus::Done) {
        return response.status;
    }
    const Json document = Json::parse(response.body, nullptr, false);
    if (!document.is_object()) {
        return StoreStatus::Unknown;
    }
    return document.value("succeeded", false) ? StoreStatus::Done : StoreStatus::Conflict;
}

// The store may have closed an idle connection. Poco then reconnects automatically, unless the request was
// already written; that case is reported as a lost response (StoreStatus::Unknown).
std::unique_ptr<HTTPClientSession> EtcdStore::acquireSession()
{
    const std::lock_guard lock(m_mutex);
    if (m_idleSessions.empty()) {
        return std::make_unique<HTTPClientSession>(m_endpoint.address, m_endpoint.port);
    }
    std::unique_ptr<HTTPClientSession> session = std::move(m_idleSessions.back());
    m_idleSessions.pop_back();
    return session;
}

void EtcdStore::releaseSession(std::unique_ptr<HTTPClientSession> session)
{
    const std::lock_guard lock(m_mutex);
    if (m_idleSessions.size() < maxIdleSessions) {
        m_idleSessions.push_back(std::move(session));
    }
}

} // namespace zinniadock
