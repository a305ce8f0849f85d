#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/connection/wireform.h"
#include "zinniadock/process/links/sidecarmessages.h"
#include "zinniadock/process/membership/entrymessages.h"

using namespace zinniadock;

namespace
{

/// Time at which the messages of the tests are sent.
const SteadyTime messageTime{ std::chrono::hours(1) };

const std::string configuration = R"({"version":7,
"routes":[
 {"name":"r1","host":"a.example","prefix":"/s/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,
  "priority":1,"service":"m","maxAttempts":1,"public":false,"resumable":false,"gapAimMs":180},
 {"name":"r2","host":"a.example","prefix":"/r/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,
  "priority":2,"split":[{"service":"m","weight":90},{"service":"n","weight":10}],"maxAttempts":2,"public":true}],
"services":[{"name":"m","healthPath":"/h","maxConns":252,"engine":{"slots":24,"kvCapacityTokens":34319,
  "kvTokenBytes":163840,"linkMbps":24000.0,"moves":true,"backups":true,"stride":4,"holdMs":2000.0}},
 {"name":"n","healthPath":"/h","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"acc","apiKeys":["k1","k2"],"priority":1}]})";

RouteTable routes()
{
    return std::get<RouteTable>(wire::parseRoutes(configuration));
}

std::string parseProblem(const std::string &record)
{
    const auto parsed = wire::parseServer("i-1", record);
    const auto *problem = std::get_if<std::string>(&parsed);
    return problem ? *problem : "";
}

} // namespace

TEST_CASE("operators' configuration")
{
    const RouteTable table = routes();
    REQUIRE(table.routes.size() == 2);
    CHECK(table.version == 7);
    CHECK(table.routes[0].kind == RouteKind::Stream);
    CHECK(table.routes[0].maxGap == std::chrono::milliseconds(180));
    CHECK(table.routes[1].kind == RouteKind::Idempotent);
    CHECK(table.routes[1].isPublic);
    CHECK(table.routes[1].pools.size() == 2);
    CHECK(table.pools.at("m").engine->tokensPerEvent == 4);
    CHECK(table.pools.at("m").engine->maxReservationDuration == std::chrono::milliseconds(2000));
    CHECK_FALSE(table.pools.at("n").engine);
    CHECK(table.findKeyHolder("k2")->account == "acc");
    CHECK(table.findKeyHolder("k2")->priority == 1U);
    CHECK(table.findKeyHolder("k3") == nullptr);
    CHECK(table.limits.headerTimeout == std::chrono::milliseconds(3000));
    CHECK(std::holds_alternative<std::string>(wire::parseRoutes("{")));
    CHECK(std::holds_alternative<std::string>(wire::parseRoutes(R"({"version":"x","routes":[]})")));
}

TEST_CASE("records of servers")
{
    const std::string validRecord
        = R"({"service":"m","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":24,)"
          R"("state":"draining","coldLeftMs":12,"seq":4,"born":99})";
    const auto record = std::get<ServerRecord>(wire::parseServer("i-1", validRecord));
    CHECK(record.id == "i-1");
    CHECK(record.address.text() == "10.0.0.9:8080");
    CHECK(record.isDraining);
    CHECK(record.startTimeMs == 99);
    CHECK(record.warmUpDuration == std::chrono::milliseconds(12));

    SECTION("a foreign or malformed record is rejected")
    {
        CHECK_FALSE(parseProblem("\xff\xfe").empty());
        CHECK_FALSE(parseProblem("[]").empty());
        CHECK_FALSE(parseProblem(R"({"service":"m"})").empty());
        CHECK_FALSE(parseProblem(R"({"service":"m","address":5,"zone":"z","slots":1,"state":"ready"})").empty());
        CHECK_FALSE(parseProblem(R"({"service":"m","address":"x","zone":"z","slots":1,"state":"ready"})").empty());
        CHECK_FALSE(
            parseProblem(R"({"service":"m","address":"10.0.0.9:80","zone":"z","slots":1,"state":"new"})").empty());
    }
}

TEST_CASE("fields of a request that is forwarded to a server")
{
    HttpRequest request(http::verb::post, "/s/1?q=2", 11);
    request.set("Host", "a.example");
    request.set("X-Request-Id", "id1");
    request.set("X-Key", "k1");
    request.set("X-Deadline-Ms", "39000");
    request.set("X-Token-Count", "1460,80");
    request.set("X-Length-Hint", "33");
    request.set("X-Tenant", "forged");
    request.set("X-Hold", "forged");
    request.set("X-Pin-Ms", "1");
    request.set("X-Kv-Backup", "1.2.3.4:5");
    request.set("Kv-From", "1.2.3.4:5/x");
    request.set("Last-Event-Id", "3");
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Other", "kept");
    request.body() = "body";
    const wire::CallerFields fields = wire::parseCallerFields(request);
    CHECK(fields.requestId == "id1");
    CHECK(fields.key == "k1");
    CHECK(fields.deadline == std::chrono::milliseconds(39000));
    CHECK(fields.promptTokens == 1460);
    CHECK(fields.maxOutputTokens == 80);
    CHECK(fields.outputHint == 33U);

    wire::ServerFields added;
    added.server = "i-1";
    added.account = "acc";
    added.deadline = std::chrono::milliseconds(500);
    added.priority = 12;
    const HttpRequest out = wire::serverRequest(request, added);
    CHECK(out.target() == "/s/1?q=2");
    CHECK(out.body() == "body");
    CHECK(out["X-Tenant"] == "acc");
    CHECK(out["X-Deadline-Ms"] == "500");
    CHECK(out["X-Expected-Instance"] == "i-1");
    CHECK(out["X-Request-Priority"] == "9");
    CHECK(out["X-Other"] == "kept");
    CHECK(out["X-Token-Count"] == "1460,80");
    for (const char *name : { "X-Key", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Last-Event-Id", "X-Hop" }) {
        CHECK(out.count(name) == 0);
    }

    SECTION("a generation is resumed from a copy after the last event that its caller received")
    {
        added.copy = wire::KvCacheCopy{ { "10.0.0.1", 80 }, "c1" };
        added.lastEventId = "17";
        const HttpRequest resumed = wire::serverRequest(request, added);
        CHECK(resumed["Kv-From"] == "10.0.0.1:80/c1");
        CHECK(resumed["Last-Event-Id"] == "17");
    }
    SECTION("malformed numbers are treated as absent")
    {
        request.set("X-Deadline-Ms", "soon");
        request.set("X-Token-Count", "12");
        CHECK_FALSE(wire::parseCallerFields(request).deadline);
        CHECK(wire::parseCallerFields(request).promptTokens == 0);
    }
}

TEST_CASE("fields of a server's response")
{
    http::response_header<> response;
    response.result(503);
    response.set("X-Not-Executed", "1");
    response.set("Keep-Alive", "timeout=5, max=100");
    response.set("Connection", "close");
    CHECK(wire::parseResponseFields(response).notRun);
    CHECK(wire::parseResponseFields(response).closesConnection);
    CHECK(wire::parseResponseFields(response).idleTimeout == std::chrono::milliseconds(5000));
    CHECK_FALSE(wire::parseResponseFields(response).isSigned);
    response.result(421);
    CHECK(wire::parseResponseFields(response).isMisdirected);
}

TEST_CASE("responses of servers that are draining or request a pause")
{
    http::response_header<> response;
    response.result(503);
    CHECK_FALSE(wire::parseResponseFields(response).isDraining);
    CHECK_FALSE(wire::parseResponseFields(response).retryAfter);
    response.set("Server-Leaving", "1");
    response.set("Retry-After", "1.5");
    CHECK(wire::parseResponseFields(response).isDraining);
    CHECK(wire::parseResponseFields(response).retryAfter == std::chrono::milliseconds(1500));
    for (const char *malformed : { "", "soon", "-1", "nan", "1.5x" }) {
        response.set("Retry-After", malformed);
        CHECK_FALSE(wire::parseResponseFields(response).retryAfter);
    }
    response.set("Retry-After", "1e300");
    CHECK(wire::parseResponseFields(response).retryAfter == std::chrono::minutes(1));
    response.result(500);
    CHECK_FALSE(wire::parseResponseFields(response).retryAfter);
}

TEST_CASE("responses of the store and of engines")
{
    const auto items = wire::parseItems(
        R"({"events":[{"key":"a","value":"bm9kZS0x","revision":3},{"key":"b","revision":4,"deleted":true}],"currentRev":9})");
    REQUIRE(items);
    CHECK(items->revision == 9);
    CHECK(items->items[0].value == "node-1");
    CHECK_FALSE(items->items[1].value);
    CHECK_FALSE(wire::parseItems("{}"));
    // Guards against an item without a readable value that keeps an entry from reading the items beside it.
    const auto unreadable = wire::parseItems(
        R"({"items":[{"key":"a","revision":3},{"key":"b","value":7,"revision":4},{"key":"c","value":"?","revision":5},
                     {"key":"d","value":"bm9kZS0x","revision":6}],"currentRev":9})");
    REQUIRE(unreadable);
    REQUIRE(unreadable->items.size() == 4);
    CHECK(unreadable->items[0].value == "");
    CHECK(unreadable->items[1].value == "");
    CHECK(unreadable->items[2].value == "");
    CHECK(unreadable->items[3].value == "node-1");

    const auto load = wire::parseLoad(
        R"({"running":1,"queued":2,"kvUsed":30,"kvTotal":40,"born":5,"leaves_ms":1200,"runs":[["r",7,8,5]]})");
    REQUIRE(load);
    CHECK(load->isDraining);
    CHECK(load->drainTimeLeft == std::chrono::milliseconds(1200));
    REQUIRE(load->generations.size() == 1);
    CHECK(load->generations[0].tokens == 7);
    CHECK_FALSE(wire::parseLoad("no"));
    CHECK(wire::parseCopyId(R"({"handle":12,"created":3})") == "12");
    CHECK(wire::parseCopyId("").empty());

    SECTION("arbitrary input bytes do not crash the parsers")
    {
        const bool passed = rc::check([](const std::string &bytes) {
            static_cast<void>(wire::parseRoutes(bytes));
            static_cast<void>(wire::parseServer("i", bytes));
            static_cast<void>(wire::parseItems(bytes));
            static_cast<void>(wire::parseLoad(bytes));
            static_cast<void>(wire::parseCopyId(bytes));
            static_cast<void>(decodeEngineLoadQuery(bytes));
            static_cast<void>(decodeEngineLoadReport(bytes));
            static_cast<void>(decodeMoveOrder(bytes));
            static_cast<void>(decodeEntryReport(bytes, messageTime));
            static_cast<void>(decodeEntryReply(bytes));
            static_cast<void>(decodeMoveResult(bytes));
        });
        CHECK(passed);
    }
}

TEST_CASE("messages between entries about limits")
{
    EntryReport report{ .sender = "10.0.0.1:80", .isNotice = false, .subtreeSize = 5, .rows = {} };
    report.rows.push_back(
        { { { "s1", 1000 }, 3.6, std::chrono::milliseconds(70) }, { .returned = 0.25, .wanted = 3 } });
    report.rows.push_back({ { { "s2", 1000 }, std::nullopt, std::chrono::milliseconds(0) }, {} });
    const auto decoded = decodeEntryReport(encode(report, messageTime), messageTime + std::chrono::milliseconds(50));
    REQUIRE(decoded);
    REQUIRE(decoded->rows.size() == 2);
    CHECK(decoded->sender == report.sender);
    CHECK(decoded->subtreeSize == 5);
    CHECK(decoded->rows[0].state.server == report.rows[0].state.server);
    CHECK(decoded->rows[0].state.perSecond == 3.6);
    CHECK(decoded->rows[0].state.age == std::chrono::milliseconds(70));
    CHECK(decoded->rows[0].request.returned == 0.25);
    CHECK(decoded->rows[0].request.wanted == 3);
    CHECK_FALSE(decoded->rows[1].state.perSecond);

    EntryReply reply;
    reply.rows.push_back({ { { "s1", 1000 }, 3.6, std::chrono::milliseconds(70) },
                           { .permits = 2, .wait = std::chrono::milliseconds(300) } });
    const auto decodedReply = decodeEntryReply(encode(reply));
    REQUIRE(decodedReply);
    CHECK(decodedReply->rows[0].grant.permits == 2);
    CHECK(decodedReply->rows[0].grant.wait == std::chrono::milliseconds(300));
    CHECK_FALSE(decodeEntryReport("no", messageTime));
    CHECK_FALSE(decodeEntryReply(""));
}

TEST_CASE("messages between entries and sidecars")
{
    EngineLoadReport report{ .number = 4, .load = {} };
    report.load.running = 2;
    report.load.isDraining = true;
    report.load.drainTimeLeft = std::chrono::milliseconds(70);
    report.load.generations = { { "r", 5, 6 } };
    const auto decoded = decodeEngineLoadReport(encode(report));
    REQUIRE(decoded);
    CHECK(decoded->number == 4);
    CHECK(decoded->load.drainTimeLeft == report.load.drainTimeLeft);
    CHECK(decoded->load.generations[0].emittedEvents == 6);

    const MoveOrder order{ .request = "r",
                           .targets = { { "10.0.0.1", 80 } },
                           .priority = 2.5,
                           .estimatedCopyTime = std::chrono::milliseconds(90) };
    const auto decodedOrder = decodeMoveOrder(encode(order));
    REQUIRE(decodedOrder);
    CHECK(decodedOrder->targets == order.targets);
    CHECK(decodedOrder->estimatedCopyTime == order.estimatedCopyTime);

    MoveResult result{
        .stopped = true, .copy = wire::KvCacheCopy{ { "10.0.0.2", 81 }, "c" }, .target = {}, .reason = "x"
    };
    const auto decodedResult = decodeMoveResult(encode(result));
    REQUIRE(decodedResult);
    CHECK(decodedResult->copy->name == "c");
    CHECK_FALSE(decodedResult->target);
}

// Guards against a move order that can't be written, which ended all moves of a sidecar.
TEST_CASE("a move order of a request whose ID is not UTF-8 can be written")
{
    const HttpRequest request = wire::moveRequest("id-\xff", { "127.0.0.1", 7 }, true);
    CHECK(request.body().find("127.0.0.1:7") != std::string::npos);
}
