#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"

using namespace zinniadock;

namespace
{

// Prints all fields of a message, to compare messages of any type.
class FieldPrinter
{
public:
    template <typename Value>
    void operator()(const char *key, const Value &value)
    {
        m_text += std::string(key) + "=";
        if constexpr (std::is_same_v<Value, std::string>) {
            m_text += value;
        } else if constexpr (std::is_same_v<Value, RequestId>) {
            m_text += value.text();
        } else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>) {
            m_text += std::to_string(value.count());
        } else if constexpr (std::is_enum_v<Value>) {
            m_text += std::to_string(static_cast<int>(value));
        } else {
            m_text += std::to_string(value);
        }
        m_text += ";";
    }

    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

std::string makeFrame(const std::string &messages)
{
    return frameBegin + messages + frameEnd;
}

std::string print(LinkMessage message)
{
    FieldPrinter printer;
    std::visit(
        [&printer](auto &content) {
            content.serialize(printer);
        },
        message);
    return std::to_string(message.index()) + ":" + printer.text();
}

// Sets all fields of a message to arbitrary values.
class FieldGenerator
{
public:
    template <typename Value>
    void operator()(const char * /*key*/, Value &value)
    {
        if constexpr (std::is_same_v<Value, RequestId>) {
            value = RequestId{ .high = *rc::gen::arbitrary<std::uint64_t>(),
                               .low = *rc::gen::arbitrary<std::uint64_t>() };
        } else if constexpr (std::is_same_v<Value, std::chrono::milliseconds>) {
            value = std::chrono::milliseconds(*rc::gen::inRange(0, 86400000));
        } else if constexpr (std::is_same_v<Value, Verdict>) {
            value = static_cast<Verdict>(*rc::gen::inRange(0, 3));
        } else if constexpr (std::is_same_v<Value, RequestKind>) {
            value = static_cast<RequestKind>(*rc::gen::inRange(0, 2));
        } else if constexpr (std::is_same_v<Value, std::string>) {
            value = *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
        } else {
            value = *rc::gen::arbitrary<Value>();
        }
    }
};

template <std::size_t Index = 0>
void roundTripAll()
{
    if constexpr (Index < std::variant_size_v<LinkMessage>) {
        CHECK(rc::check("message " + std::to_string(Index), [] {
            std::variant_alternative_t<Index, LinkMessage> message;
            FieldGenerator generator;
            message.serialize(generator);
            const auto decoded = decode(makeFrame(encode(message)));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->size() == 1U);
            RC_ASSERT(print(decoded->front()) == print(message));
        }));
        roundTripAll<Index + 1>();
    }
}

} // namespace

TEST_CASE("link messages")
{
    SECTION("are unchanged after encoding and decoding")
    {
        roundTripAll();
    }

    SECTION("are decoded without their unknown fields, even if these are nested")
    {
        // The CBOR encoding of {"#": 12, "n": 7, "new": {"a": [1, 2]}}.
        const std::string frame = "\xa3\x61#\x0c\x61n\x07\x63new\xa1\x61"
                                  "a\x82\x01\x02";
        const auto messages = decode(makeFrame(frame));
        REQUIRE(messages.has_value());
        CHECK(std::get<Ping>(messages->front()).number == 7);
    }

    SECTION("are refused if they are malformed")
    {
        const std::string frame = makeFrame(encode(Ping{ .number = 7 }) + encode(Ping{ .number = 8 }));
        REQUIRE(decode(frame)->size() == 2);
        for (std::size_t length = 0; length < frame.size(); ++length) {
            CHECK_FALSE(decode(frame.substr(0, length)).has_value());
        }
        CHECK_FALSE(decode("garbage").has_value());
        CHECK_FALSE(decode(makeFrame("\xa1\x61#\x18\x63")).has_value()); // a type that does not exist
        CHECK_FALSE(decode(makeFrame("\xa2\x61#\x0c\x61n\x61x")).has_value()); // a text in place of a number
        CHECK_FALSE(decode("\x07").has_value());
        CHECK_FALSE(decode(encode(Ping{ .number = 7 })).has_value()); // a message outside a frame
        CHECK_FALSE(decode(makeFrame("\x07")).has_value());
    }

    SECTION("are refused at constant stack depth if they are deeply nested")
    {
        CHECK_FALSE(decode(std::string(4U << 20U, '\x81')).has_value());
        CHECK_FALSE(decode(std::string(4U << 20U, '\xbf')).has_value());
    }

    SECTION("are refused if a number is out of range")
    {
        // Sets the verdict of a Failed message to 9, which is no verdict.
        std::string frame = makeFrame(encode(Failed{ .verdict = Verdict::Ran }));
        const std::size_t position = frame.find("av");
        REQUIRE(position != std::string::npos);
        frame[position + 2] = 9;
        CHECK_FALSE(decode(frame).has_value());
    }

    SECTION("do not crash the decoder if they are random bytes")
    {
        CHECK(rc::check([](const std::string &bytes) {
            decode(bytes);
        }));
    }
}
