#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"

using namespace zinniadock;
using namespace zinniadock::test;
using std::chrono::milliseconds;

// Guards against an entry that stays listed until its lease expires, because its stop came between the write of its
// registration and the response to the write.
TEST_CASE("an entry that stops while it registers is not registered afterwards")
{
    standin::PlatformStore store;
    store.put("op/config", configuration(3));
    store.setWriteResponseDelay(milliseconds(300));
    RoleThread<ForwardingEntry> entry(entrySettings(store.port(), 1));
    const std::string key = "zinniadock/entries/127.0.0.1:" + std::to_string(entry->peerPort());
    REQUIRE(eventually([&] {
        return store.leaseOf(key) > 0;
    }));
    entry.post([&] {
        entry->drain(milliseconds(5000));
    });
    CHECK(eventually(
        [&] {
            return store.leaseOf(key) == 0;
        },
        milliseconds(5000)));
}
