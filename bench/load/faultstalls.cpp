#include "faultstalls.h"

#include <algorithm>

namespace zinniadock::load
{

namespace
{

// Maximum time from the end of a fault to the begin of a stall that is attributed to the fault.
constexpr std::int64_t maxAfterEffectMicroseconds = 5000000;

// A fault that begins up to this much later than a stall counts as begun before the stall, because a stall is measured
// from the last token before the fault.
constexpr std::int64_t maxStallLeadMicroseconds = 100000;

} // namespace

void StallAttribution::add(const nlohmann::json &event)
{
    if (const auto fault = parseFault(event)) {
        m_faults.push_back(*fault);
    } else if (event.value("event", std::string()) == "answer") {
        for (const nlohmann::json &stall : event.value("stalls", nlohmann::json::array())) {
            m_stalls.push_back(
                { .from = stall.value("from", std::int64_t()), .until = stall.value("until", std::int64_t()) });
        }
    }
}

void StallAttribution::report(Figures &figures) const
{
    std::map<const InjectedFault *, FaultImpact> impacts;
    for (const InjectedFault &fault : m_faults) {
        impacts[&fault] = {};
    }
    Microseconds maxUnattributedStall{ 0 };
    for (const Stall &stall : m_stalls) {
        const Microseconds length(stall.until - stall.from);
        const InjectedFault *cause = findCause(stall);
        if (cause == nullptr) {
            maxUnattributedStall = std::max(maxUnattributedStall, length);
            continue;
        }
        FaultImpact &impact = impacts[cause];
        impact.maxStall = std::max(impact.maxStall, length);
        impact.maxIsolatedStall
            = overlapsOtherFault(stall, *cause) ? impact.maxIsolatedStall : std::max(impact.maxIsolatedStall, length);
        impact.maxRecovery = std::max(impact.maxRecovery, Microseconds(stall.until - cause->until));
    }
    std::map<std::string, DurationSamples> stalls;
    std::map<std::string, DurationSamples> recoveries;
    std::map<std::string, DurationSamples> isolatedStalls;
    for (const auto &[fault, impact] : impacts) {
        stalls[fault->kind].add(impact.maxStall);
        recoveries[fault->kind].add(impact.maxRecovery);
        isolatedStalls[fault->kind].add(impact.maxIsolatedStall);
    }
    for (auto &[kind, samples] : stalls) {
        figures.add("faults_" + kind, static_cast<double>(samples.count()));
        figures.add("stall_" + kind + "_p50_ms", samples.quantileMilliseconds(0.5));
        figures.add("stall_" + kind + "_max_ms", samples.quantileMilliseconds(1));
        figures.add("stall_" + kind + "_alone_max_ms", isolatedStalls[kind].quantileMilliseconds(1));
        figures.add("recovery_" + kind + "_max_ms", recoveries[kind].quantileMilliseconds(1));
    }
    figures.add("stall_no_fault_max_ms", static_cast<double>(maxUnattributedStall.count()) / 1000);
}

std::string StallAttribution::describeMaxStall() const
{
    const auto stall = std::max_element(m_stalls.begin(), m_stalls.end(), [](const Stall &a, const Stall &b) {
        return a.until - a.from < b.until - b.from;
    });
    if (stall == m_stalls.end()) {
        return {};
    }
    const InjectedFault *cause = findCause(*stall);
    return "the longest stall lasted " + std::to_string((stall->until - stall->from) / 1000) + " ms, "
        + (cause == nullptr ? "with no fault before it" : "after " + cause->kind + " of " + cause->target);
}

// Returns whether another fault of the same server or of any entry was active during a stall and may have lengthened
// the stall.
bool StallAttribution::overlapsOtherFault(const Stall &stall, const InjectedFault &cause) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const InjectedFault &fault) {
        const bool related = fault.server() == cause.server() || fault.target.starts_with("entry-");
        return &fault != &cause && related && fault.from <= stall.until
            && fault.until + maxStallLeadMicroseconds >= stall.from;
    });
}

const InjectedFault *StallAttribution::findCause(const Stall &stall) const
{
    const InjectedFault *latestBefore = nullptr;
    const InjectedFault *firstDuring = nullptr;
    for (const InjectedFault &fault : m_faults) {
        const bool beganBefore = fault.from <= stall.from + maxStallLeadMicroseconds;
        if (beganBefore && fault.until + maxAfterEffectMicroseconds >= stall.from
            && (latestBefore == nullptr || fault.from > latestBefore->from)) {
            latestBefore = &fault;
        }
        if (!beganBefore && fault.from <= stall.until && (firstDuring == nullptr || fault.from < firstDuring->from)) {
            firstDuring = &fault;
        }
    }
    return latestBefore != nullptr ? latestBefore : firstDuring;
}

} // namespace zinniadock::load
