#include <catch2/catch.hpp>

#include "zinniadock/process/store/storecontact.h"

using namespace zinniadock;
using std::chrono::milliseconds;

namespace
{

const auto now = std::chrono::steady_clock::now();
constexpr auto failures
    = { StoreCallEnd::Cut, StoreCallEnd::Silent, StoreCallEnd::Rejected, StoreCallEnd::NotConnected };
constexpr auto parts = { StorePart::Configuration, StorePart::Servers, StorePart::Entries };

} // namespace

// Guards against a cut or silent watch that counts as an outage of the store.
TEST_CASE("what the calls of an entry show of the store")
{
    StoreContact contact;

    SECTION("a connection that is cut or silent is no outage, for each watch and for all of them")
    {
        for (const StorePart part : parts) {
            for (const StoreCallEnd end : { StoreCallEnd::Cut, StoreCallEnd::Silent }) {
                CHECK_FALSE(contact.record(part, end, false));
                CHECK_FALSE(contact.isAnyOut());
            }
        }
        CHECK_FALSE(contact.record(StorePart::Servers, StoreCallEnd::Answered, true));
        CHECK_FALSE(contact.isAnyOut());
    }
    SECTION("one lost response on a new connection is no outage")
    {
        contact.record(StorePart::Servers, StoreCallEnd::Cut, false);
        contact.record(StorePart::Servers, StoreCallEnd::Silent, true);
        CHECK_FALSE(contact.isAnyOut());
        contact.record(StorePart::Servers, StoreCallEnd::Answered, true);
        contact.record(StorePart::Servers, StoreCallEnd::Silent, true);
        CHECK_FALSE(contact.isAnyOut());
    }
    SECTION("lost responses of different watches are no outage")
    {
        for (const StorePart part : parts) {
            contact.record(part, StoreCallEnd::Silent, true);
        }
        CHECK_FALSE(contact.isAnyOut());
    }
    SECTION("calls on new connections that fail one after the other are an outage, until a call is answered")
    {
        for (const StoreCallEnd end : failures) {
            contact.record(StorePart::Servers, StoreCallEnd::Cut, false);
            CHECK_FALSE(contact.record(StorePart::Servers, end, true));
            CHECK(contact.record(StorePart::Servers, end, true));
            CHECK(contact.isOut(StorePart::Servers));
            CHECK_FALSE(contact.record(StorePart::Configuration, end, true));
            CHECK(contact.record(StorePart::Servers, StoreCallEnd::Answered, true));
            CHECK_FALSE(contact.isAnyOut());
            contact.record(StorePart::Configuration, StoreCallEnd::Answered, true);
        }
    }
    SECTION("an answer for one part does not end the outage of another, nor reset its failures")
    {
        for (const StorePart part : parts) {
            for (const StorePart other : parts) {
                if (other == part) {
                    continue;
                }
                contact.record(part, StoreCallEnd::Silent, true);
                CHECK_FALSE(contact.record(other, StoreCallEnd::Answered, true));
                CHECK(contact.record(part, StoreCallEnd::Silent, true));
                CHECK_FALSE(contact.record(other, StoreCallEnd::Answered, true));
                CHECK(contact.isOut(part));
                CHECK_FALSE(contact.isOut(other));
                CHECK(contact.record(part, StoreCallEnd::Answered, true));
            }
        }
    }
    SECTION("a watch that is rejected counts on any connection")
    {
        contact.record(StorePart::Servers, StoreCallEnd::Rejected, false);
        CHECK(contact.record(StorePart::Servers, StoreCallEnd::Rejected, true));
    }
    SECTION("a throttled call shows nothing")
    {
        for (int i = 0; i < 10; ++i) {
            CHECK_FALSE(contact.record(StorePart::Servers, StoreCallEnd::Throttled, true));
        }
        contact.record(StorePart::Servers, StoreCallEnd::Silent, true);
        contact.record(StorePart::Servers, StoreCallEnd::Silent, true);
        CHECK(contact.isOut(StorePart::Servers));
        CHECK_FALSE(contact.record(StorePart::Servers, StoreCallEnd::Throttled, true));
        CHECK(contact.isOut(StorePart::Servers));
    }
}

// Guards against the delay of a removal that the store has acknowledged while it serves.
TEST_CASE("when a removed server is unlisted")
{
    RemovalGrace grace;

    SECTION("at once, if there was no outage")
    {
        CHECK(grace.removalTime(9, now) == now);
    }
    SECTION("after the grace period, if its record may have expired during the outage")
    {
        grace.end = now + milliseconds(2000);
        grace.lastRevision = 9;
        CHECK(grace.removalTime(9, now) == now + milliseconds(2000));
        CHECK(grace.removalTime(9, now + milliseconds(2500)) == now + milliseconds(2500));
    }
    SECTION("at once, if the store has acknowledged the removal after its return")
    {
        grace.end = now + milliseconds(2000);
        grace.lastRevision = 9;
        CHECK(grace.removalTime(10, now) == now);
    }
    SECTION("after the grace period, if the revision of the return is not known yet")
    {
        grace.end = now + milliseconds(2000);
        CHECK(grace.removalTime(1000000, now) == now + milliseconds(2000));
    }
}

// Guards against a silent watch that is found dead only after a bound of the rules has run out.
TEST_CASE("a silent watch is replaced before the bound of its part runs out")
{
    for (const int bound : { 1000, 2000, 3000, 4000, 10000 }) {
        for (const int pause : { 0, 60, 300 }) {
            const milliseconds wait = watchWaitFor(milliseconds(bound), milliseconds(pause));
            CHECK(milliseconds(pause) + wait + responseMargin(milliseconds(0)) < milliseconds(bound));
            CHECK(wait >= milliseconds(100));
        }
    }
    SECTION("also if the store is slow")
    {
        for (const int responseTime : { 50, 200, 400 }) {
            const milliseconds slowest(responseTime);
            const milliseconds wait = watchWaitFor(milliseconds(3000), milliseconds(0), slowest);
            CHECK(wait + responseMargin(slowest) + slowest < milliseconds(3000));
        }
    }
    SECTION("a slow store gets more time to respond")
    {
        CHECK(responseMargin(milliseconds(500)) >= milliseconds(1000));
        CHECK(responseMargin(milliseconds(60000)) <= milliseconds(2000));
    }
}

TEST_CASE("messages between entries carry the revision of a returned store")
{
    RelayResponse response;
    response.storeRecoveredAgo = milliseconds(70);
    CHECK_FALSE(decodeRelayResponse(encode(response))->recoveredRevision);
    response.recoveredRevision = 12;
    CHECK(decodeRelayResponse(encode(response))->recoveredRevision == 12);
}
