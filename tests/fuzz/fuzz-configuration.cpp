#include <cstdint>
#include <cstdlib>
#include <string>

#include "zinniadock/process/settings.h"
#include "zinniadock/version/configuration.h"

// Any text gives a configuration or problems. The canonical text of a configuration without problems parses without
// problems and is formatted unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace zinniadock;
    const std::string text(reinterpret_cast<const char *>(data), size);
    Problems settingsProblems;
    parseSettings(text, "fuzz", settingsProblems);
    Problems problems;
    const Configuration configuration = parseConfiguration(text, "fuzz", problems);
    checkConfiguration(configuration, "fuzz", problems);
    if (!problems.empty()) {
        return 0;
    }
    const std::string canonical = formatConfiguration(configuration);
    const Configuration reparsed = parseConfiguration(canonical, "fuzz", problems);
    if (!problems.empty() || formatConfiguration(reparsed) != canonical) {
        std::abort();
    }
    return 0;
}
