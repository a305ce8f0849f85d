#include "zinniadock/version/version.h"

#include <algorithm>

namespace zinniadock
{

const Account *Version::accountOfKey(const std::string &key, std::string &name) const
{
    const auto position = accountOfKeyDigest.find(sha256(key));
    if (position == accountOfKeyDigest.end()) {
        return nullptr;
    }
    name = position->second;
    return &configuration.accounts.at(name);
}

const Route *Version::routeOfPath(const std::string &path, std::string &name) const
{
    const Route *longest = nullptr;
    for (const auto &[routeName, route] : configuration.routes) {
        const bool matches = !route.path.empty() && path.starts_with(route.path)
            && (path.size() == route.path.size() || path[route.path.size()] == '/' || route.path.back() == '/');
        if (matches && (longest == nullptr || route.path.size() > longest->path.size())) {
            longest = &route;
            name = routeName;
        }
    }
    return longest;
}

std::string Version::versionOfServer(const std::string &server) const
{
    for (const auto &[name, pool] : configuration.pools) {
        if (std::find(pool.servers.begin(), pool.servers.end(), server) != pool.servers.end()) {
            return pool.version;
        }
    }
    return {};
}

Policy Version::policy() const
{
    const auto position = configuration.policies.find("default");
    return position == configuration.policies.end() ? Policy() : position->second;
}

std::shared_ptr<const Version> makeVersion(std::uint64_t revision, const std::string &digest, const std::string &text,
                                           VersionDelta delta)
{
    if (sha256(text) != digest) {
        return nullptr;
    }
    Problems problems;
    Configuration configuration = parseConfiguration(text, "published configuration", problems);
    return problems.empty()
        ? makeVersionFromConfiguration(revision, digest, text, std::move(configuration), std::move(delta))
        : nullptr;
}

std::shared_ptr<const Version> makeVersionFromConfiguration(std::uint64_t revision, const std::string &digest,
                                                            const std::string &text, Configuration configuration,
                                                            VersionDelta delta)
{
    Problems problems;
    checkConfiguration(configuration, "published configuration", problems);
    if (!problems.empty()) {
        return nullptr;
    }
    auto version = std::make_shared<Version>();
    version->revision = revision;
    version->digest = digest;
    version->text = text;
    version->delta = std::move(delta);
    version->configuration = std::move(configuration);
    for (const auto &[name, account] : version->configuration.accounts) {
        version->accountOfKeyDigest[account.keyDigest] = name;
    }
    return version;
}

bool VersionHolder::install(std::shared_ptr<const Version> version)
{
    const std::lock_guard lock(m_mutex);
    if (!version || (m_current && version->revision <= m_current->revision)) {
        return false;
    }
    m_current = std::move(version);
    return true;
}

std::shared_ptr<const Version> VersionHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::uint64_t VersionHolder::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_current ? m_current->revision : 0;
}

} // namespace zinniadock
