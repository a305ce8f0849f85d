#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "zinniadock/connection/linkmessage.h"

// Any frame is decoded or refused; a decoded message survives a second way through the codec unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view frame(reinterpret_cast<const char *>(data), size);
    const auto messages = zinniadock::decode(frame);
    if (!messages) {
        return 0;
    }
    constexpr char arrayStart = '\x9f';
    constexpr char arrayEnd = '\xff';
    for (const zinniadock::LinkMessage &message : *messages) {
        const std::string bytes = zinniadock::encode(message);
        const auto again = zinniadock::decode(arrayStart + bytes + arrayEnd);
        if (!again || again->size() != 1 || zinniadock::encode(again->front()) != bytes) {
            std::abort();
        }
    }
    return 0;
}
