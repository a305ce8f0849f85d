#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "enginemodel.h"
#include "functionserver.h"
#include "history.h"

namespace zinniadock::standin
{

/// Log-normal distribution of output lengths of one model.
struct LengthDistribution
{
    double median = 200;
    double sigma = 0.8;
};

struct EngineStandinSettings
{
    std::uint16_t port = 0;
    std::uint64_t seed = 1;
    EngineModelSettings model;
    std::map<std::string, LengthDistribution> lengths;
    std::chrono::milliseconds loadLag{ 300 };
    std::chrono::milliseconds cacheEventLag{ 500 };
    double cacheEventLossRate = 0.1; ///< share of cache events that are never published
    std::chrono::milliseconds orphanTimeout{ 10000 }; ///< a generation without a reader goes on for so long
    std::string history;
    std::string server; ///< name in the history
    bool exitOnCrash = true; ///< else the engine only stops answering, for tests in one process
    bool stamp = false; ///< adds `@emitted`, and to the first token `@arrived`, in microseconds of the wall clock
};

/// A model engine in the form of the completions interface with server-sent events.
///
/// The text of token i of generation g is `HASH:g:i `, where HASH is eight hexadecimal digits of the prompt, so that a
/// caller can check order, generation and owner from the text alone. A prompt with `[tokens=N]` gives N tokens, one
/// with `[crash]` ends the process.
class EngineStandin
{
public:
    explicit EngineStandin(EngineStandinSettings settings);
    ~EngineStandin();

    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    std::uint16_t port() const;

    /// Cuts all streams; the generations go on. Returns how many running ones lost their reader.
    std::uint32_t dropStreams();

    /// Stops giving tokens while \p frozen.
    void setFrozen(bool frozen);

    /// Puts an event of another running generation before the next event of each of \p count streams.
    void injectForeignEvents(std::uint32_t count);

    /// Makes each step take \p factor times as long.
    void setSlowdown(double factor);

    /// Refuses each new generation with status 503 while \p refusing, and goes on reporting its load.
    void setRefusing(bool refusing);

    /// Returns the number of generations that were ever started.
    std::uint64_t started() const;

    /// Returns the number of generations cancelled or given up.
    std::uint64_t cancelled() const;

    std::uint32_t running() const;

    /// Says whether a prompt has crashed the engine.
    bool crashed() const;

    /// Stops at once, with all its generations.
    void stop();

private:
    struct Generation
    {
        std::string key;
        std::string tokenPrefix;
        std::uint64_t id = 0;
        std::uint64_t emitted = 0;
        std::int64_t arrived = 0; ///< wall clock
        std::deque<std::int64_t> stamps; ///< of the tokens emitted
        std::string reason; ///< set at the end
        bool chat = false;
        bool cancelled = false;
        std::uint32_t readers = 0;
        std::atomic<std::uint32_t> lostReaders{ 0 };
        std::chrono::steady_clock::time_point readerGone;
    };

    using GenerationPointer = std::shared_ptr<Generation>;

    struct LoadSample
    {
        std::chrono::steady_clock::time_point time;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t usedBlocks = 0;
        std::uint64_t preemptions = 0;
    };

    struct CacheEvent
    {
        std::chrono::steady_clock::time_point time;
        std::uint64_t number = 0;
        std::uint64_t prefix = 0;
    };

    void handle(HTTPServerRequest &request, HTTPServerResponse &response);
    void complete(HTTPServerRequest &request, HTTPServerResponse &response, bool chat);
    void resume(const std::string &key, std::uint64_t from, HTTPServerResponse &response);
    void cancel(const std::string &key, HTTPServerResponse &response);
    void control(HTTPServerRequest &request, HTTPServerResponse &response);
    void stream(const GenerationPointer &generation, std::uint64_t from, HTTPServerResponse &response);
    static std::string tokenText(const Generation &generation, std::uint64_t index);
    static std::string tokenEvent(const Generation &generation, std::uint64_t index);
    std::string crossedEvent(const Generation &generation, std::uint64_t index);
    bool refuses() const;
    std::string loadText();
    std::string cacheEventText();
    void run();
    void takeStep(std::unique_lock<std::mutex> &lock);
    void giveUpOrphans();
    std::uint32_t drawLength(const std::string &model, const std::string &prompt, std::uint32_t maxTokens,
                             std::string &reason);

    const EngineStandinSettings m_settings;
    const std::uint64_t m_incarnation;
    History m_history;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EngineModel m_model;
    std::map<std::string, GenerationPointer> m_generations;
    std::map<std::uint64_t, std::string> m_reasons; ///< by job
    std::map<std::uint64_t, GenerationPointer> m_byJob;
    std::deque<LoadSample> m_samples;
    std::deque<CacheEvent> m_cacheEvents;
    std::mt19937_64 m_random;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_streamEpoch = 0; ///< streams of an earlier epoch are cut
    std::uint32_t m_crossings = 0; ///< events of other generations still to be put into streams
    bool m_frozen = false;
    bool m_refusing = false;
    bool m_stopping = false;
    bool m_crashed = false;
    std::thread m_stepper;
    std::unique_ptr<FunctionServer> m_server;
};

/// Returns the eight hexadecimal digits that mark the tokens of a prompt.
std::string promptHash(const std::string &prompt);

} // namespace zinniadock::standin
