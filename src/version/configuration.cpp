#include "zinniadock/version/configuration.h"

#include <algorithm>
#include <array>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace zinniadock
{

namespace
{

using detail::fieldRule;
using detail::Range;
using detail::spanOf;

constexpr Range requiredTextLength{ 1, 1024 };
constexpr Range optionalTextLength{ 0, 1024 };
constexpr Range milliseconds{ 1, 86400000 };
constexpr Range weight{ 0, 1000000 };
constexpr Range tokenRange{ 1, 1048576 };

constexpr std::array modelRules{
    fieldRule<&Model::expectedTokens>("expected_tokens", false, tokenRange, "a number of tokens from 1 to 1048576",
                                      "Mean output length, assumed until outputs have been measured."),
    fieldRule<&Model::maxTokens>("max_tokens", false, tokenRange, "a number of tokens from 1 to 1048576",
                                 "Maximum output length of one generation."),
};

constexpr std::array versionRules{
    fieldRule<&ModelVersion::model>("model", true, requiredTextLength, "the name of a [model] object",
                                    "The model of this version."),
    fieldRule<&ModelVersion::weights>("weights", false, optionalTextLength, "a name in the weight store",
                                      "The weights that engines load."),
};

constexpr std::array serverRules{
    fieldRule<&BackendServer::address>("address", true, Range{}, "IP:port",
                                       "Address on which the sidecar of the backend server listens."),
    fieldRule<&BackendServer::dataCentre>("data_centre", true, requiredTextLength, "the name of a data centre",
                                          "The data centre of the backend server."),
};

constexpr std::array poolRules{
    fieldRule<&Pool::servers>("servers", true, Range{ 1, 100000 },
                              "one or more names of [server] objects, separated by commas",
                              "The backend servers of the pool."),
    fieldRule<&Pool::version>("version", false, optionalTextLength, "the name of a [version] object",
                              "The version that the pool serves; omit for a plain service."),
};

constexpr std::array routeRules{
    fieldRule<&Route::pool>("pool", true, requiredTextLength, "the name of a [pool] object",
                            "The pool that serves the requests of the route."),
    fieldRule<&Route::path>("path", false, optionalTextLength, "a path that starts with /",
                            "Path prefix of a plain service; omit for generations."),
    fieldRule<&Route::idempotent>("idempotent", false, Range{}, "yes or no",
                                  "Whether calls may run more than once; GET and HEAD always may."),
    fieldRule<&Route::deadline>(
        "deadline_ms", false, milliseconds, "milliseconds from 1 to 86400000",
        "Maximum time until the first token of a generation, or until the complete response of a call."),
    fieldRule<&Route::priority>("priority", false, Range{ 0, 100 }, "a whole number from 0 to 100",
                                "Requests with a higher priority are served first."),
};

constexpr std::array accountRules{
    fieldRule<&Account::keyDigest>("key_digest", true, Range{ 64, 64 }, "the SHA-256 of the key, 64 hexadecimal digits",
                                   "Digest of the key that callers send."),
    fieldRule<&Account::requestsPerSecond>("requests_per_second", false, Range{ 0.001, 1000000 },
                                           "a number from 0.001 to 1000000", "Maximum request rate over the fleet."),
    fieldRule<&Account::maxConcurrentRequests>("concurrency", false, Range{ 1, 1000000 },
                                               "a whole number from 1 to 1000000",
                                               "Maximum number of requests in flight over the fleet."),
    fieldRule<&Account::share>("share", false, Range{ 0.001, 1000 }, "a number from 0.001 to 1000",
                               "Weight in fair sharing between client accounts."),
    fieldRule<&Account::routes>("routes", false, Range{ 0, 10000 }, "names of [route] objects, separated by commas",
                                "Routes that the client account may use; omit for all routes."),
};

constexpr std::array policyRules{
    fieldRule<&Policy::weightStall>("weight_stall", false, weight, "a number from 0 to 1000000",
                                    "Weight of stall time relative to preemptions."),
    fieldRule<&Policy::weightPreemption>("weight_preemption", false, weight, "a number from 0 to 1000000",
                                         "Weight of preemptions relative to stall time."),
    fieldRule<&Policy::maxWait>("longest_wait_ms", false, milliseconds, "milliseconds from 1 to 86400000",
                                "A request with a longer expected wait for an engine is refused."),
    fieldRule<&Policy::retryBudget>("retry_budget", false, Range{ 0, 1 }, "a number from 0 to 1",
                                    "Retries that each request sent adds to the retry budget."),
};

// Calls a visitor for each kind of object with the name of the kind, the objects and the rules.
template <typename AnyConfiguration, typename Visitor>
void forEachKind(AnyConfiguration &configuration, Visitor visitor)
{
    visitor("model", configuration.models, spanOf(modelRules));
    visitor("version", configuration.versions, spanOf(versionRules));
    visitor("server", configuration.servers, spanOf(serverRules));
    visitor("pool", configuration.pools, spanOf(poolRules));
    visitor("route", configuration.routes, spanOf(routeRules));
    visitor("account", configuration.accounts, spanOf(accountRules));
    visitor("policy", configuration.policies, spanOf(policyRules));
}

// Checks the objects of a configuration against each other and collects the errors.
class ConfigurationChecker
{
public:
    ConfigurationChecker(const Configuration &configuration, std::string file, Problems &problems)
        : m_configuration(configuration)
        , m_file(std::move(file))
        , m_problems(problems)
    {
    }

    void run()
    {
        checkVersions();
        checkPools();
        checkRoutes();
        checkAccounts();
        checkServers();
    }

private:
    void report(const std::string &section, const std::string &key, const std::string &message)
    {
        m_problems.push_back({ m_file, 0, section, key, message });
    }

    template <typename Objects>
    void requireReference(const std::string &section, const std::string &key, const Objects &objects, const char *kind,
                          const std::string &name)
    {
        if (!objects.contains(name)) {
            report(section, key, "there is no [" + std::string(kind) + " " + name + "]");
        }
    }

    void checkVersions()
    {
        for (const auto &[name, version] : m_configuration.versions) {
            requireReference("version " + name, "model", m_configuration.models, "model", version.model);
        }
    }

    void checkPools()
    {
        std::map<std::string, std::string> poolOfServer;
        for (const auto &[name, pool] : m_configuration.pools) {
            const std::string section = "pool " + name;
            if (!pool.version.empty()) {
                requireReference(section, "version", m_configuration.versions, "version", pool.version);
            }
            for (const std::string &server : pool.servers) {
                requireReference(section, "servers", m_configuration.servers, "server", server);
                const auto [other, isNew] = poolOfServer.emplace(server, name);
                if (!isNew) {
                    report(section, "servers", "[server " + server + "] is already in [pool " + other->second + "]");
                }
            }
        }
    }

    void checkRoutes()
    {
        std::map<std::string, std::string> routeOfPath;
        for (const auto &[name, route] : m_configuration.routes) {
            const std::string section = "route " + name;
            requireReference(section, "pool", m_configuration.pools, "pool", route.pool);
            const auto pool = m_configuration.pools.find(route.pool);
            const bool isCall = !route.path.empty();
            if (isCall && route.path.front() != '/') {
                report(section, "path", "expected a path that starts with /, found \"" + route.path + "\"");
            }
            if (isCall && (route.path.starts_with("/v1/") || route.path == "/v1" || route.path == "/")) {
                report(section, "path",
                       "expected a path other than / and /v1, which are reserved for generations, found \"" + route.path
                           + "\"");
            }
            if (pool != m_configuration.pools.end() && isCall == !pool->second.version.empty()) {
                report(section, "pool",
                       isCall ? "[pool " + route.pool + "] serves a version; a route with a path needs a plain service"
                              : "[pool " + route.pool + "] serves no version; a route without a path needs one");
            }
            if (isCall) {
                const auto [other, isNew] = routeOfPath.emplace(route.path, name);
                if (!isNew) {
                    report(section, "path", "is also the path of [route " + other->second + "]");
                }
            }
        }
    }

    void checkAccounts()
    {
        std::map<std::string, std::string> accountOfKey;
        for (const auto &[name, account] : m_configuration.accounts) {
            const std::string section = "account " + name;
            if (account.keyDigest.find_first_not_of("0123456789abcdef") != std::string::npos) {
                report(section, "key_digest", "expected 64 hexadecimal digits in lower case");
            }
            const auto [other, isNew] = accountOfKey.emplace(account.keyDigest, name);
            if (!isNew) {
                report(section, "key_digest", "is also the key of [account " + other->second + "]");
            }
            for (const std::string &route : account.routes) {
                requireReference(section, "routes", m_configuration.routes, "route", route);
            }
        }
    }

    void checkServers()
    {
        std::map<std::string, std::string> serverOfAddress;
        for (const auto &[name, server] : m_configuration.servers) {
            const auto [other, isNew] = serverOfAddress.emplace(server.address.text(), name);
            if (!isNew) {
                report("server " + name, "address", "is also the address of [server " + other->second + "]");
            }
            if (server.address.port == 0) {
                report("server " + name, "address", "expected a port from 1 to 65535, found 0");
            }
        }
    }

    const Configuration &m_configuration;
    std::string m_file;
    Problems &m_problems;
};

} // namespace

Configuration parseConfiguration(const std::string &text, const std::string &file, Problems &problems)
{
    Configuration configuration;
    const IniDocument document = parseIni(text, file, problems);
    for (const IniSection &section : document.sections) {
        bool known = false;
        forEachKind(configuration, [&](std::string_view kind, auto &objects, auto rules) {
            if (section.kind != kind) {
                return;
            }
            known = true;
            if (section.name.empty()) {
                problems.push_back({ file, section.line, section.heading(), "",
                                     "expected [" + section.kind + " name], found [" + section.kind + "]" });
                return;
            }
            objects[section.name] = detail::parseSection(section, file, rules, problems);
        });
        if (!known) {
            problems.push_back(
                { file, section.line, section.heading(), "",
                  "is not a kind of object; expected model, version, server, pool, route, account or policy" });
        }
    }
    return configuration;
}

void checkConfiguration(const Configuration &configuration, const std::string &file, Problems &problems)
{
    ConfigurationChecker(configuration, file, problems).run();
}

Configuration updateObjects(Configuration base, const Configuration &changed, const std::vector<std::string> &removed)
{
    forEachKind(base, [&](std::string_view kind, auto &objects, auto /*rules*/) {
        forEachKind(changed, [&objects](std::string_view /*kind*/, const auto &newer, auto /*rules*/) {
            if constexpr (std::is_same_v<std::decay_t<decltype(newer)>, std::decay_t<decltype(objects)>>) {
                for (const auto &[name, object] : newer) {
                    objects[name] = object;
                }
            }
        });
        for (const std::string &heading : removed) {
            if (heading.starts_with(std::string(kind) + " ")) {
                objects.erase(heading.substr(kind.size() + 1));
            }
        }
    });
    return base;
}

std::string formatConfiguration(const Configuration &configuration)
{
    std::string out;
    forEachKind(configuration, [&out](std::string_view kind, const auto &objects, auto rules) {
        for (const auto &[name, object] : objects) {
            out += detail::formatSection(std::string(kind) + " " + name, object, rules) + "\n";
        }
    });
    return out;
}

double Policy::memoryRisk() const
{
    constexpr double riskPerStallShare = 0.5;
    constexpr double minRisk = 0.001;
    constexpr double maxRisk = 0.45;
    const double sum = weightStall + weightPreemption;
    const double stallShare = sum > 0 ? weightStall / sum : 0.5;
    return std::clamp(riskPerStallShare * stallShare, minRisk, maxRisk);
}

std::string sha256(std::string_view text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text.data(), text.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string configurationReference()
{
    std::string out;
    const Configuration empty;
    forEachKind(empty, [&out](std::string_view kind, const auto & /*objects*/, auto rules) {
        out += "## `[" + std::string(kind) + " NAME]`\n\n| key | required | value | meaning |\n|---|---|---|---|\n";
        for (const auto &rule : rules) {
            out += "| `" + std::string(rule.key) + "` | " + (rule.required ? "yes" : "no") + " | "
                + std::string(rule.expected) + " | " + std::string(rule.brief) + " |\n";
        }
        out += "\n";
    });
    return out;
}

} // namespace zinniadock
