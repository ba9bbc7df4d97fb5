#include <Edge/EdgeCommand.h>

#include <Edge/EdgeService.h>
#include <LibCore/Log.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags_declare.h>
#include <malloc.h>
#include <platform/DutyClient.h>
#include <platform/HeaderCodec.h>
#include <platform/RolloutCodec.h>
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
        , m_modifiedAt(settingsFileModifiedAt())
    {
    }

    Core::Awaitable<void> run()
    {
        static constexpr Core::Duration interval = 1s;
        while (true) {
            co_await m_runtime.sleepFor(interval);
            if (settingsFileModifiedAt() != m_modifiedAt)
                reload();
        }
    }

    void reload()
    {
        m_modifiedAt = settingsFileModifiedAt();
        std::vector<std::string> errors;
        std::optional<std::string> help;
        auto settings = readEdgeSettings(m_argc, m_argv, errors, help);
        for (auto const& error : errors)
            Core::logEvent(Core::LogLevel::Error, "settings_refused", { { "fault", error } });
        if (errors.empty())
            m_service.reload(std::move(settings));
    }

private:
    Core::Runtime& m_runtime;
    EdgeService& m_service;
    int m_argc;
    char** m_argv;
    std::optional<std::int64_t> m_modifiedAt;
};

}

static void handleSignals(EdgeService& service, SettingsWatcher& watcher, boost::asio::signal_set& signals)
{
    signals.async_wait([&](boost::system::error_code errorCode, int signal) {
        if (errorCode)
            return;
        if (signal == SIGHUP)
            watcher.reload();
        else
            service.drain();
        handleSignals(service, watcher, signals);
    });
}

// A reload that is requested while the process starts waits until it is handled, since it would end the process by default.
static void setReloadSignalMask(int operation)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(operation, &signals, nullptr);
}

// Bodies and responses are returned to the system as soon as they are freed. By default, the allocator keeps blocks of the size of the largest
// one that was ever freed, and the memory of a crowd of clients would stay with the process.
static void limitRetainedMemory()
{
    static constexpr int mappedBlockBytes = 128 * 1024;
    static constexpr int retainedBytes = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, retainedBytes);
}

int runEdgeCommand(int argc, char** argv)
{
    limitRetainedMemory();
    setReloadSignalMask(SIG_BLOCK);
    std::vector<std::string> errors;
    std::optional<std::string> help;
    auto const settings = readEdgeSettings(argc, argv, errors, help);
    if (help) {
        std::fputs(help->c_str(), stdout);
        return 0;
    }
    for (auto const& error : errors)
        std::fprintf(stderr, "hyssopstep edge: %s\n", error.c_str());
    if (!errors.empty())
        return usageExitCode;

    Core::configureLog(Core::logLevelFromName(FLAGS_log_level), settings.nodeId);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    Core::Runtime runtime(context);
    HTTP::Client platformClient(runtime, HTTP::ClientLimits { .connectTimeout = storeConnectTimeout, .idleTimeout = 5s, .unacknowledgedTimeout = 2s });
    PlatformAdapter::HeaderCodec const requestCodec;
    PlatformAdapter::StoreCodec const objectCodec;
    PlatformAdapter::RolloutCodec const rolloutCodec;
    PlatformAdapter::StoreClient store(runtime, platformClient, settings.platform);
    std::optional<PlatformAdapter::DutyClient> dutyClient;
    if (settings.cloud && (settings.reportsUsage || settings.ordersServers))
        dutyClient.emplace(platformClient, *settings.cloud);
    EdgeService service(runtime, settings, { requestCodec, objectCodec, store, dutyClient ? &*dutyClient : nullptr, std::string(PlatformAdapter::readyPath), &rolloutCodec });
    SettingsWatcher watcher(runtime, service, argc, argv);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    Core::Error error;
    if (!service.start(error)) {
        std::fprintf(stderr, "hyssopstep edge: %s\n", error.message.c_str());
        return usageExitCode;
    }
    handleSignals(service, watcher, signals);
    setReloadSignalMask(SIG_UNBLOCK);
    runtime.spawn(watcher.run());
    context.run();
    return 0;
}

}
