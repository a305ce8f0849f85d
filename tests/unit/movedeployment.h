#pragma once

#include <functional>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "fleet.h"
#include "forwardingfixture.h"
#include "rawcaller.h"

namespace zinniadock::test
{

/// An engine with a generation, and a second engine that is listed when the first begins to drain.
struct MoveDeployment
{
    MoveDeployment()
        : entry(entrySettings(store.port(), sourceSidecar->port()))
    {
        REQUIRE(eventually([this] {
            return isReady(entry);
        }));
    }

    /// Requests a stream whose source begins to drain after some events, and returns what the caller gets.
    /// \param afterStart  called when the source has sent some events, before it begins to drain
    SeenResponse requestMovedStream(const std::function<void()> &afterStart = nullptr)
    {
        source.setEventInterval(std::chrono::milliseconds(30));
        auto response = std::async(std::launch::async, [this] {
            return requestRaw(entry->port(), rawGeneration("moved"));
        });
        REQUIRE(eventually([this] {
            return source.startedRequests().size() == 1;
        }));
        if (afterStart) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            afterStart();
        }
        store.put("servers/e2", target.record("engines"));
        source.startDraining(std::chrono::milliseconds(1500));
        return response.get();
    }

    standin::PlatformServer source{ "e1", "127.0.0.2" };
    standin::PlatformServer target{ "e2", "127.0.0.3" };
    SeededStore store{ "e1", source.record("engines") };
    RoleThread<EngineSidecar> sourceSidecar{ sidecarSettings("127.0.0.2", 0, source.endpoint()) };
    RoleThread<EngineSidecar> targetSidecar{ sidecarSettings("127.0.0.3", sourceSidecar->port(), target.endpoint()) };
    RoleThread<ForwardingEntry> entry;
};

} // namespace zinniadock::test
