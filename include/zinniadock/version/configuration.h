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

/// A model that engines run.
struct Model
{
    double expectedTokens = 400; ///< mean output length assumed before any has been seen
    std::uint32_t maxTokens = 32768; ///< longest output of one generation
};

/// One published version of a model.
struct ModelVersion
{
    std::string model;
    std::string weights; ///< name in the weight store
};

/// A backend server, reached through the sidecar beside it.
struct BackendServer
{
    Endpoint address; ///< where its sidecar listens
    std::string dataCentre;
};

/// Backend servers that serve the same version, or the same plain service.
struct Pool
{
    std::vector<std::string> servers;
    std::string version; ///< empty for a plain service
};

/// What callers may ask for.
struct Route
{
    std::string pool;
    std::string path; ///< path prefix of a plain service; empty for generations
    bool idempotent = false; ///< calls may be repeated
    std::chrono::milliseconds deadline{ 30000 }; ///< until the first token, or the whole answer of a call
    std::uint32_t priority = 0; ///< higher goes first
};

/// A client account and its limits.
struct Account
{
    std::string keyDigest; ///< SHA-256 of the key, hexadecimal
    double requestsPerSecond = 100;
    std::uint32_t maxConcurrentRequests = 100; ///< requests at one time, over the fleet
    double share = 1; ///< weight in fair sharing
    std::vector<std::string> routes; ///< empty allows all
};

/// How a deployment weighs its measures.
struct Policy
{
    double weightStall = 1;
    double weightPreemption = 1;
    std::chrono::milliseconds maxWait{ 2000 }; ///< a request that would wait longer is refused
    double retryBudget = 0.1; ///< retries per request

    /// Returns the bound on the probability that running work outgrows engine memory: half the stall's share of the
    /// weights, so that a deployment which minds stalls more takes more risk of preemptions.
    double memoryRisk() const;
};

/// All of an operator's named objects.
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

/// Fills a configuration from INI text; every mistake of form goes to \p problems.
Configuration parseConfiguration(const std::string &text, const std::string &file, Problems &problems);

/// Checks the objects against one another: references, kinds, contradictions.
void checkConfiguration(const Configuration &configuration, const std::string &file, Problems &problems);

/// Returns a configuration with the objects of another one added or replaced, and some removed.
/// \param removed  headings, each `kind name`
Configuration updateObjects(Configuration base, const Configuration &changed, const std::vector<std::string> &removed);

/// Writes the canonical text: the same objects always give the same bytes.
std::string formatConfiguration(const Configuration &configuration);

/// Returns the SHA-256 of a text in hexadecimal.
std::string sha256(std::string_view text);

/// Returns the settings reference of every section, as Markdown.
std::string configurationReference();

} // namespace zinniadock
