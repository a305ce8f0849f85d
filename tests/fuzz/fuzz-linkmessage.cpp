#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "zinniadock/connection/linkmessage.h"

// Any frame is either decoded or refused. A decoded message is unchanged after it is encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view frame(reinterpret_cast<const char *>(data), size);
    const auto messages = zinniadock::decode(frame);
    if (!messages) {
        return 0;
    }
    constexpr char frameBegin = '\x9f';
    constexpr char frameEnd = '\xff';
    for (const zinniadock::LinkMessage &message : *messages) {
        const std::string bytes = zinniadock::encode(message);
        const auto decodedAgain = zinniadock::decode(frameBegin + bytes + frameEnd);
        if (!decodedAgain || decodedAgain->size() != 1 || zinniadock::encode(decodedAgain->front()) != bytes) {
            std::abort();
        }
    }
    return 0;
}
