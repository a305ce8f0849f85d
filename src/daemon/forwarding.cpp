#include "forwarding.h"

#include <csignal>
#include <utility> // Boost.Asio 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "zinniadock/process/eventlog.h"
#include "zinniadock/process/forwardingentry.h"
#include "zinniadock/process/watchingsidecar.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds settingsInterval{ 2000 };
constexpr std::chrono::milliseconds idleInterval{ 50 };

/// Distance kept to the end of the time that a stopping process has.
constexpr std::chrono::milliseconds stopMargin{ 600 };

/// Runs one role on one network thread, from its start over reloads to its stop.
template <typename Role>
class ForwardingProcess
{
public:
    ForwardingProcess(const Settings &settings, std::string file)
        : m_settings(settings)
        , m_file(std::move(file))
        , m_role(m_context, settings)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
        Problems ignored; // the text was read and checked just before
        m_text = readFile(m_file, ignored);
    }

    ExitCode run()
    {
        if (const std::error_code error = m_role.start()) {
            logEvent("daemon", "can't listen", { { "reason", error.message() } });
            return ExitCode::Failed;
        }
        logEvent("daemon", "started",
                 { { "role", m_settings.daemon.role },
                   { "version", ZINNIADOCK_VERSION },
                   { "data_centre", m_settings.daemon.dataCentre } });
        spawn(&ForwardingProcess::waitForSignals);
        spawn(&ForwardingProcess::watchSettings);
        m_context.run();
        return m_cut ? ExitCode::DrainTimeout : ExitCode::Done;
    }

private:
    void spawn(Awaitable<void> (ForwardingProcess::*duty)())
    {
        asio::co_spawn(
            m_context,
            [this, duty]() {
                return (this->*duty)();
            },
            asio::detached);
    }

    Awaitable<void> waitForSignals()
    {
        while (!m_stopping) {
            IoError error;
            const int number = co_await m_signals.async_wait(redirectError(error));
            if (error) {
                co_return;
            }
            if (number == SIGHUP) {
                readSettings();
            } else {
                m_stopping = true;
            }
        }
        co_await stopGracefully();
    }

    // Callers keep coming for a while, until the platform has noticed that the process is not ready.
    Awaitable<void> stopGracefully()
    {
        const auto began = std::chrono::steady_clock::now();
        const auto elapsed = [began] {
            return std::chrono::steady_clock::now() - began;
        };
        logEvent("daemon", "stopping", { { "role", m_settings.daemon.role } });
        const auto limit = m_settings.forwarding.stopWithin() - stopMargin;
        m_role.drain(limit);
        while (elapsed() < limit && (elapsed() < m_settings.entry.lameDuck || !m_role.isIdle())) {
            co_await sleepFor(idleInterval);
            if (elapsed() > m_settings.entry.lameDuck) {
                m_role.closeIdleConnections();
            }
        }
        m_cut = !m_role.isIdle();
        logEvent("daemon", "stopped", { { "role", m_settings.daemon.role }, { "cut", m_cut ? 1 : 0 } });
        m_role.stop();
        m_context.stop();
    }

    // The file may change without a signal.
    Awaitable<void> watchSettings()
    {
        while (!m_stopping) {
            co_await sleepFor(settingsInterval);
            readSettings();
        }
    }

    void readSettings()
    {
        Problems problems;
        const std::string text = readFile(m_file, problems);
        if (!problems.empty() || text == m_text) {
            return;
        }
        const Settings settings = parseSettings(text, m_file, problems);
        m_text = text;
        for (const Problem &problem : problems) {
            logEvent("daemon", "settings refused", { { "reason", problem.text() } });
        }
        if (problems.empty()) {
            m_role.reload(settings);
            logEvent("daemon", "settings reloaded", { { "file", m_file } });
        }
    }

    const Settings m_settings;
    const std::string m_file;
    asio::io_context m_context{ 1 };
    Role m_role;
    asio::signal_set m_signals;
    std::string m_text;
    bool m_stopping = false;
    bool m_cut = false;
};

} // namespace

ExitCode runForwarding(const Settings &settings, const std::string &file)
{
    startEventLog(settings.daemon.instance);
    ExitCode code = ExitCode::Done;
    if (settings.daemon.role == "entry") {
        code = ForwardingProcess<ForwardingEntry>(settings, file).run();
    } else {
        code = ForwardingProcess<EngineSidecar>(settings, file).run();
    }
    stopEventLog();
    return code;
}

} // namespace zinniadock
