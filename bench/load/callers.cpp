#include "callers.h"

#include <charconv>
#include <istream>
#include <mutex>
#include <ostream>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <nlohmann/json.hpp>

namespace zinniadock::load
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int socketTimeoutSeconds = 60;
constexpr std::string_view textFieldPrefix = "\"text\":\"";

// If calls are enabled, one of this many requests is a call to a plain service. Every second call has an
// idempotency key.
constexpr std::uint32_t requestsPerCall = 8;

// Waits of at least this duration are recorded in the history with their begin and end.
constexpr Microseconds minRecordedStall{ 200000 };

Microseconds elapsedSince(Clock::time_point begin)
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
}

// Returns the time in microseconds since the epoch. It uses the wall clock of the machine, as the engine stand-ins do,
// because timestamps are compared across processes.
std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::uint64_t fnv1aHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return hash;
}

// Returns the prompt's hash as an engine stand-in writes it into each token: 8 hexadecimal digits, lowest digit first.
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

/// The parts of a token `HASH:generation:index[@emitted[@arrived]] `. Both timestamps are in microseconds since the
/// epoch; an absent one is 0.
struct TokenParts
{
    std::string_view promptHash;
    std::string_view generation;
    std::uint64_t index = 0;
    std::int64_t emittedMicroseconds = 0; ///< when the engine emitted the token
    std::int64_t arrivedMicroseconds = 0; ///< when the request arrived at the engine
};

/// Parses the number at the start of a text; 0 if there is none.
template <typename Number>
Number parseNumberPrefix(std::string_view text)
{
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

TokenParts parseToken(std::string_view text)
{
    TokenParts parts;
    const std::size_t hashEnd = text.find(':');
    const std::size_t generationEnd = text.find(':', hashEnd + 1);
    if (hashEnd == std::string_view::npos || generationEnd == std::string_view::npos) {
        return parts;
    }
    parts.promptHash = text.substr(0, hashEnd);
    parts.generation = text.substr(hashEnd + 1, generationEnd - hashEnd - 1);
    parts.index = parseNumberPrefix<std::uint64_t>(text.substr(generationEnd + 1));
    const std::size_t emittedSeparator = text.find('@', generationEnd);
    if (emittedSeparator != std::string_view::npos) {
        parts.emittedMicroseconds = parseNumberPrefix<std::int64_t>(text.substr(emittedSeparator + 1));
        const std::size_t arrivedSeparator = text.find('@', emittedSeparator + 1);
        parts.arrivedMicroseconds = arrivedSeparator == std::string_view::npos
            ? 0
            : parseNumberPrefix<std::int64_t>(text.substr(arrivedSeparator + 1));
    }
    return parts;
}

/// Sends one request at a time and records the responses.
class Caller
{
public:
    Caller(const CallerPlan &plan, std::uint32_t number, standin::History &history)
        : m_plan(plan)
        , m_callerNumber(number)
        , m_history(history)
    {
    }

    CallerResults run(Clock::time_point begin)
    {
        if (m_plan.callers > 1) {
            std::this_thread::sleep_until(begin + m_plan.rampDuration * m_callerNumber / m_plan.callers);
        }
        const bool isTimed = m_plan.duration.count() > 0;
        for (std::uint32_t i = 0; isTimed ? Clock::now() < begin + m_plan.duration : i < m_plan.requests; ++i) {
            ++m_results.requests;
            const bool isCall = !m_plan.callPath.empty() && i % requestsPerCall == 0;
            isCall ? call(i) : generate(i);
        }
        return m_results;
    }

private:
    const Endpoint &target(std::uint32_t request) const
    {
        return m_plan.targets[(m_callerNumber + request) % m_plan.targets.size()];
    }

    void post(Poco::Net::HTTPClientSession &session, HTTPRequest &request, const std::string &body) const
    {
        session.setTimeout(Poco::Timespan(socketTimeoutSeconds, 0));
        request.set("Authorization", "Bearer " + m_plan.key);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        std::ostream &out = session.sendRequest(request);
        session.socket().setNoDelay(true);
        out << body << std::flush;
    }

    void generate(std::uint32_t number)
    {
        std::string prompt = "caller " + std::to_string(m_callerNumber) + " request " + std::to_string(number)
            + " seed " + std::to_string(m_plan.seed);
        prompt += m_plan.tokens > 0 ? " [tokens=" + std::to_string(m_plan.tokens) + "]" : "";
        prompt.resize(std::max<std::size_t>(prompt.size(), m_plan.promptBytes), '.');
        const std::string body = Json{ { "model", m_plan.route }, { "prompt", prompt }, { "stream", true } }.dump();
        m_promptHash = promptHash(prompt);
        m_recordedTokens.clear();
        m_recordedStalls = Json::array();
        m_hasWrongToken = false;
        const auto begin = Clock::now();
        m_lastTokenTime = begin;
        m_maxWait = Microseconds(0);
        m_sentMicroseconds = wallMicroseconds();
        std::string end = "broken";
        std::string verdict = "may_have_run";
        std::string requestId;
        try {
            Poco::Net::HTTPClientSession session(target(number).address, target(number).port);
            HTTPRequest request(HTTPRequest::HTTP_POST, "/v1/completions", HTTPRequest::HTTP_1_1);
            request.setContentType("application/json");
            post(session, request, body);
            HTTPResponse response;
            std::istream &stream = session.receiveResponse(response);
            requestId = response.get("X-Request-Id", "");
            verdict = response.get("X-Zinniadock-Verdict", verdict);
            if (response.getStatus() != HTTPResponse::HTTP_OK) {
                end = "refused";
            } else {
                end = readStream(stream, begin);
            }
        } catch (const Poco::Exception &) {
            end = "broken";
        }
        m_results.maxWait.add(std::max(m_maxWait, elapsedSince(m_lastTokenTime)));
        recordStall(elapsedSince(m_lastTokenTime));
        countResult(end, verdict);
        m_history.record({ { "event", "answer" },
                           { "request", requestId },
                           { "mark", m_promptHash },
                           { "end", end },
                           { "verdict", verdict },
                           { "tokens", m_recordedTokens },
                           { "stalls", m_recordedStalls } });
    }

    std::string readStream(std::istream &stream, Clock::time_point begin)
    {
        for (std::string line; std::getline(stream, line);) {
            if (line.starts_with("data: [DONE]")) {
                return "whole";
            }
            if (line.starts_with("event: error")) {
                return "error";
            }
            const std::size_t fieldStart = line.find(textFieldPrefix);
            if (!line.starts_with("data: ") || fieldStart == std::string::npos) {
                continue;
            }
            const std::size_t start = fieldStart + textFieldPrefix.size();
            const std::string_view text = std::string_view(line).substr(start, line.find('"', start) - start);
            if (!text.empty()) {
                receiveToken(text, begin);
            }
        }
        return "broken";
    }

    void receiveToken(std::string_view text, Clock::time_point begin)
    {
        const TokenParts parts = parseToken(text);
        const std::size_t index = m_receivedTokens++;
        if (index == 0) {
            m_generation = parts.generation;
        }
        m_hasWrongToken = m_hasWrongToken || parts.promptHash != m_promptHash || parts.generation != m_generation
            || parts.index != index;
        const auto now = Clock::now();
        const auto waited = std::chrono::duration_cast<Microseconds>(now - m_lastTokenTime);
        m_maxWait = std::max(m_maxWait, waited);
        recordStall(waited);
        m_lastTokenTime = now;
        ++m_results.tokens;
        (index == 0 ? m_results.firstToken : m_results.gap).add(index == 0 ? elapsedSince(begin) : waited);
        if (parts.emittedMicroseconds > 0) {
            const std::int64_t receivedMicroseconds = wallMicroseconds();
            m_results.tokenLatency.add(Microseconds(receivedMicroseconds - parts.emittedMicroseconds));
            if (parts.arrivedMicroseconds > 0) {
                m_results.requestLatency.add(Microseconds(parts.arrivedMicroseconds - m_sentMicroseconds));
                m_results.pathLatency.add(Microseconds(parts.arrivedMicroseconds - m_sentMicroseconds
                                                       + receivedMicroseconds - parts.emittedMicroseconds));
            }
        }
        if (m_history.isRecording()) {
            m_recordedTokens.emplace_back(text);
        }
    }

    void recordStall(Microseconds waited)
    {
        if (waited >= minRecordedStall && m_history.isRecording()) {
            const std::int64_t now = wallMicroseconds();
            m_recordedStalls.push_back(Json{ { "from", now - waited.count() }, { "until", now } });
        }
    }

    void call(std::uint32_t number)
    {
        const std::string body = "call " + std::to_string(m_callerNumber) + " " + std::to_string(number) + " seed "
            + std::to_string(m_plan.seed);
        const bool isKeyed = number % (2 * requestsPerCall) == 0;
        // A call with an idempotency key is sent twice, the second time to the next target of the plan, like the retry
        // of a caller whose first response was lost.
        for (std::uint32_t attempt = 0; attempt < (isKeyed ? 2U : 1U); ++attempt) {
            std::string verdict = "may_have_run";
            std::string requestId;
            int status = 0;
            try {
                const Endpoint &entry = target(number + attempt);
                Poco::Net::HTTPClientSession session(entry.address, entry.port);
                HTTPRequest request(HTTPRequest::HTTP_POST, m_plan.callPath, HTTPRequest::HTTP_1_1);
                if (isKeyed) {
                    request.set("Idempotency-Key", body);
                }
                post(session, request, body);
                HTTPResponse response;
                std::string responseBody;
                Poco::StreamCopier::copyToString(session.receiveResponse(response), responseBody);
                status = response.getStatus();
                requestId = response.get("X-Request-Id", "");
                verdict = response.get("X-Zinniadock-Verdict", verdict);
            } catch (const Poco::Exception &) {
                status = 0;
            }
            if (attempt == 0) {
                countResult(status == HTTPResponse::HTTP_OK ? "whole" : "refused", verdict);
            }
            m_history.record({ { "event", "call" },
                               { "request", requestId },
                               { "body", body },
                               { "keyed", isKeyed },
                               { "status", status },
                               { "verdict", verdict } });
        }
    }

    void countResult(const std::string &end, const std::string &verdict)
    {
        if (end == "whole") {
            ++m_results.whole;
        } else if (verdict == "not_run") {
            ++m_results.refused;
        } else if (m_receivedTokens > 0) {
            ++m_results.partial;
        } else {
            ++m_results.unknown;
        }
        m_results.wrongTokens += m_hasWrongToken ? 1 : 0;
        m_receivedTokens = 0;
    }

    const CallerPlan &m_plan;
    const std::uint32_t m_callerNumber;
    standin::History &m_history;
    CallerResults m_results;
    std::string m_promptHash;
    std::string m_generation;
    std::vector<std::string> m_recordedTokens;
    Json m_recordedStalls;
    std::size_t m_receivedTokens = 0;
    bool m_hasWrongToken = false;
    std::int64_t m_sentMicroseconds = 0;
    Clock::time_point m_lastTokenTime;
    Microseconds m_maxWait{ 0 };
};

} // namespace

void CallerResults::add(const CallerResults &other)
{
    requests += other.requests;
    whole += other.whole;
    partial += other.partial;
    refused += other.refused;
    unknown += other.unknown;
    wrongTokens += other.wrongTokens;
    tokens += other.tokens;
    firstToken.add(other.firstToken);
    gap.add(other.gap);
    maxWait.add(other.maxWait);
    requestLatency.add(other.requestLatency);
    tokenLatency.add(other.tokenLatency);
    pathLatency.add(other.pathLatency);
}

void CallerResults::report(Figures &figures, const std::string &prefix)
{
    figures.add(prefix + "requests", static_cast<double>(requests));
    figures.add(prefix + "whole", static_cast<double>(whole));
    figures.add(prefix + "partial", static_cast<double>(partial));
    figures.add(prefix + "refused", static_cast<double>(refused));
    figures.add(prefix + "unknown", static_cast<double>(unknown));
    figures.add(prefix + "wrong_tokens", static_cast<double>(wrongTokens));
    figures.add(prefix + "tokens_per_s", static_cast<double>(tokens) / std::max(seconds, 1e-9));
    figures.add(prefix + "first_token_p50_ms", firstToken.quantileMilliseconds(0.5));
    figures.add(prefix + "first_token_p95_ms", firstToken.quantileMilliseconds(0.95));
    figures.add(prefix + "first_token_p99_ms", firstToken.quantileMilliseconds(0.99));
    figures.add(prefix + "gap_p50_ms", gap.quantileMilliseconds(0.5));
    figures.add(prefix + "gap_p95_ms", gap.quantileMilliseconds(0.95));
    figures.add(prefix + "gap_p99_ms", gap.quantileMilliseconds(0.99));
    figures.add(prefix + "stall_p99_ms", maxWait.quantileMilliseconds(0.99));
    figures.add(prefix + "stall_max_ms", maxWait.quantileMilliseconds(1));
    if (tokenLatency.count() > 0) {
        figures.add(prefix + "request_way_p50_ms", requestLatency.quantileMilliseconds(0.5));
        figures.add(prefix + "request_way_p99_ms", requestLatency.quantileMilliseconds(0.99));
        figures.add(prefix + "token_way_p50_ms", tokenLatency.quantileMilliseconds(0.5));
        figures.add(prefix + "token_way_p99_ms", tokenLatency.quantileMilliseconds(0.99));
        figures.add(prefix + "path_p50_ms", pathLatency.quantileMilliseconds(0.5));
        figures.add(prefix + "path_p99_ms", pathLatency.quantileMilliseconds(0.99));
    }
}

CallerResults runCallers(const CallerPlan &plan, standin::History &history)
{
    std::mutex mutex;
    CallerResults total;
    std::vector<std::thread> threads;
    threads.reserve(plan.callers);
    const auto begin = Clock::now();
    for (std::uint32_t number = 0; number < plan.callers; ++number) {
        threads.emplace_back([&, number] {
            const CallerResults results = Caller(plan, number, history).run(begin);
            const std::lock_guard lock(mutex);
            total.add(results);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    total.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    return total;
}

} // namespace zinniadock::load
