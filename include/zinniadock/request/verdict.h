#pragma once

#include <cstdint>
#include <string_view>

namespace zinniadock
{

/// Says whether a request may have run on a backend server.
enum class Verdict : std::uint8_t {
    NotRun, ///< proven not to have run, and never will
    MayHaveRun, ///< unknown
    Ran, ///< known to have run
};

/// Returns the stronger of two verdicts; a verdict only ever moves up.
constexpr Verdict strongerVerdict(Verdict current, Verdict evidence)
{
    return current < evidence ? evidence : current;
}

/// Returns the name used in answers and logs: `not_run`, `may_have_run` or `ran`.
std::string_view toString(Verdict verdict);

/// Parses the result of toString(); an unknown name is MayHaveRun.
Verdict parseVerdict(std::string_view name);

} // namespace zinniadock
