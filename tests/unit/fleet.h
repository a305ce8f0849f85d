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

/// Waits until a condition holds. Returns false if it does not hold within \p limit. The default limit is so long that
/// only a failing test reaches it.
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(30));

/// An HTTP response.
struct CallResponse
{
    int status = 0; ///< 0 if the connection broke
    std::string verdict;
    std::string requestId;
    std::string body;
    bool replayed = false;
    std::chrono::seconds retryAfter{ 0 };
};

/// A streamed response, split into tokens.
struct StreamResponse
{
    int status = 0;
    std::string verdict;
    std::string body; ///< body of a response that is not a stream, or data of an error event
    std::vector<std::string> tokens;
    bool complete = false; ///< the stream ended with [DONE]
    bool failed = false; ///< an error event arrived, or the connection broke
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

/// Sends a request and reads the whole response.
CallResponse send(std::uint16_t port, const Call &call);

/// Streams a generation. \p onToken is called with the number of tokens after each token; the client disconnects if the
/// callback returns false.
StreamResponse streamGeneration(std::uint16_t port, const std::string &prompt,
                                const std::function<bool(std::size_t)> &onToken = nullptr);

/// Returns whether the stream is complete and has the expected \p count tokens of the prompt, each once and in order,
/// from a single generation.
bool hasExpectedTokens(const StreamResponse &response, const std::string &prompt, std::size_t count);

/// A deployment within the test process: a store, engines, one plain service, their sidecars, and entries.
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

    /// Publishes a configuration and waits until every entry and sidecar uses it, at most 30 seconds. Throws an
    /// exception if the configuration is invalid.
    void publish(const std::string &text);

    /// Waits until every entry is linked to every sidecar, at most 30 seconds.
    void waitUntilLinked();

    /// Inserts a relay between the entries and each sidecar.
    void insertRelays();

    /// Starts one more entry, and waits until it is linked to every sidecar.
    void addEntry();

    /// Stops a sidecar immediately and starts a new one at the same address.
    void restartSidecar(std::size_t index);

    /// Stops an engine immediately, with all its generations, and starts a new one at the same address.
    void restartEngine(std::size_t index);

    std::uint16_t entryPort(std::size_t index = 0) const;

    std::unique_ptr<standin::StoreStandin> store;
    std::vector<std::unique_ptr<standin::EngineStandin>> engines;
    std::unique_ptr<standin::ServiceStandin> service;
    std::vector<std::unique_ptr<Sidecar>> sidecars; ///< the sidecars of the engines, then that of the service
    std::vector<std::unique_ptr<standin::LinkRelay>> relays; ///< one per sidecar; empty until insertRelays()
    std::vector<std::unique_ptr<Entry>> entries;

    /// Settings of the engines; a change applies to engines that are started later.
    standin::EngineStandinSettings engineSettings;

private:
    SidecarSection sidecarSettings(std::size_t index) const;
    void startEntry();

    std::vector<std::uint16_t> m_sidecarPorts;
};

} // namespace zinniadock::test
