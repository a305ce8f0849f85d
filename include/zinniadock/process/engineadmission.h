#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "zinniadock/process/serverdirectory.h"

namespace zinniadock
{

/// Asks the sidecar of an engine to admit a new generation, or a run that moves in with its memory.
struct AdmissionQuery
{
    std::string request;
    std::uint32_t promptTokens = 0;
    std::uint32_t heldTokens = 0; ///< memory that a run brings with it; 0 for a new generation
    std::uint32_t expectedTokens = 0; ///< prompt and output together
    std::uint32_t maxTokens = 0; ///< the longest that they can become; 0 where unknown
    std::uint32_t slots = 0; ///< generations that the engine runs at one time; 0 for any number
    double usableFraction = 1; ///< share of the engine's memory that may be filled, with what is still to come
    std::uint32_t maxWaitingTokens = 0; ///< of prompts that the engine may have to read first
    std::chrono::milliseconds reservationDuration{ 0 }; ///< how long to keep slot and memory; 0 for no reservation
};

/// A sidecar's answer to an AdmissionQuery.
struct AdmissionAnswer
{
    bool admitted = false;
    std::string reason; ///< why it is refused
    std::string reservationId; ///< at the engine; empty for none
    double committedTokens = 0;
    double waitingTokens = 0; ///< of prompts
};

/// Memory that outputs are expected to add to what their runs hold, in tokens. An output that has outgrown its estimate
/// is expected to go on for a part of what it has.
double expectedGrowth(double promptTokens, double heldTokens, double expectedTokens, double maxTokens);

/// Returns the memory to keep for work that asks, in tokens.
double neededTokens(const AdmissionQuery &query);

/// Admits work to one engine, beside which it stands.
///
/// Answers the pattern of many entries that choose by reports which are all a little old: each sees the same engine
/// empty, and their prompts queue there while others idle. Since each asks here first, the second one is told of the
/// first, before any report could show it.
class EngineAdmission
{
public:
    /// Takes the engine's own report.
    void update(const EngineLoad &load, SteadyTime now);

    /// Decides, and counts what it admits from now on. Complexity: linear in the work of the engine.
    AdmissionAnswer admit(const AdmissionQuery &query, SteadyTime now);

    /// Admits nothing until then, since the engine has asked for a pause.
    void pause(SteadyTime until);

    /// Forgets work that will not come.
    void cancel(const std::string &request);

    /// Returns the memory that is taken, promised or expected to be taken, in tokens.
    double committedTokens() const;

    /// Returns the prompt tokens that the engine has still to read.
    double waitingTokens() const;

private:
    /// Work that was admitted here and has not ended.
    struct Admitted
    {
        AdmissionQuery query;
        SteadyTime since;
        std::uint32_t tokens = 0; ///< in the engine's memory
        bool runs = false; ///< the engine lists it: its prompt is read
    };

    std::size_t unread() const;
    void dropStale(SteadyTime now);
    bool isInReport(const Admitted &work) const;

    EngineLoad m_load;
    SteadyTime m_loadAt;
    SteadyTime m_pausedUntil;
    std::map<std::string, Admitted> m_work; ///< by request
};

} // namespace zinniadock
