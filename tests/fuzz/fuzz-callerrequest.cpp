#include <cstdint>
#include <cstdlib>
#include <string>

#include <nlohmann/json.hpp>

#include "zinniadock/request/callerrequest.h"

// Any body is either accepted or refused with the verdict NotRun. The engine body of an accepted request and the error
// body of a refused request are valid JSON.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace zinniadock;
    CallerRequest request;
    request.body.assign(reinterpret_cast<const char *>(data), size);
    for (const char *path : { "/v1/completions", "/v1/chat/completions" }) {
        request.path = path;
        const auto parsed = parseGeneration(request);
        if (const auto *failure = std::get_if<Failure>(&parsed)) {
            const bool isJson = nlohmann::json::accept(errorBody(*failure, request.id));
            if (failure->verdict != Verdict::NotRun || !isJson) {
                std::abort();
            }
        } else if (!nlohmann::json::accept(engineBody(request.body, GenerationKey(), 1))) {
            std::abort();
        }
    }
    return 0;
}
