#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/process/exitcode.h"

namespace zinniadock::cli
{

/// Options that several commands share.
struct Options
{
    Endpoint store; ///< key-value service of the platform
    std::string prefix; ///< prefix of the keys of the deployment in the store
    std::vector<Endpoint> admins; ///< admin interface of each instance
    std::string adminKey; ///< key of the admin interface; empty for none
    std::string author; ///< author of a change, for the history
    bool json = false; ///< print JSON in place of text
};

/// Options of `apply`, `check` and `diff`.
struct ChangeOptions
{
    bool partial = false; ///< the files hold single objects to add or replace, not the complete configuration
    std::vector<std::string> removed; ///< objects to remove, each `kind:name`
    bool wait = false; ///< wait until every instance of --admin reports the new revision
    std::chrono::milliseconds waitTimeout{ 11000 };
};

/// Options of `ask`.
struct AskOptions
{
    Endpoint entry;
    std::string key; ///< key of a client account
    std::string route; ///< route of a generation; empty for a call
    std::string idempotencyKey; ///< key under which a call runs at most once; empty for none
    std::string method; ///< HTTP method of a call
    std::string path; ///< path of a call to a plain service; empty for a generation
    std::uint32_t maxTokens = 0; ///< maximum output length; 0 for the limit of the model
    bool quiet = false; ///< do not print the output of a generation
};

/// Options of `timeline`.
struct TimelineOptions
{
    std::string request; ///< id of a request; empty for all requests
    std::string instance; ///< only events of this instance or about it; empty for all instances
    std::chrono::seconds since{ 0 }; ///< maximum age of the events; 0 for all recorded events
    std::string htmlFile; ///< file to write an HTML page to; empty to print text
};

ExitCode checkFiles(const Options &options, const std::vector<std::string> &files);
ExitCode applyFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files);
ExitCode diffFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files);
ExitCode showConfiguration(const Options &options);
ExitCode showHistory(const Options &options);
ExitCode revertToRevision(const Options &options, const ChangeOptions &change, const std::string &revision);
/// \param watch  repeats the output every second until interrupted
ExitCode showStatus(const Options &options, bool watch);
ExitCode drainInstances(const Options &options);
ExitCode showTimeline(const Options &options, const TimelineOptions &timelineOptions);
ExitCode explainRequest(const Options &options, const std::string &request);
/// \param input  prompt of a generation, or body of a call
ExitCode ask(const AskOptions &options, const std::string &input);

/// Calls the admin interface of an instance and returns the body of the response. Returns nothing if the call
/// fails or the status is not 200.
std::optional<std::string> callAdmin(const Options &options, const Endpoint &instance, const std::string &method,
                                     const std::string &path);

} // namespace zinniadock::cli
