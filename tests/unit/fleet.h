#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "enginestandin.h"
#include "linkrelay.h"
#include "servicestandin.h"
#include "storestandin.h"
#include "zinniadock/process/entry.h"
#include "zinniadock/process/sidecar.h"

namespace zinniadock::test
{

/// Waits until a condition holds; false after a long time, which only a fault reaches.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(30));

/// One answer over HTTP.
struct HttpAnswer
{
    int status = 0; ///< 0 where the connection broke
    std::string verdict;
    std::string requestId;
    std::string body;
    bool replayed = false;
    std::chrono::seconds retryAfter{ 0 };
};

/// One streamed answer, checked token by token.
struct StreamAnswer
{
    int status = 0;
    std::string verdict;
    std::string body; ///< of an answer that is no stream
    std::vector<std::string> tokens;
    bool complete = false;
    bool failed = false; ///< an error event came
};

/// A request to an entry.
struct Call
{
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string key = "site-key";
    std::string idempotencyKey;
    std::string deadline;
};

HttpAnswer send(std::uint16_t port, const Call &call);

/// Streams a generation; \p onToken is called after each token and ends the stream by returning false.
StreamAnswer streamGeneration(std::uint16_t port, const std::string &prompt,
                              const std::function<bool(std::size_t)> &onToken = nullptr);

/// Says whether the tokens are those of the prompt, each once and in order, from one generation.
bool hasExpectedTokens(const StreamAnswer &answer, const std::string &prompt, std::size_t count);

/// A deployment in this process: a store, engines, one plain service, their sidecars and entries.
class Fleet
{
public:
    explicit Fleet(std::size_t engineCount = 2, std::size_t entryCount = 1,
                   std::chrono::microseconds stepBase = std::chrono::microseconds(1000));
    ~Fleet();

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Returns the configuration text of the deployment.
    std::string configurationText() const;

    /// Publishes a configuration and waits until every process has it in force.
    void publish(const std::string &text);

    /// Waits until every entry is linked to every sidecar.
    void waitUntilLinked();

    /// Puts a relay between the entries and each sidecar.
    void insertRelays();

    /// Starts one more entry, and waits until it is linked.
    void addEntry();

    /// Stops a sidecar at once and starts a new one at the same address.
    void restartSidecar(std::size_t index);

    /// Stops an engine at once, with all its generations, and starts a new one at the same address.
    void restartEngine(std::size_t index);

    std::uint16_t entryPort(std::size_t index = 0) const;

    std::unique_ptr<standin::StoreStandin> store;
    std::vector<std::unique_ptr<standin::EngineStandin>> engines;
    std::unique_ptr<standin::ServiceStandin> service;
    std::vector<std::unique_ptr<Sidecar>> sidecars; ///< of the engines, then of the service
    std::vector<std::unique_ptr<standin::LinkRelay>> relays; ///< before the sidecars; none until insertRelays()
    std::vector<std::unique_ptr<Entry>> entries;

    /// Settings of the engines; changes count for engines started later.
    standin::EngineStandinSettings engineSettings;

private:
    SidecarSection sidecarSettings(std::size_t index) const;
    void startEntry();

    std::vector<std::uint16_t> m_sidecarPorts;
};

} // namespace zinniadock::test
