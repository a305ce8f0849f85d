#include "forwarding.h"

#include <csignal>
#include <utility> // Boost.Asio 1.74 uses std::exchange without it

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "zinniadock/process/forwardingentry.h"
#include "zinniadock/process/gracefulstop.h"
#include "zinniadock/process/observing/eventlog.h"
#include "zinniadock/process/watchingsidecar.h"

namespace zinniadock
{

namespace
{

constexpr std::chrono::milliseconds settingsPollInterval{ 2000 };

/// Requests in progress are ended this long before the process is killed, so that their responses are sent in time.
constexpr std::chrono::milliseconds stopMargin{ 600 };

/// Runs one role on one network thread: starts it, reloads its settings and stops it.
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
        Problems ignored; // the caller has already read and checked the file
        m_settingsText = readFile(m_file, ignored);
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
        return m_hasCutRequests ? ExitCode::DrainTimeout : ExitCode::Done;
    }

private:
    void spawn(Awaitable<void> (ForwardingProcess::*task)())
    {
        asio::co_spawn(
            m_context,
            [this, task]() {
                return (this->*task)();
            },
            asio::detached);
    }

    Awaitable<void> waitForSignals()
    {
        while (!m_stopping) {
            IoError error;
            const int signalNumber = co_await m_signals.async_wait(redirectError(error));
            if (error) {
                co_return;
            }
            if (signalNumber == SIGHUP) {
                reloadSettingsIfChanged();
            } else {
                m_stopping = true;
            }
        }
        co_await stop();
    }

    Awaitable<void> stop()
    {
        logEvent("daemon", "stopping", { { "role", m_settings.daemon.role } });
        const StopTiming timing{ .lameDuck = m_settings.entry.lameDuck,
                                 .limit = m_settings.forwarding.stopWithin() - stopMargin };
        m_hasCutRequests = co_await stopGracefully(m_role, timing);
        logEvent("daemon", "stopped", { { "role", m_settings.daemon.role }, { "cut", m_hasCutRequests ? 1 : 0 } });
        m_role.stop();
        m_context.stop();
    }

    // Polls the settings file, which may change without a SIGHUP.
    Awaitable<void> watchSettings()
    {
        while (!m_stopping) {
            co_await sleepFor(settingsPollInterval);
            reloadSettingsIfChanged();
        }
    }

    void reloadSettingsIfChanged()
    {
        Problems problems;
        const std::string text = readFile(m_file, problems);
        if (!problems.empty() || text == m_settingsText) {
            return;
        }
        const Settings settings = parseSettings(text, m_file, problems);
        m_settingsText = text;
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
    std::string m_settingsText;
    bool m_stopping = false;
    bool m_hasCutRequests = false;
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
