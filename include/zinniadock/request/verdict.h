#pragma once

#include <cstdint>
#include <string_view>

namespace zinniadock
{

/// Whether a request ran on a backend server.
enum class Verdict : std::uint8_t {
    NotRun, ///< proven not to have run and never to run
    MayHaveRun, ///< not known whether it ran
    Ran, ///< known to have run
};

/// Returns the stronger of two verdicts. A request's verdict never becomes weaker: NotRun < MayHaveRun < Ran.
constexpr Verdict strongerVerdict(Verdict current, Verdict evidence)
{
    return current < evidence ? evidence : current;
}

/// Returns the name of a verdict in responses and logs: `not_run`, `may_have_run` or `ran`.
std::string_view toString(Verdict verdict);

/// Parses the result of toString(). Returns MayHaveRun for an unknown name.
Verdict parseVerdict(std::string_view name);

} // namespace zinniadock
