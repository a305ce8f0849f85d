#include "enginestandin.h"

#include <cmath>
#include <cstdlib>

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace zinniadock::standin
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int maxThreads = 2048;
constexpr std::size_t bytesPerToken = 4;
constexpr std::uint64_t prefixBytes = 1024; ///< number of leading bytes of a prompt that the prefix hash covers
constexpr std::string_view outputLengthMarker = "[tokens=";
constexpr double maxSampledTokens = 60000;
constexpr std::chrono::milliseconds idlePollInterval{ 2 };

std::uint64_t fnv1aHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return hash;
}

std::int64_t wallMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string promptText(const Json &body, bool chat)
{
    if (!chat) {
        return body.value("prompt", std::string());
    }
    std::string text;
    for (const Json &message : body.value("messages", Json::array())) {
        text += message.value("content", std::string());
    }
    return text;
}

std::string choiceText(bool chat, const std::string &text)
{
    return chat ? R"("delta":{"content":")" + text + R"("})" : R"("text":")" + text + R"(")";
}

} // namespace

std::string promptHash(const std::string &prompt)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = fnv1aHash(prompt);
    std::string text;
    for (int i = 0; i < 8; ++i, hash >>= 4U) {
        text += digits[hash & 0xFU];
    }
    return text;
}

EngineStandin::EngineStandin(EngineStandinSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(std::random_device()() + 1ULL)
    , m_history(m_settings.history)
    , m_model(m_settings.model)
    , m_random(m_settings.seed)
    , m_stepThread([this] {
        runSteps();
    })
    , m_server(std::make_unique<LoopbackHttpServer>(m_settings.port, maxThreads, [this](auto &request, auto &response) {
        handle(request, response);
    }))
{
}

EngineStandin::~EngineStandin()
{
    stop();
}

std::uint16_t EngineStandin::port() const
{
    return m_server->port();
}

std::uint32_t EngineStandin::dropStreams()
{
    std::uint32_t readers = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_streamEpoch;
        for (const auto &[job, generation] : m_generationsByJob) {
            readers += generation->finishReason.empty() ? generation->readers : 0;
        }
    }
    m_changed.notify_all();
    return readers;
}

void EngineStandin::injectForeignEvents(std::uint32_t count)
{
    const std::lock_guard lock(m_mutex);
    m_pendingForeignEvents = count;
}

void EngineStandin::setFrozen(bool frozen)
{
    const std::lock_guard lock(m_mutex);
    m_frozen = frozen;
}

void EngineStandin::setSlowdown(double factor)
{
    const std::lock_guard lock(m_mutex);
    m_model.setSlowdown(factor);
}

void EngineStandin::setRefusing(bool refusing)
{
    const std::lock_guard lock(m_mutex);
    m_refusing = refusing;
}

bool EngineStandin::isRefusing() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusing;
}

std::uint64_t EngineStandin::started() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastJob;
}

std::uint64_t EngineStandin::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

std::uint32_t EngineStandin::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_model.runningCount() + m_model.waitingCount();
}

void EngineStandin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        ++m_streamEpoch;
    }
    m_changed.notify_all();
    m_stepThread.join();
    m_server->stop();
}

bool EngineStandin::crashed() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashed;
}

void EngineStandin::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    if (crashed()) {
        cutConnection(request);
        return;
    }
    const Poco::URI uri(request.getURI());
    const std::string &path = uri.getPath();
    constexpr std::string_view streamsPath = "/v1/streams/";
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        handleCompletion(request, response, path == "/v1/chat/completions");
    } else if (path.starts_with(streamsPath)) {
        const std::string key = path.substr(streamsPath.size());
        if (request.getMethod() == "DELETE") {
            cancel(key, response);
            return;
        }
        std::uint64_t from = 0;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            from = name == "from" ? std::strtoull(value.c_str(), nullptr, 10) : from;
        }
        resumeStream(key, from, response);
    } else if (path == "/load") {
        sendJson(response, loadText());
    } else if (path == "/cache_events") {
        sendJson(response, cacheEventText());
    } else if (path == "/control") {
        control(request, response);
    } else {
        sendJson(response, R"({"error":"no such page"})", HTTPServerResponse::HTTP_NOT_FOUND);
    }
}

void EngineStandin::handleCompletion(HTTPServerRequest &request, HTTPServerResponse &response, bool chat)
{
    const Json body = Json::parse(readBody(request), nullptr, false);
    if (!body.is_object()) {
        sendJson(response, R"({"error":"not a JSON object"})", HTTPServerResponse::HTTP_BAD_REQUEST);
        return;
    }
    if (isRefusing()) {
        sendJson(response, R"({"error":"refused"})", HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
        return;
    }
    const std::string prompt = promptText(body, chat);
    const std::int64_t arrived = wallMicroseconds();
    auto generation = std::make_shared<Generation>();
    {
        const std::lock_guard lock(m_mutex);
        generation->id = ++m_lastJob;
        generation->arrived = arrived;
        generation->key = body.value("request_id", "direct-" + std::to_string(generation->id));
        generation->chat = chat;
        const std::size_t dash = generation->key.rfind('-');
        generation->tokenPrefix = promptHash(prompt) + ":" + generation->key.substr(dash + 1) + ":";
        if (m_generations.contains(generation->key)) {
            sendJson(response, R"({"error":"the request id is in use"})", HTTPServerResponse::HTTP_CONFLICT);
            return;
        }
        m_history.record({ { "event", "engine_start" },
                           { "key", generation->key },
                           { "mark", promptHash(prompt) },
                           { "server", m_settings.server } });
        if (prompt.find("[crash]") != std::string::npos) {
            if (m_settings.exitOnCrash) {
                std::_Exit(1);
            }
            m_crashed = true;
            ++m_streamEpoch;
            m_changed.notify_all();
            cutConnection(request);
            return;
        }
        EngineJob job{ .id = generation->id,
                       .promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1),
                       .priority = body.value("priority", 0U),
                       .prefixHash = fnv1aHash(prompt.substr(0, prefixBytes)) };
        std::string reason;
        job.outputTokens
            = sampleOutputLength(body.value("model", std::string()), prompt, body.value("max_tokens", 0U), reason);
        m_finishReasons[job.id] = reason;
        m_generations[generation->key] = generation;
        m_generationsByJob[job.id] = generation;
        m_cacheEvents.push_back({ Clock::now(), generation->id, job.prefixHash });
        m_model.submit(job);
    }
    m_changed.notify_all();
    stream(generation, 0, response);
}

void EngineStandin::resumeStream(const std::string &key, std::uint64_t from, HTTPServerResponse &response)
{
    GenerationPointer generation;
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_generations.find(key);
        if (position != m_generations.end() && !position->second->cancelled) {
            generation = position->second;
        }
    }
    if (!generation) {
        sendJson(response, R"({"error":"no such generation"})", HTTPServerResponse::HTTP_NOT_FOUND);
        return;
    }
    stream(generation, from, response);
}

void EngineStandin::cancel(const std::string &key, HTTPServerResponse &response)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_generations.find(key);
        if (position != m_generations.end() && !position->second->cancelled) {
            position->second->cancelled = true;
            m_cancelled += position->second->finishReason.empty() ? 1 : 0;
            m_model.cancel(position->second->id);
            m_history.record({ { "event", "engine_cancel" }, { "key", key } });
        }
    }
    m_changed.notify_all();
    sendJson(response, "{}");
}

void EngineStandin::control(HTTPServerRequest &request, HTTPServerResponse &response)
{
    const Json body = Json::parse(readBody(request), nullptr, false);
    if (!body.is_object()) {
        sendJson(response, R"({"error":"not a JSON object"})", HTTPServerResponse::HTTP_BAD_REQUEST);
        return;
    }
    if (body.value("crash", false)) {
        std::_Exit(1);
    }
    std::uint32_t closedStreams = 0;
    if (body.value("drop_streams", false)) {
        closedStreams = dropStreams();
    }
    if (body.contains("cross_streams")) {
        injectForeignEvents(body["cross_streams"].get<std::uint32_t>());
    }
    {
        const std::lock_guard lock(m_mutex);
        m_frozen = body.value("frozen", m_frozen);
        m_refusing = body.value("refusing", m_refusing);
        if (body.contains("slowdown")) {
            m_model.setSlowdown(body["slowdown"].get<double>());
        }
        if (body.contains("stolen_blocks")) {
            m_model.setExternallyUsedBlocks(body["stolen_blocks"].get<std::uint32_t>());
        }
    }
    sendJson(response, Json{ { "cut", closedStreams } }.dump());
}

void EngineStandin::stream(const GenerationPointer &generation, std::uint64_t from, HTTPServerResponse &response)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t epoch = m_streamEpoch;
    ++generation->readers;
    lock.unlock();
    try {
        response.setChunkedTransferEncoding(true);
        response.setContentType("text/event-stream");
        std::ostream &out = response.send();
        out << std::flush;
        for (std::uint64_t next = from; out.good();) {
            lock.lock();
            m_changed.wait(lock, [&] {
                return generation->emitted > next || !generation->finishReason.empty() || generation->cancelled
                    || m_streamEpoch != epoch || m_stopping;
            });
            const bool isClosed = generation->cancelled || m_streamEpoch != epoch || m_stopping;
            const std::uint64_t emitted = generation->emitted;
            const std::string reason = generation->finishReason;
            std::string events = isClosed ? std::string() : foreignEvent(*generation, next);
            for (; next < emitted && !isClosed; ++next) {
                events += tokenEvent(*generation, next);
            }
            lock.unlock();
            if (isClosed) {
                break;
            }
            if (!reason.empty()) {
                events += R"(data: {"id":"cmpl-)" + generation->key + R"(","choices":[{"index":0,)"
                    + choiceText(generation->chat, "") + R"(,"finish_reason":")" + reason + "\"}]}\n\ndata: [DONE]\n\n";
                out << events << std::flush;
                break;
            }
            out << events << std::flush;
        }
    } catch (const Poco::Exception &) {
        // The reader closed the connection; the generation continues until orphanTimeout. Only writes throw, and they
        // run without the lock, so the lock can be taken again below.
        ++generation->failedReaders;
    }
    lock.lock();
    --generation->readers;
    generation->lastReaderLeft = Clock::now();
}

std::string EngineStandin::tokenText(const Generation &generation, std::uint64_t index)
{
    std::string text = generation.tokenPrefix + std::to_string(index);
    if (index < generation.emissionTimes.size()) {
        text += "@" + std::to_string(generation.emissionTimes[index]);
        text += index == 0 ? "@" + std::to_string(generation.arrived) : "";
    }
    return text + " ";
}

std::string EngineStandin::tokenEvent(const Generation &generation, std::uint64_t index)
{
    return R"(data: {"id":"cmpl-)" + generation.key + R"(","choices":[{"index":0,)"
        + choiceText(generation.chat, tokenText(generation, index)) + R"(,"finish_reason":null}],"token_index":)"
        + std::to_string(index) + "}\n\n";
}

std::string EngineStandin::foreignEvent(const Generation &generation, std::uint64_t index)
{
    if (m_pendingForeignEvents == 0) {
        return {};
    }
    for (const auto &[job, other] : m_generationsByJob) {
        if (other->key != generation.key) {
            --m_pendingForeignEvents;
            return tokenEvent(*other, index);
        }
    }
    return {};
}

std::string EngineStandin::loadText()
{
    const std::lock_guard lock(m_mutex);
    const auto latestVisible = Clock::now() - m_settings.loadLag;
    LoadSample sample;
    for (const LoadSample &candidate : m_samples) {
        if (candidate.time <= latestVisible) {
            sample = candidate;
        }
    }
    while (m_samples.size() > 1 && m_samples[1].time <= latestVisible) {
        m_samples.pop_front();
    }
    return Json{
        { "incarnation", m_incarnation },
        { "running", sample.running },
        { "waiting", sample.waiting },
        { "used_blocks", sample.usedBlocks },
        { "total_blocks", m_settings.model.totalBlocks },
        { "block_tokens", m_settings.model.blockTokens },
        { "preemptions", sample.preemptions }
    }.dump();
}

std::string EngineStandin::cacheEventText()
{
    const std::lock_guard lock(m_mutex);
    Json events = Json::array();
    while (!m_cacheEvents.empty() && Clock::now() - m_cacheEvents.front().time > m_settings.cacheEventLag) {
        if (std::uniform_real_distribution<double>()(m_random) >= m_settings.cacheEventLossRate) {
            events.push_back(
                { { "number", m_cacheEvents.front().number }, { "prefix", m_cacheEvents.front().prefix } });
        }
        m_cacheEvents.pop_front();
    }
    return Json{ { "events", events } }.dump();
}

void EngineStandin::runSteps()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_model.idle() || m_frozen) {
            m_changed.wait_for(lock, idlePollInterval);
            expireOrphans();
            continue;
        }
        runStep(lock);
        expireOrphans();
    }
}

void EngineStandin::runStep(std::unique_lock<std::mutex> &lock)
{
    const EngineStep step = m_model.step();
    lock.unlock();
    std::this_thread::sleep_for(step.duration);
    lock.lock();
    const std::int64_t now = wallMicroseconds();
    for (const std::uint64_t id : step.emitted) {
        Generation &generation = *m_generationsByJob.at(id);
        ++generation.emitted;
        if (m_settings.timestampTokens) {
            generation.emissionTimes.push_back(now);
        }
    }
    for (const std::uint64_t id : step.finished) {
        const GenerationPointer generation = m_generationsByJob.at(id);
        generation->finishReason = m_finishReasons.at(id);
        generation->lastReaderLeft = Clock::now();
        m_history.record({ { "event", "engine_end" }, { "key", generation->key }, { "tokens", generation->emitted } });
        m_generationsByJob.erase(id);
        m_finishReasons.erase(id);
    }
    m_samples.push_back(
        { Clock::now(), m_model.runningCount(), m_model.waitingCount(), m_model.usedBlocks(), m_model.preemptions() });
    m_changed.notify_all();
}

void EngineStandin::expireOrphans()
{
    const auto now = Clock::now();
    std::erase_if(m_generations, [&](const auto &entry) {
        const Generation &generation = *entry.second;
        const bool isOrphaned = generation.readers == 0 && generation.lastReaderLeft != Clock::time_point()
            && now - generation.lastReaderLeft > m_settings.orphanTimeout;
        if (isOrphaned && generation.finishReason.empty() && !generation.cancelled) {
            m_model.cancel(generation.id);
            ++m_cancelled;
        }
        if (isOrphaned) {
            m_generationsByJob.erase(generation.id);
            m_finishReasons.erase(generation.id);
        }
        return isOrphaned;
    });
}

std::uint32_t EngineStandin::sampleOutputLength(const std::string &model, const std::string &prompt,
                                                std::uint32_t maxTokens, std::string &finishReason)
{
    std::uint32_t length = 0;
    const std::size_t marker = prompt.find(outputLengthMarker);
    if (marker != std::string::npos) {
        length = static_cast<std::uint32_t>(
            std::strtoul(prompt.c_str() + marker + outputLengthMarker.size(), nullptr, 10));
    } else {
        const auto position = m_settings.lengths.find(model);
        const LengthDistribution distribution
            = position == m_settings.lengths.end() ? LengthDistribution() : position->second;
        std::mt19937_64 random(fnv1aHash(prompt) ^ m_settings.seed);
        std::lognormal_distribution<double> sample(std::log(distribution.median), distribution.sigma);
        length = static_cast<std::uint32_t>(std::min(maxSampledTokens, std::ceil(sample(random))));
    }
    length = std::max(length, 1U);
    finishReason = maxTokens > 0 && length > maxTokens ? "length" : "stop";
    return maxTokens > 0 ? std::min(length, maxTokens) : length;
}

} // namespace zinniadock::standin
