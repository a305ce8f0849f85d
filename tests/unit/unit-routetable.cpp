#include <catch2/catch.hpp>

#include "zinniadock/version/routetable.h"

using namespace zinniadock;

TEST_CASE("route table")
{
    RouteTable table;
    const auto add = [&table](const std::string &name, const std::string &host, const std::string &prefix) {
        ForwardRoute route;
        route.name = name;
        route.host = host;
        route.prefix = prefix;
        table.routes.push_back(route);
    };
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/y/");
    const auto routeName = [&table](const std::string &host, const std::string &path) {
        const ForwardRoute *route = table.find(host, path);
        return route ? route->name : "none";
    };

    SECTION("the route of the host with the longest matching prefix is found")
    {
        CHECK(routeName("a.example", "/x/y/z") == "long");
        CHECK(routeName("a.example", "/x/yz") == "short");
        CHECK(routeName("b.example", "/x/y/") == "other");
    }
    SECTION("a prefix ends at a slash, and the query is ignored")
    {
        CHECK(routeName("a.example", "/x") == "none");
        CHECK(routeName("a.example", "/xy/") == "none");
        CHECK(routeName("a.example", "/?p=/x/") == "none");
        CHECK(routeName("c.example", "/x/") == "none");
    }
    SECTION("the host is compared without its port and case")
    {
        CHECK(routeName("A.Example:8080", "/x/y/z") == "long");
    }
    SECTION("weights split the requests of a route")
    {
        ForwardRoute route;
        route.pools = { { "big", 90 }, { "small", 10 } };
        CHECK(pickPool(route, 0) == "big");
        CHECK(pickPool(route, 0.89) == "big");
        CHECK(pickPool(route, 0.91) == "small");
        CHECK(pickPool(route, 0.999999) == "small");
    }
}
