#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadock/detail/fieldtable.h"
#include "zinniadock/version/inidocument.h"

namespace zinniadock
{

/// A model that the engines of backend servers run.
struct Model
{
    double expectedTokens = 400; ///< mean output length, assumed until outputs have been measured
    std::uint32_t maxTokens = 32768; ///< maximum output length of one generation
};

/// One published version of a model.
struct ModelVersion
{
    std::string model;
    std::string weights; ///< name of the weights in the weight store
};

/// A backend server. Entries reach it through its sidecar.
struct BackendServer
{
    Endpoint address; ///< address on which the sidecar listens
    std::string dataCentre;
};

/// Backend servers that serve the same model version or the same plain service.
struct Pool
{
    std::vector<std::string> servers;
    std::string version; ///< name of the model version; empty for a plain service
};

/// A target of requests: the generations of a model, or a plain service under a path prefix.
struct Route
{
    std::string pool;
    std::string path; ///< path prefix of a plain service; empty for a route of generations
    bool idempotent = false; ///< calls may run more than once
    /// Maximum time until the first token of a generation, or until the complete response of a call.
    std::chrono::milliseconds deadline{ 30000 };
    std::uint32_t priority = 0; ///< requests with a higher priority are served first
};

/// A client account and its limits.
struct Account
{
    std::string keyDigest; ///< SHA-256 of the key in hexadecimal
    double requestsPerSecond = 100; ///< maximum rate over the fleet
    std::uint32_t maxConcurrentRequests = 100; ///< requests in flight over the fleet
    double share = 1; ///< weight in fair sharing between client accounts
    std::vector<std::string> routes; ///< routes that the client account may use; empty allows all
};

/// Tradeoffs that an operator sets for a deployment.
struct Policy
{
    double weightStall = 1; ///< weight of avoiding stalls in memoryRisk()
    double weightPreemption = 1; ///< weight of avoiding preemptions in memoryRisk()
    std::chrono::milliseconds maxWait{ 2000 }; ///< a request with a longer expected wait is refused
    double retryBudget = 0.1; ///< number of retries that each sent request adds to the retry budget

    /// Returns the upper bound of the probability that running generations exceed the memory of an engine. The bound is
    /// half the share of weightStall in the sum of both weights, limited to the range from 0.001 to 0.45: a deployment
    /// that gives stalls more weight accepts a higher risk of preemptions. If both weights are 0, they count as equal.
    double memoryRisk() const;
};

/// All named objects that operators configure, by kind and name.
struct Configuration
{
    std::map<std::string, Model> models;
    std::map<std::string, ModelVersion> versions;
    std::map<std::string, BackendServer> servers;
    std::map<std::string, Pool> pools;
    std::map<std::string, Route> routes;
    std::map<std::string, Account> accounts;
    std::map<std::string, Policy> policies;
};

/// Parses a configuration from INI text. Appends every syntax error and every invalid value to \p problems.
Configuration parseConfiguration(const std::string &text, const std::string &file, Problems &problems);

/// Checks the objects of a configuration against each other: references, kinds of pools and duplicates. Appends every
/// error to \p problems.
void checkConfiguration(const Configuration &configuration, const std::string &file, Problems &problems);

/// Returns \p base with the objects of \p changed added or replaced, and then the objects in \p removed deleted.
/// \param removed  headings of objects, each `kind name`
Configuration updateObjects(Configuration base, const Configuration &changed, const std::vector<std::string> &removed);

/// Returns the canonical text of a configuration. Equal configurations have the same bytes.
std::string formatConfiguration(const Configuration &configuration);

/// Returns the SHA-256 of a text in hexadecimal.
std::string sha256(std::string_view text);

/// Returns the reference of the keys of every section as Markdown.
std::string configurationReference();

} // namespace zinniadock
