#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/connection/strayresponse.h"
#include "zinniadock/request/eventsplitter.h"

using namespace zinniadock;

TEST_CASE("event splitter")
{
    EventSplitter splitter;

    SECTION("an event is returned only when it is complete")
    {
        CHECK(splitter.push("id: 1\nda").empty());
        const auto events = splitter.push("ta: x\n\nid: 2\n");
        REQUIRE(events.size() == 1);
        CHECK(events[0].bytes == "id: 1\ndata: x\n\n");
        CHECK(events[0].id == 1);
        CHECK(splitter.incompleteEvent() == "id: 2\n");
    }
    SECTION("reset() discards the incomplete event of the previous stream")
    {
        splitter.push("id: 7\ndata: ha");
        splitter.reset();
        const auto events = splitter.push("id: 7\ndata: whole\n\n");
        REQUIRE(events.size() == 1);
        CHECK(events[0].bytes == "id: 7\ndata: whole\n\n");
    }
    SECTION("an event without a valid id has none, and lines may end with CRLF")
    {
        const auto events = splitter.push(": ping\n\nid: x\ndata: a\n\nid:3\r\ndata: b\r\n\r\n");
        REQUIRE(events.size() == 3);
        CHECK_FALSE(events[0].id);
        CHECK_FALSE(events[1].id);
        CHECK(events[2].id == 3);
    }
    SECTION("the head of a response is not an event")
    {
        const auto events = splitter.push("data: HTTP/1.1\n\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
        REQUIRE(events.size() == 2);
        CHECK_FALSE(containsResponseHead(events[0].bytes));
        CHECK(containsResponseHead(events[1].bytes));
    }
    SECTION("a comment is told from an event")
    {
        const auto events = splitter.push(": ping\n\nid: 1\ndata: a\n\n");
        REQUIRE(events.size() == 2);
        CHECK(isComment(events[0]));
        CHECK_FALSE(isComment(events[1]));
    }
    SECTION("bytes without an end of an event overflow at the maximum event size")
    {
        const std::string piece(16384, 'x');
        std::size_t pushed = 0;
        while (!splitter.isOversized()) {
            CHECK(splitter.push(piece).empty());
            pushed += piece.size();
        }
        CHECK(pushed <= maxStreamEventBytes + piece.size());
        splitter.reset();
        CHECK_FALSE(splitter.isOversized());
    }
    SECTION("the end of an event is found wherever the bytes are split")
    {
        const std::string whole = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n";
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            EventSplitter each;
            auto events = each.push(whole.substr(0, cut));
            const auto later = each.push(whole.substr(cut));
            events.insert(events.end(), later.begin(), later.end());
            REQUIRE(events.size() == 2);
            CHECK(events[0].id == 1);
            CHECK(events[1].id == 2);
        }
    }
    SECTION("no byte is lost or added, however the stream is split")
    {
        const bool holds = rc::check([] {
            const auto pieces = *rc::gen::container<std::vector<std::string>>(
                rc::gen::container<std::string>(rc::gen::elementOf(std::string("id: 1\r\n\nx"))));
            EventSplitter cut;
            std::string in;
            std::string out;
            for (const std::string &piece : pieces) {
                in += piece;
                for (const StreamEvent &event : cut.push(piece)) {
                    out += event.bytes;
                }
            }
            RC_ASSERT(out + cut.incompleteEvent() == in);
        });
        CHECK(holds);
    }
}
