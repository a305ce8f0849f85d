#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinniadock/version/configuration.h"

namespace zinniadock
{

/// The changes from one version to its successor.
struct VersionDelta
{
    std::uint64_t baseRevision = 0; ///< revision that the delta applies to; 0 if the delta is not known
    std::string changes; ///< text in the format of formatDelta()
};

/// An accepted configuration with its indexes. A request uses one version from its start to its end.
struct Version
{
    std::uint64_t revision = 0;
    std::string digest; ///< SHA-256 of \c text
    std::string text; ///< canonical text of the configuration
    VersionDelta delta;
    Configuration configuration;
    std::unordered_map<std::string, std::string> accountOfKeyDigest;

    /// Returns the client account of a caller's key, and its name in \p name; null for an unknown key.
    const Account *accountOfKey(const std::string &key, std::string &name) const;

    /// Returns the route with the longest path prefix of a request path, and its name in \p name; null if there is
    /// none. A prefix matches only whole path segments. Complexity: linear in the routes.
    const Route *routeOfPath(const std::string &path, std::string &name) const;

    /// Returns the name of the model version that a backend server serves; empty if it serves none. Complexity: linear
    /// in the servers.
    std::string versionOfServer(const std::string &server) const;

    /// Returns the policy `[policy default]`, or a policy of default values if it is not configured.
    Policy policy() const;
};

/// Builds a version from a published text. Returns null if the digest does not match or the text has errors.
std::shared_ptr<const Version> makeVersion(std::uint64_t revision, const std::string &digest, const std::string &text,
                                           VersionDelta delta = {});

/// Builds a version from a configuration with its canonical text and digest, which are not verified. Returns null if
/// checkConfiguration() finds errors.
std::shared_ptr<const Version> makeVersionFromConfiguration(std::uint64_t revision, const std::string &digest,
                                                            const std::string &text, Configuration configuration,
                                                            VersionDelta delta);

/// Holds the current version, whose revision only increases. Thread-safe.
class VersionHolder
{
public:
    /// Makes a version the current one. Returns false and changes nothing if \p version is null or its revision is not
    /// higher than the current revision.
    bool install(std::shared_ptr<const Version> version);

    /// Returns the current version; null before the first version.
    std::shared_ptr<const Version> current() const;

    /// Returns the current revision; 0 before the first version.
    std::uint64_t revision() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Version> m_current;
};

} // namespace zinniadock
