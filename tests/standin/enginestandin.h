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
    std::chrono::milliseconds loadLag{ 300 }; ///< minimum age of the sample that `/load` reports
    std::chrono::milliseconds cacheEventLag{ 500 }; ///< age at which a cache event is published
    double cacheEventLossRate = 0.1; ///< fraction of cache events that are never published
    std::chrono::milliseconds orphanTimeout{ 10000 }; ///< a generation without a reader is cancelled after this time
    std::string history; ///< file to which each event is appended; empty to record no events
    std::string server; ///< name of this engine in the history

    /// Whether a prompt with `[crash]` ends the process. If false, the engine instead closes every connection, so that
    /// it can run within a test process.
    bool exitOnCrash = true;

    /// Appends `@EMITTED` to each token and `@ARRIVED` to the first one, in microseconds since the epoch (wall clock).
    bool timestampTokens = false;
};

/// Simulated model engine that serves the completions API with server-sent events.
///
/// The text of token i of generation g is `HASH:g:i `, where HASH is promptHash() of the prompt. A client can check the
/// order, the generation and the prompt of each token from its text alone. A prompt that contains `[tokens=N]` produces
/// N tokens. A prompt that contains `[crash]` crashes the engine; see EngineStandinSettings::exitOnCrash.
class EngineStandin
{
public:
    explicit EngineStandin(EngineStandinSettings settings);
    ~EngineStandin();

    EngineStandin(const EngineStandin &) = delete;
    EngineStandin &operator=(const EngineStandin &) = delete;

    std::uint16_t port() const;

    /// Closes all streams; their generations continue. Returns the number of readers of unfinished generations.
    std::uint32_t dropStreams();

    /// Produces no tokens while \p frozen is true.
    void setFrozen(bool frozen);

    /// Inserts \p count events of other running generations into streams, each before the next event of a stream.
    void injectForeignEvents(std::uint32_t count);

    /// Multiplies the duration of each step by \p factor.
    void setSlowdown(double factor);

    /// Rejects each new generation with status 503 while \p refusing is true. `/load` still reports the load.
    void setRefusing(bool refusing);

    /// Returns the number of completion requests, without those rejected with status 400 or 503.
    std::uint64_t started() const;

    /// Returns the number of unfinished generations that a client cancelled or that had no reader for `orphanTimeout`.
    std::uint64_t cancelled() const;

    /// Returns the number of generations that run or wait for admission.
    std::uint32_t running() const;

    /// Returns whether a prompt has crashed the engine.
    bool crashed() const;

    /// Closes all streams, ends all generations and stops the server. Does nothing on a second call.
    void stop();

private:
    struct Generation
    {
        std::string key;
        std::string tokenPrefix;
        std::uint64_t id = 0;
        std::uint64_t emitted = 0;
        std::int64_t arrived = 0; ///< microseconds since the epoch (wall clock)
        std::deque<std::int64_t> emissionTimes; ///< one for each emitted token, in microseconds since the epoch
        std::string finishReason; ///< empty until the generation ends
        bool chat = false;
        bool cancelled = false;
        std::uint32_t readers = 0;
        std::atomic<std::uint32_t> failedReaders{ 0 }; ///< readers whose connection broke
        /// Time at which a reader last left or the generation ended. The orphan timeout starts then.
        std::chrono::steady_clock::time_point lastReaderLeft;
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
    void handleCompletion(HTTPServerRequest &request, HTTPServerResponse &response, bool chat);
    void resumeStream(const std::string &key, std::uint64_t from, HTTPServerResponse &response);
    void cancel(const std::string &key, HTTPServerResponse &response);
    void control(HTTPServerRequest &request, HTTPServerResponse &response);
    void stream(const GenerationPointer &generation, std::uint64_t from, HTTPServerResponse &response);
    static std::string tokenText(const Generation &generation, std::uint64_t index);
    static std::string tokenEvent(const Generation &generation, std::uint64_t index);
    std::string foreignEvent(const Generation &generation, std::uint64_t index);
    bool isRefusing() const;
    std::string loadText();
    std::string cacheEventText();
    void runSteps();
    void runStep(std::unique_lock<std::mutex> &lock);

    /// Removes generations that had no reader for `orphanTimeout`, and cancels those that are unfinished.
    void expireOrphans();

    std::uint32_t sampleOutputLength(const std::string &model, const std::string &prompt, std::uint32_t maxTokens,
                                     std::string &finishReason);

    const EngineStandinSettings m_settings;
    const std::uint64_t m_incarnation;
    History m_history;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    EngineModel m_model;
    std::map<std::string, GenerationPointer> m_generations;
    std::map<std::uint64_t, std::string> m_finishReasons; ///< by job id, set before the job ends
    std::map<std::uint64_t, GenerationPointer> m_generationsByJob;
    std::deque<LoadSample> m_samples;
    std::deque<CacheEvent> m_cacheEvents;
    std::mt19937_64 m_random;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_streamEpoch = 0; ///< streams that started in an earlier epoch are closed
    std::uint32_t m_pendingForeignEvents = 0; ///< events of other generations still to be inserted into streams
    bool m_frozen = false;
    bool m_refusing = false;
    bool m_stopping = false;
    bool m_crashed = false;
    std::thread m_stepThread;
    std::unique_ptr<LoopbackHttpServer> m_server;
};

/// Returns the hash of a prompt, as eight hexadecimal digits, that begins each of its tokens.
std::string promptHash(const std::string &prompt);

} // namespace zinniadock::standin
