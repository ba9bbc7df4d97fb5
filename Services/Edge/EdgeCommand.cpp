#include <Edge/EdgeCommand.h>

#include <Edge/EdgeService.h>
#include <LibCore/Log.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags_declare.h>
#include <platform/DutyClient.h>
#include <platform/HeaderCodec.h>
#include <platform/StoreClient.h>
#include <platform/StoreCodec.h>
#include <platform/WireNames.h>

DECLARE_string(log_level);

namespace Edge {

using namespace std::chrono_literals;

static constexpr int usageExitCode = 2;

namespace {

// Reads the settings again on SIGHUP and when their file changes.
class SettingsWatcher {
public:
    SettingsWatcher(Core::Runtime& runtime, EdgeService& service, int argc, char** argv)
        : m_runtime(runtime)
        , m_service(service)
        , m_argc(argc)
        , m_argv(argv)
        , m_changedAt(settingsFileChangedAt())
    {
    }

    Core::Awaitable<void> run()
    {
        static constexpr Core::Duration interval = 1s;
        while (true) {
            co_await m_runtime.sleepFor(interval);
            if (settingsFileChangedAt() != m_changedAt)
                reload();
        }
    }

    void reload()
    {
        m_changedAt = settingsFileChangedAt();
        std::vector<std::string> faults;
        std::optional<std::string> help;
        auto settings = readEdgeSettings(m_argc, m_argv, faults, help);
        for (auto const& fault : faults)
            Core::logEvent(Core::LogLevel::Error, "settings_refused", { { "fault", fault } });
        if (faults.empty())
            m_service.reload(std::move(settings));
    }

private:
    Core::Runtime& m_runtime;
    EdgeService& m_service;
    int m_argc;
    char** m_argv;
    std::optional<std::int64_t> m_changedAt;
};

}

static void handleSignals(EdgeService& service, SettingsWatcher& watcher, boost::asio::signal_set& signals)
{
    signals.async_wait([&](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            watcher.reload();
        else
            service.drain();
        handleSignals(service, watcher, signals);
    });
}

int runEdgeCommand(int argc, char** argv)
{
    std::vector<std::string> faults;
    std::optional<std::string> help;
    auto const settings = readEdgeSettings(argc, argv, faults, help);
    if (help) {
        std::fputs(help->c_str(), stdout);
        return 0;
    }
    for (auto const& fault : faults)
        std::fprintf(stderr, "hyssopstep edge: %s\n", fault.c_str());
    if (!faults.empty())
        return usageExitCode;

    Core::configureLog(Core::logLevelFromName(FLAGS_log_level), settings.nodeId);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Core::Runtime runtime(context);
    HTTP::Client platformClient(runtime, HTTP::ClientLimits { .connectTimeout = storeConnectTimeout, .idleTimeout = 5s, .unacknowledgedTimeout = 2s });
    PlatformAdapter::HeaderCodec const requests;
    PlatformAdapter::StoreCodec const objects;
    PlatformAdapter::StoreClient store(runtime, platformClient, settings.platform);
    std::optional<PlatformAdapter::DutyClient> duties;
    if (settings.cloud && (settings.reportsUsage || settings.ordersServers))
        duties.emplace(platformClient, *settings.cloud);
    EdgeService service(runtime, settings, { requests, objects, store, duties ? &*duties : nullptr, std::string(PlatformAdapter::readyPath) });
    SettingsWatcher watcher(runtime, service, argc, argv);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    Core::Error reason;
    if (!service.start(reason)) {
        std::fprintf(stderr, "hyssopstep edge: %s\n", reason.message.c_str());
        return usageExitCode;
    }
    handleSignals(service, watcher, signals);
    runtime.spawn(watcher.run());
    context.run();
    return 0;
}

}
