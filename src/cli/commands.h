#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/process/exitcode.h"

namespace zinniadock::cli
{

/// Options of the command line that several commands share.
struct Options
{
    Endpoint store;
    std::string prefix;
    std::vector<Endpoint> admins;
    std::string adminKey;
    std::string author;
    bool json = false;
};

/// Options of `apply`, `check` and `diff`.
struct ChangeOptions
{
    bool partial = false; ///< the files hold single objects, not the whole set
    std::vector<std::string> removed; ///< `kind:name`
    bool wait = false;
    std::chrono::milliseconds waitTimeout{ 11000 };
};

/// Options of `ask`.
struct AskOptions
{
    Endpoint entry;
    std::string key;
    std::string route;
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::uint32_t maxTokens = 0;
    bool quiet = false;
};

/// Options of `timeline`.
struct TimelineOptions
{
    std::string request; ///< empty for all
    std::string instance; ///< only events of or about it; empty for all
    std::chrono::seconds since{ 0 }; ///< before now; 0 for all that is kept
    std::string page; ///< file for a page, in place of text
};

ExitCode checkFiles(const Options &options, const std::vector<std::string> &files);
ExitCode applyFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files);
ExitCode diffFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files);
ExitCode showConfiguration(const Options &options);
ExitCode showHistory(const Options &options);
ExitCode revertTo(const Options &options, const ChangeOptions &change, const std::string &revision);
/// \param watch  shows it again every second until interrupted
ExitCode showStatus(const Options &options, bool watch);
ExitCode drainInstances(const Options &options);
ExitCode showTimeline(const Options &options, const TimelineOptions &question);
ExitCode explainRequest(const Options &options, const std::string &request);
ExitCode ask(const AskOptions &options, const std::string &prompt);

/// An answer of an instance's operators' interface; nothing if it does not answer.
std::optional<std::string> adminCall(const Options &options, const Endpoint &instance, const std::string &method,
                                     const std::string &path);

} // namespace zinniadock::cli
