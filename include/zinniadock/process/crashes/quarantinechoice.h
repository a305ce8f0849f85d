#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "zinniadock/process/crashes/crashreport.h"

namespace zinniadock
{

/// A run that ended in a crash, as it concerns one trait.
struct CrashedRun
{
    std::uint64_t crash = 0; ///< the same for all that is known of one crash
    std::uint64_t report = 0; ///< 0 if it is known from a conclusion of another entry only
    std::uint64_t id = 0; ///< of the run in its report
    std::size_t request = 0; ///< hash of the request ID
    std::size_t position = 0; ///< of the trait in the request
    SteadyTime begin;
    SteadyTime end;
};

/// What is known against one trait.
struct TraitEvidence
{
    RequestTrait trait = 0;
    std::vector<const CrashedRun *> runs; ///< since the last response, by end
    bool hadResponse = false; ///< a server has responded to a request with the trait before these runs
    bool isConcluded = false; ///< another entry has quarantined the trait because of such runs
};

/// How long a choice must hold before the trait is quarantined, since reports on the same crashes are still to come.
enum class Settling {
    None, ///< each crash was over when the next run began, or another entry has concluded it
    Short, ///< the trait is held back meanwhile
    Long, ///< others explain the crashes as well; the trait is not held back
};

/// A trait that explains crashes.
struct QuarantineChoice
{
    RequestTrait trait = 0;
    std::size_t crashes = 0; ///< that speak against the trait
    std::size_t position = 0; ///< of the trait in the requests
    Settling settling = Settling::Short;
};

/// When a server has crashed.
struct CrashTime
{
    std::uint64_t crash = 0;
    SteadyTime at;
};

/// Returns the number of crashes.
std::size_t countCrashes(const std::vector<const CrashedRun *> &runs);

/// Returns the number of runs that ended one after another. Attempts of one request always follow one another.
/// \pre runs are sorted by their end
std::size_t countSequential(const std::vector<const CrashedRun *> &runs);

/// Returns the traits that explain the crashes.
///
/// A trait is a candidate if \p minCrashes crashes speak against it. Of a trait that no server has ever responded to,
/// each crash counts, or each request that ended with one of at least two servers if there are several. Of one that had
/// responses before, only crashes one after another count, and two more are needed, since one event may end several
/// servers and with them frequent requests on each of them. Besides, the trait must explain as much as one whole event,
/// or two thirds of one if it never had a response: each of its crashes is divided by the number of servers that
/// crashed at the same time. So a request on one of many servers that are killed together is no candidate.
///
/// The trait that explains most crashes is chosen, then the one that explains most of the others, and so on. If two
/// explain the same number, one further crash is awaited, unless one of them only occurs in the same requests. A
/// trait whose crashes are all explained by others is chosen as well if it never had a response, and had at least
/// \p minCrashes crashes of as many requests without a chosen trait: more crashes, or all within \c outageTime. Sound
/// requests that come as often get a response.
///
/// A trait that another entry has concluded is chosen unless others explain its crashes.
///
/// \param crashes  all known crashes, by time
std::vector<QuarantineChoice> chooseQuarantines(const std::vector<TraitEvidence> &evidence,
                                                const std::vector<CrashTime> &crashes, std::size_t minCrashes);

} // namespace zinniadock
