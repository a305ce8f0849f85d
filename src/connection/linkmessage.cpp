#include "zinniadock/connection/linkmessage.h"

#include <array>
#include <cassert>
#include <limits>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace zinniadock
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxFrameBytes = 8U << 20U;
constexpr std::size_t maxFields = 64;
constexpr std::size_t maxNesting = 6;
constexpr std::size_t maxMessages = 65536;
constexpr const char *typeField = "#";

using FieldValue = std::variant<std::monostate, std::uint64_t, std::int64_t, bool, double, std::string>;

struct Field
{
    std::string key;
    FieldValue value;
};

using Fields = std::vector<Field>;

// Builds a flat list of fields for each map in the frame's array. A DOM parser would recurse once per byte of a frame
// of nested arrays. This SAX handler stops the parser at a fixed depth.
class MessageSaxHandler final : public Json::json_sax_t
{
public:
    std::vector<Fields> &messages()
    {
        return m_messages;
    }

    bool null() override
    {
        return store(std::monostate());
    }

    bool boolean(bool value) override
    {
        return store(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return store(static_cast<std::int64_t>(value));
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return store(static_cast<std::uint64_t>(value));
    }

    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return store(value);
    }

    bool string(string_t &value) override
    {
        return store(std::move(value));
    }

    bool binary(binary_t &value) override
    {
        return store(std::string(value.begin(), value.end()));
    }

    bool start_object(std::size_t /*elements*/) override
    {
        if (m_depth == arrayDepth) {
            m_messages.emplace_back();
        }
        return ++m_depth <= maxNesting && m_depth > arrayDepth && m_messages.size() <= maxMessages;
    }

    bool key(string_t &value) override
    {
        if (m_depth != messageDepth) {
            return true;
        }
        Fields &fields = m_messages.back();
        if (fields.size() >= maxFields) {
            return false;
        }
        fields.push_back(Field{ .key = std::move(value), .value = {} });
        return true;
    }

    bool end_object() override
    {
        --m_depth;
        return true;
    }

    bool start_array(std::size_t /*elements*/) override
    {
        return ++m_depth <= maxNesting && m_depth != messageDepth;
    }

    bool end_array() override
    {
        --m_depth;
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    static constexpr std::size_t arrayDepth = 1;
    static constexpr std::size_t messageDepth = 2;

    // Skips the values inside nested arrays and maps. Only fields that are unknown to this version have nested values.
    // Returns false for a value outside of a message, which makes the frame malformed.
    bool store(FieldValue value)
    {
        if (m_depth < messageDepth) {
            return false;
        }
        if (m_depth == messageDepth && !m_messages.back().empty()) {
            m_messages.back().back().value = std::move(value);
        }
        return true;
    }

    std::vector<Fields> m_messages;
    std::size_t m_depth = 0;
};

template <typename Value>
concept Enumeration = std::is_enum_v<Value>;

class Encoder
{
public:
    explicit Encoder(std::size_t type)
    {
        m_object[typeField] = type;
    }

    template <typename Value>
    void operator()(const char *key, const Value &value)
    {
        assert(!m_object.contains(key));
        if constexpr (Enumeration<Value>) {
            m_object[key] = static_cast<std::uint64_t>(value);
        } else {
            m_object[key] = value;
        }
    }

    void operator()(const char *key, const RequestId &value)
    {
        std::array<std::uint8_t, 2 * sizeof(std::uint64_t)> bytes{};
        for (std::size_t i = 0; i < sizeof(std::uint64_t); ++i) {
            bytes[i] = static_cast<std::uint8_t>(value.high >> (8U * i));
            bytes[i + sizeof(std::uint64_t)] = static_cast<std::uint8_t>(value.low >> (8U * i));
        }
        m_object[key] = Json::binary({ bytes.begin(), bytes.end() });
    }

    void operator()(const char *key, const std::chrono::milliseconds &value)
    {
        m_object[key] = value.count();
    }

    std::string bytes() const
    {
        std::string out;
        Json::to_cbor(m_object, out);
        return out;
    }

private:
    Json m_object = Json::object();
};

class Decoder
{
public:
    explicit Decoder(Fields &fields)
        : m_fields(fields)
    {
    }

    bool valid() const
    {
        return m_valid;
    }

    template <typename Value>
    void operator()(const char *key, Value &value)
    {
        Field *field = find(key);
        if (field == nullptr) {
            return;
        }
        if constexpr (std::is_same_v<Value, bool>) {
            assign<bool>(*field, value);
        } else if constexpr (std::is_same_v<Value, std::string>) {
            assign<std::string>(*field, value);
        } else if constexpr (std::is_same_v<Value, double>) {
            assign<double>(*field, value);
        } else {
            assignInteger(*field, value);
        }
    }

    void operator()(const char *key, RequestKind &value)
    {
        std::uint8_t number = 0;
        (*this)(key, number);
        m_valid = m_valid && number <= static_cast<std::uint8_t>(RequestKind::Call);
        value = static_cast<RequestKind>(number);
    }

    void operator()(const char *key, Verdict &value)
    {
        std::uint8_t number = static_cast<std::uint8_t>(Verdict::MayHaveRun);
        (*this)(key, number);
        m_valid = m_valid && number <= static_cast<std::uint8_t>(Verdict::Ran);
        value = static_cast<Verdict>(number);
    }

    void operator()(const char *key, RequestId &value)
    {
        std::string bytes;
        (*this)(key, bytes);
        if (bytes.size() != 2 * sizeof(std::uint64_t)) {
            m_valid = false;
            return;
        }
        for (std::size_t i = 0; i < sizeof(std::uint64_t); ++i) {
            value.high |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i])) << (8U * i);
            value.low |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i + sizeof(std::uint64_t)]))
                << (8U * i);
        }
    }

    void operator()(const char *key, std::chrono::milliseconds &value)
    {
        constexpr std::chrono::milliseconds maxDuration = std::chrono::hours(24);
        std::uint64_t count = 0;
        (*this)(key, count);
        m_valid = m_valid && count <= static_cast<std::uint64_t>(maxDuration.count());
        value = std::chrono::milliseconds(count);
    }

private:
    Field *find(const char *key)
    {
        for (Field &field : m_fields) {
            if (field.key == key) {
                return &field;
            }
        }
        return nullptr;
    }

    template <typename Stored, typename Value>
    void assign(Field &field, Value &value)
    {
        if (auto *stored = std::get_if<Stored>(&field.value)) {
            value = std::move(*stored);
        } else {
            m_valid = false;
        }
    }

    template <typename Value>
    void assignInteger(const Field &field, Value &value)
    {
        if (const auto *number = std::get_if<std::uint64_t>(&field.value);
            number != nullptr && std::in_range<Value>(*number)) {
            value = static_cast<Value>(*number);
        } else if (const auto *negative = std::get_if<std::int64_t>(&field.value);
                   negative != nullptr && std::in_range<Value>(*negative)) {
            value = static_cast<Value>(*negative);
        } else {
            m_valid = false;
        }
    }

    Fields &m_fields;
    bool m_valid = true;
};

template <std::size_t Type = 0>
std::optional<LinkMessage> decodeAs(std::size_t type, Fields &fields)
{
    if constexpr (Type < std::variant_size_v<LinkMessage>) {
        if (type != Type) {
            return decodeAs<Type + 1>(type, fields);
        }
        std::variant_alternative_t<Type, LinkMessage> message;
        Decoder decoder(fields);
        message.serialize(decoder);
        if (!decoder.valid()) {
            return std::nullopt;
        }
        return message;
    } else {
        return std::nullopt;
    }
}

std::optional<LinkMessage> decodeFields(Fields &fields)
{
    for (const Field &field : fields) {
        if (field.key == typeField) {
            const auto *type = std::get_if<std::uint64_t>(&field.value);
            return type == nullptr ? std::nullopt : decodeAs(*type, fields);
        }
    }
    return std::nullopt;
}

} // namespace

bool isFrequent(const LinkMessage &message)
{
    return std::holds_alternative<Token>(message) || std::holds_alternative<Ack>(message)
        || std::holds_alternative<Ping>(message) || std::holds_alternative<Pong>(message);
}

std::string encode(LinkMessage message)
{
    Encoder encoder(message.index());
    std::visit(
        [&encoder](auto &content) {
            content.serialize(encoder);
        },
        message);
    return encoder.bytes();
}

std::optional<std::vector<LinkMessage>> decode(std::string_view frame)
{
    if (frame.size() > maxFrameBytes) {
        return std::nullopt;
    }
    MessageSaxHandler handler;
    if (!Json::sax_parse(frame.begin(), frame.end(), &handler, Json::input_format_t::cbor)) {
        return std::nullopt;
    }
    std::vector<LinkMessage> messages;
    messages.reserve(handler.messages().size());
    for (Fields &fields : handler.messages()) {
        std::optional<LinkMessage> message = decodeFields(fields);
        if (!message) {
            return std::nullopt;
        }
        messages.push_back(std::move(*message));
    }
    return messages;
}

} // namespace zinniadock
