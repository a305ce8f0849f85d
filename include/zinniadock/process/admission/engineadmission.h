#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "zinniadock/process/admission/coldadmission.h"
#include "zinniadock/process/servers/serverdirectory.h"

namespace zinniadock
{

/// Asks the sidecar of an engine to admit a new generation, or one that moves to the engine with its KV cache.
struct AdmissionQuery
{
    std::string request;
    std::uint32_t promptTokens = 0;
    std::uint32_t heldTokens = 0; ///< memory that a moved generation already holds; 0 for a new one
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    std::uint32_t maxTokens = 0; ///< upper bound of prompt and output together; 0 if unknown
    std::uint32_t slots = 0; ///< maximum number of concurrent generations on the engine; 0 for no limit
    double usableFraction = 1; ///< fraction of the engine's memory that may be committed, including this work
    /// Fraction of the engine's memory that a forecast until the end of this work may reach. A new generation is also
    /// admitted if it exceeds usableFraction, but not this fraction; 0 for no forecast.
    double forecastFraction = 0;
    /// A new generation is refused if the engine has more unread prompt tokens than this.
    std::uint32_t maxWaitingTokens = 0;
    ColdState cold; ///< of the engine, as the entry knows it
    std::chrono::milliseconds reservationDuration{ 0 }; ///< how long the engine reserves slot and memory; 0 for none
};

/// A sidecar's response to an AdmissionQuery.
struct AdmissionResponse
{
    bool admitted = false;
    std::string reason; ///< why the work is refused
    std::string reservationId; ///< handle of the reservation at the engine; empty without a reservation
    double committedTokens = 0; ///< memory in use, admitted or expected to be needed, before this query
    double waitingTokens = 0; ///< prompt tokens that the engine has not read yet
};

/// Returns the tokens that an output is expected to add to the memory that its generation holds. The growth is at least
/// a share of the current output length, so an output that exceeds its estimate is expected to grow further. It is
/// limited by \p maxTokens, unless that is 0.
double expectedGrowth(double promptTokens, double heldTokens, double expectedTokens, double maxTokens);

/// Returns the memory to reserve for the work of a query, in tokens.
double neededTokens(const AdmissionQuery &query);

/// Controls admission to one engine. Runs in the sidecar of the engine.
///
/// Many entries choose engines by load reports that are slightly stale. Without admission control they would choose the
/// same empty engine, and their prompts would queue there while other engines are idle. Each entry sends a query to the
/// sidecar first. The sidecar counts the work of earlier queries, even before a report of the engine includes it.
class EngineAdmission
{
public:
    /// Applies a load report of the engine.
    void update(const EngineLoad &load, SteadyTime now);

    /// Decides on a query. Admitted work counts as committed from then on. Complexity: linear in the work of the
    /// engine.
    AdmissionResponse admit(const AdmissionQuery &query, SteadyTime now);

    /// Refuses all work until \p until, since the engine has requested a pause.
    void pause(SteadyTime until);

    /// Applies the time for which the engine is cold, as it states it in a response.
    void observeCold(std::chrono::milliseconds left, SteadyTime now);

    /// Returns whether the engine is cold and limits its requests.
    bool isCold(SteadyTime now) const;

    /// Returns the number of queries that were refused since the engine is cold.
    std::uint64_t coldRefusals() const;

    /// Removes admitted work that will not arrive at the engine.
    void cancel(const std::string &request);

    /// Returns the memory that is in use, admitted or expected to be needed, in tokens.
    double committedTokens() const;

    /// Returns the prompt tokens that the engine has not read yet.
    double waitingTokens() const;

private:
    /// Work that was admitted here and has not ended.
    struct AdmittedWork
    {
        AdmissionQuery query;
        SteadyTime admittedAt;
        std::uint32_t tokens = 0; ///< tokens in the engine's memory in the last load report; 0 if not listed
        bool isRunning = false; ///< the engine lists the generation, so its prompt has been read
    };

    bool fitsMemory(const AdmissionQuery &query) const;
    double forecastTokens(const AdmissionQuery &query) const;
    std::size_t unreadPromptCount() const;
    void removeStaleWork(SteadyTime now);
    bool isInReport(const AdmittedWork &work) const;

    EngineLoad m_load;
    SteadyTime m_loadReceivedAt;
    SteadyTime m_pausedUntil;
    ColdAdmission m_cold;
    std::uint64_t m_coldRefusals = 0;
    std::map<std::string, AdmittedWork> m_work; ///< by request
};

} // namespace zinniadock
