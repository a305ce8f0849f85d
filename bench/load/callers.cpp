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

constexpr int silenceSeconds = 60;
constexpr std::string_view textField = "\"text\":\"";
constexpr std::uint32_t callEvery = 8;

// Waits of at least this long are written into the history, each with its begin and end.
constexpr Microseconds recordedStall{ 200000 };

Microseconds since(Clock::time_point begin)
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - begin);
}

// Stamps of engines are on the wall clock of this machine, since they cross processes.
std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::uint64_t fnv(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return hash;
}

std::string markOf(const std::string &prompt)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = fnv(prompt);
    std::string mark;
    for (int i = 0; i < 8; ++i, hash >>= 4U) {
        mark += digits[hash & 0xFU];
    }
    return mark;
}

/// The parts of a token `MARK:generation:index[@emitted[@arrived]] `.
struct TokenParts
{
    std::string_view mark;
    std::string_view generation;
    std::uint64_t index = 0;
    std::int64_t emitted = 0;
    std::int64_t arrived = 0;
};

template <typename Number>
Number numberAt(std::string_view text)
{
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

TokenParts split(std::string_view text)
{
    TokenParts parts;
    const std::size_t first = text.find(':');
    const std::size_t second = text.find(':', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos) {
        return parts;
    }
    parts.mark = text.substr(0, first);
    parts.generation = text.substr(first + 1, second - first - 1);
    parts.index = numberAt<std::uint64_t>(text.substr(second + 1));
    const std::size_t emitted = text.find('@', second);
    if (emitted != std::string_view::npos) {
        parts.emitted = numberAt<std::int64_t>(text.substr(emitted + 1));
        const std::size_t arrived = text.find('@', emitted + 1);
        parts.arrived = arrived == std::string_view::npos ? 0 : numberAt<std::int64_t>(text.substr(arrived + 1));
    }
    return parts;
}

/// One caller with one request at a time.
class Caller
{
public:
    Caller(const CallerPlan &plan, std::uint32_t number, standin::History &history)
        : m_plan(plan)
        , m_number(number)
        , m_history(history)
    {
    }

    CallerResults run(Clock::time_point begin)
    {
        if (m_plan.callers > 1) {
            std::this_thread::sleep_until(begin + m_plan.ramp * m_number / m_plan.callers);
        }
        const bool timed = m_plan.duration.count() > 0;
        for (std::uint32_t i = 0; timed ? Clock::now() < begin + m_plan.duration : i < m_plan.requests; ++i) {
            ++m_results.requests;
            const bool isCall = !m_plan.callPath.empty() && i % callEvery == 0;
            isCall ? call(i) : generate(i);
        }
        return m_results;
    }

private:
    const Endpoint &target(std::uint32_t request) const
    {
        return m_plan.targets[(m_number + request) % m_plan.targets.size()];
    }

    void post(Poco::Net::HTTPClientSession &session, HTTPRequest &request, const std::string &body) const
    {
        session.setTimeout(Poco::Timespan(silenceSeconds, 0));
        request.set("Authorization", "Bearer " + m_plan.key);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        std::ostream &out = session.sendRequest(request);
        session.socket().setNoDelay(true);
        out << body << std::flush;
    }

    void generate(std::uint32_t number)
    {
        std::string prompt = "caller " + std::to_string(m_number) + " request " + std::to_string(number) + " seed "
            + std::to_string(m_plan.seed);
        prompt += m_plan.tokens > 0 ? " [tokens=" + std::to_string(m_plan.tokens) + "]" : "";
        prompt.resize(std::max<std::size_t>(prompt.size(), m_plan.promptBytes), '.');
        const std::string body = Json{ { "model", m_plan.route }, { "prompt", prompt }, { "stream", true } }.dump();
        m_mark = markOf(prompt);
        m_tokens.clear();
        m_stalls = Json::array();
        m_wrong = false;
        const auto begin = Clock::now();
        m_last = begin;
        m_longest = Microseconds(0);
        m_sentAt = wallMicroseconds();
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
                end = read(stream, begin);
            }
        } catch (const Poco::Exception &) {
            end = "broken";
        }
        m_results.stall.add(std::max(m_longest, since(m_last)));
        noteStall(since(m_last));
        count(end, verdict);
        m_history.record({ { "event", "answer" },
                           { "request", requestId },
                           { "mark", m_mark },
                           { "end", end },
                           { "verdict", verdict },
                           { "tokens", m_tokens },
                           { "stalls", m_stalls } });
    }

    std::string read(std::istream &stream, Clock::time_point begin)
    {
        for (std::string line; std::getline(stream, line);) {
            if (line.starts_with("data: [DONE]")) {
                return "whole";
            }
            if (line.starts_with("event: error")) {
                return "error";
            }
            const std::size_t field = line.find(textField);
            if (!line.starts_with("data: ") || field == std::string::npos) {
                continue;
            }
            const std::size_t start = field + textField.size();
            const std::string_view text = std::string_view(line).substr(start, line.find('"', start) - start);
            if (!text.empty()) {
                take(text, begin);
            }
        }
        return "broken";
    }

    void take(std::string_view text, Clock::time_point begin)
    {
        const TokenParts parts = split(text);
        const std::size_t index = m_shown++;
        if (index == 0) {
            m_generation = parts.generation;
        }
        m_wrong = m_wrong || parts.mark != m_mark || parts.generation != m_generation || parts.index != index;
        const auto now = Clock::now();
        const auto waited = std::chrono::duration_cast<Microseconds>(now - m_last);
        m_longest = std::max(m_longest, waited);
        noteStall(waited);
        m_last = now;
        ++m_results.tokens;
        (index == 0 ? m_results.firstToken : m_results.gap).add(index == 0 ? since(begin) : waited);
        if (parts.emitted > 0) {
            const std::int64_t wall = wallMicroseconds();
            m_results.tokenWay.add(Microseconds(wall - parts.emitted));
            if (parts.arrived > 0) {
                m_results.requestWay.add(Microseconds(parts.arrived - m_sentAt));
                m_results.addedPath.add(Microseconds(parts.arrived - m_sentAt + wall - parts.emitted));
            }
        }
        if (m_history.isRecording()) {
            m_tokens.emplace_back(text);
        }
    }

    void noteStall(Microseconds waited)
    {
        if (waited >= recordedStall && m_history.isRecording()) {
            const std::int64_t now = wallMicroseconds();
            m_stalls.push_back(Json{ { "from", now - waited.count() }, { "until", now } });
        }
    }

    void call(std::uint32_t number)
    {
        const std::string body = "call " + std::to_string(m_number) + " " + std::to_string(number) + " seed "
            + std::to_string(m_plan.seed);
        const bool keyed = number % (2 * callEvery) == 0;
        // A keyed call is sent again through the next entry, as a caller does that did not hear the answer.
        for (std::uint32_t attempt = 0; attempt < (keyed ? 2U : 1U); ++attempt) {
            std::string verdict = "may_have_run";
            std::string requestId;
            int status = 0;
            try {
                const Endpoint &entry = target(number + attempt);
                Poco::Net::HTTPClientSession session(entry.address, entry.port);
                HTTPRequest request(HTTPRequest::HTTP_POST, m_plan.callPath, HTTPRequest::HTTP_1_1);
                if (keyed) {
                    request.set("Idempotency-Key", body);
                }
                post(session, request, body);
                HTTPResponse response;
                std::string answer;
                Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
                status = response.getStatus();
                requestId = response.get("X-Request-Id", "");
                verdict = response.get("X-Zinniadock-Verdict", verdict);
            } catch (const Poco::Exception &) {
                status = 0;
            }
            if (attempt == 0) {
                count(status == HTTPResponse::HTTP_OK ? "whole" : "refused", verdict);
            }
            m_history.record({ { "event", "call" },
                               { "request", requestId },
                               { "body", body },
                               { "keyed", keyed },
                               { "status", status },
                               { "verdict", verdict } });
        }
    }

    void count(const std::string &end, const std::string &verdict)
    {
        if (end == "whole") {
            ++m_results.whole;
        } else if (verdict == "not_run") {
            ++m_results.refused;
        } else if (m_shown > 0) {
            ++m_results.partial;
        } else {
            ++m_results.unknown;
        }
        m_results.wrongTokens += m_wrong ? 1 : 0;
        m_shown = 0;
    }

    const CallerPlan &m_plan;
    const std::uint32_t m_number;
    standin::History &m_history;
    CallerResults m_results;
    std::string m_mark;
    std::string m_generation;
    std::vector<std::string> m_tokens;
    Json m_stalls;
    std::size_t m_shown = 0;
    bool m_wrong = false;
    std::int64_t m_sentAt = 0;
    Clock::time_point m_last;
    Microseconds m_longest{ 0 };
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
    stall.add(other.stall);
    requestWay.add(other.requestWay);
    tokenWay.add(other.tokenWay);
    addedPath.add(other.addedPath);
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
    figures.add(prefix + "first_token_p50_ms", firstToken.milliseconds(0.5));
    figures.add(prefix + "first_token_p95_ms", firstToken.milliseconds(0.95));
    figures.add(prefix + "first_token_p99_ms", firstToken.milliseconds(0.99));
    figures.add(prefix + "gap_p50_ms", gap.milliseconds(0.5));
    figures.add(prefix + "gap_p95_ms", gap.milliseconds(0.95));
    figures.add(prefix + "gap_p99_ms", gap.milliseconds(0.99));
    figures.add(prefix + "stall_p99_ms", stall.milliseconds(0.99));
    figures.add(prefix + "stall_max_ms", stall.milliseconds(1));
    if (tokenWay.count() > 0) {
        figures.add(prefix + "request_way_p50_ms", requestWay.milliseconds(0.5));
        figures.add(prefix + "request_way_p99_ms", requestWay.milliseconds(0.99));
        figures.add(prefix + "token_way_p50_ms", tokenWay.milliseconds(0.5));
        figures.add(prefix + "token_way_p99_ms", tokenWay.milliseconds(0.99));
        figures.add(prefix + "path_p50_ms", addedPath.milliseconds(0.5));
        figures.add(prefix + "path_p99_ms", addedPath.milliseconds(0.99));
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
