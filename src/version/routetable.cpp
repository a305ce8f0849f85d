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
    const std::string wanted(withoutPort(host));
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const ForwardRoute *best = nullptr;
    for (const ForwardRoute &route : routes) {
        const bool longer = !best || route.prefix.size() > best->prefix.size();
        if (longer && plainPath.starts_with(route.prefix) && Poco::icompare(route.host, wanted) == 0) {
            best = &route;
        }
    }
    return best;
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
    double left = draw * total;
    for (const WeightedPool &share : route.pools) {
        left -= share.weight;
        if (left < 0) {
            return share.pool;
        }
    }
    return route.pools.back().pool;
}

} // namespace zinniadock
