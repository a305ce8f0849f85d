#include "faultstalls.h"

#include <algorithm>

namespace zinniadock::load
{

namespace
{

constexpr std::int64_t afterEffectMicroseconds = 5000000;

// A stall begins with the token before the fault, so its fault begins a little later.
constexpr std::int64_t beforeFaultMicroseconds = 100000;

} // namespace

void FaultStalls::add(const nlohmann::json &event)
{
    if (const auto fault = readFault(event)) {
        m_faults.push_back(*fault);
    } else if (event.value("event", std::string()) == "answer") {
        for (const nlohmann::json &stall : event.value("stalls", nlohmann::json::array())) {
            m_stalls.push_back(
                { .from = stall.value("from", std::int64_t()), .until = stall.value("until", std::int64_t()) });
        }
    }
}

void FaultStalls::report(Figures &figures) const
{
    std::map<const InjectedFault *, Effect> effects;
    for (const InjectedFault &fault : m_faults) {
        effects[&fault] = {};
    }
    Microseconds unexplained{ 0 };
    for (const Stall &stall : m_stalls) {
        const Microseconds length(stall.until - stall.from);
        const InjectedFault *cause = causeOf(stall);
        if (cause == nullptr) {
            unexplained = std::max(unexplained, length);
            continue;
        }
        Effect &effect = effects[cause];
        effect.stall = std::max(effect.stall, length);
        effect.alone = metOthers(stall, *cause) ? effect.alone : std::max(effect.alone, length);
        effect.recovery = std::max(effect.recovery, Microseconds(stall.until - cause->until));
    }
    std::map<std::string, DurationSamples> stalls;
    std::map<std::string, DurationSamples> recoveries;
    std::map<std::string, DurationSamples> alone;
    for (const auto &[fault, effect] : effects) {
        stalls[fault->kind].add(effect.stall);
        recoveries[fault->kind].add(effect.recovery);
        alone[fault->kind].add(effect.alone);
    }
    for (auto &[kind, samples] : stalls) {
        figures.add("faults_" + kind, static_cast<double>(samples.count()));
        figures.add("stall_" + kind + "_p50_ms", samples.quantileMilliseconds(0.5));
        figures.add("stall_" + kind + "_max_ms", samples.quantileMilliseconds(1));
        figures.add("stall_" + kind + "_alone_max_ms", alone[kind].quantileMilliseconds(1));
        figures.add("recovery_" + kind + "_max_ms", recoveries[kind].quantileMilliseconds(1));
    }
    figures.add("stall_no_fault_max_ms", static_cast<double>(unexplained.count()) / 1000);
}

std::string FaultStalls::longest() const
{
    const auto stall = std::max_element(m_stalls.begin(), m_stalls.end(), [](const Stall &a, const Stall &b) {
        return a.until - a.from < b.until - b.from;
    });
    if (stall == m_stalls.end()) {
        return {};
    }
    const InjectedFault *cause = causeOf(*stall);
    return "the longest stall lasted " + std::to_string((stall->until - stall->from) / 1000) + " ms, "
        + (cause == nullptr ? "with no fault before it" : "after " + cause->kind + " of " + cause->target);
}

// A fault of the same server, or of an entry, that was under way during a stall adds to it.
bool FaultStalls::metOthers(const Stall &stall, const InjectedFault &cause) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const InjectedFault &fault) {
        const bool related = fault.server() == cause.server() || fault.target.starts_with("entry-");
        return &fault != &cause && related && fault.from <= stall.until
            && fault.until + beforeFaultMicroseconds >= stall.from;
    });
}

const InjectedFault *FaultStalls::causeOf(const Stall &stall) const
{
    const InjectedFault *before = nullptr;
    const InjectedFault *during = nullptr;
    for (const InjectedFault &fault : m_faults) {
        const bool beganBefore = fault.from <= stall.from + beforeFaultMicroseconds;
        if (beganBefore && fault.until + afterEffectMicroseconds >= stall.from
            && (before == nullptr || fault.from > before->from)) {
            before = &fault;
        }
        if (!beganBefore && fault.from <= stall.until && (during == nullptr || fault.from < during->from)) {
            during = &fault;
        }
    }
    return before != nullptr ? before : during;
}

} // namespace zinniadock::load
