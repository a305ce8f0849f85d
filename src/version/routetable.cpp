#include "zinniadock/version/routetable.h"

#include <numeric>

#include <Poco/String.h>

namespace zinniadock
{

namespace
{

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const ForwardRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string hostName(withoutPort(host));
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    const ForwardRoute *longest = nullptr;
    for (const ForwardRoute &route : routes) {
        const bool isLonger = !longest || route.prefix.size() > longest->prefix.size();
        if (isLonger && pathWithoutQuery.starts_with(route.prefix) && Poco::icompare(route.host, hostName) == 0) {
            longest = &route;
        }
    }
    return longest;
}

const KeyHolder *RouteTable::findKeyHolder(const std::string &key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &found->second;
}

const std::string &pickPool(const ForwardRoute &route, double draw)
{
    const double total
        = std::accumulate(route.pools.begin(), route.pools.end(), 0.0, [](double sum, const WeightedPool &share) {
              return sum + share.weight;
          });
    double remaining = draw * total;
    for (const WeightedPool &share : route.pools) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.pool;
        }
    }
    return route.pools.back().pool;
}

} // namespace zinniadock
