#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>

#include "zinniadock/process/observing/log.h"

int main(int argc, char **argv)
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const char *level = std::getenv("ZINNIADOCK_LOG"); // NOLINT(concurrency-mt-unsafe): before any thread
    if (level != nullptr) {
        zinniadock::startLog(zinniadock::parseLogLevel(level).value_or(zinniadock::LogLevel::Info), "test");
    }
    return Catch::Session().run(argc, argv);
}
