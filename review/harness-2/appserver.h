#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "httpserver.h"

namespace zinniadock::review
{

/// Run time of each request at an AppServer, and the time that its route allows.
constexpr std::chrono::milliseconds runTime{ 60 };
constexpr std::chrono::milliseconds deadline{ 1500 };

/// Returns a configuration with one route, work-order, to the servers of the application.
std::string configurationText();

/// Returns a request on that route.
std::string orderRequest(const std::string &id);

/// A server of the application. Runs each request for the same time.
class AppServer
{
public:
    AppServer(std::string id, const std::string &address);

    const std::string &id() const;

    /// Returns the record that the server writes to the store.
    std::string record() const;

    /// Returns whether the server runs requests from all entries of a list at this moment. The ID of a request ends
    /// with the number of its entry.
    bool runsFor(const std::vector<std::size_t> &entries);

    bool hasRun(const std::string &request);

    /// Returns when each request has arrived, in order.
    std::vector<std::chrono::steady_clock::time_point> arrivals();

    /// Makes the server say in all its answers that it leaves.
    void leave();

    /// Ends as a process does: refuses new connections and resets all others.
    void exit();

private:
    bool handle(ServerConnection &connection, const Request &request);

    const std::string m_id;
    const std::string m_address;
    std::atomic<bool> m_isLeaving{ false };
    std::mutex m_mutex;
    std::set<std::string> m_started;
    std::set<std::string> m_running;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    HttpServer m_server;
};

} // namespace zinniadock::review
