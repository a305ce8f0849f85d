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

/// How a version differs from the one before it.
struct VersionDelta
{
    std::uint64_t baseRevision = 0; ///< revision that the delta applies to; 0 if the delta is not known
    std::string changes; ///< in the form of formatDelta()
};

/// One accepted configuration with its indexes; a request runs wholly under one of these.
struct Version
{
    std::uint64_t revision = 0;
    std::string digest; ///< SHA-256 of \c text
    std::string text; ///< canonical form
    VersionDelta delta;
    Configuration configuration;
    std::unordered_map<std::string, std::string> accountOfKeyDigest;

    /// Finds the account of a caller's key.
    const Account *accountOfKey(const std::string &key, std::string &name) const;

    /// Finds the longest path route that a request path starts with; its name goes to \p name.
    const Route *routeOfPath(const std::string &path, std::string &name) const;

    /// Returns the model version that a backend server serves; empty for none. Complexity: linear in the servers.
    std::string versionOfServer(const std::string &server) const;

    /// Returns the policy in force: `[policy default]`, or the defaults.
    Policy policy() const;
};

/// Builds a version from a published text; nothing if the digest or the content is wrong.
std::shared_ptr<const Version> makeVersion(std::uint64_t revision, const std::string &digest, const std::string &text,
                                           VersionDelta delta = {});

/// Builds a version from a configuration that has its canonical text and digest; nothing if it has mistakes.
std::shared_ptr<const Version> makeVersionFromConfiguration(std::uint64_t revision, const std::string &digest,
                                                            const std::string &text, Configuration configuration,
                                                            VersionDelta delta);

/// Holds the version in force; only ever moves to a higher revision.
class VersionHolder
{
public:
    /// Puts a version in force; false if it is not higher than the present one.
    bool install(std::shared_ptr<const Version> version);

    /// Returns the version in force; empty before the first.
    std::shared_ptr<const Version> current() const;

    /// Returns the revision in force; 0 before the first.
    std::uint64_t revision() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Version> m_current;
};

} // namespace zinniadock
