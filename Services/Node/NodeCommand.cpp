#include <Node/NodeCommand.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <Node/NodeService.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DECLARE_string(log_level);

namespace Node {

static constexpr int usageExitCode = 2;

static void handleSignals(Core::Runtime& runtime, NodeService& node, boost::asio::signal_set& signals, Core::Duration drainTimeout)
{
    signals.async_wait([&runtime, &node, &signals, drainTimeout](boost::system::error_code error, int) {
        if (error)
            return;
        node.drain(runtime.now() + drainTimeout);
        // A second signal hands over at once what is left.
        handleSignals(runtime, node, signals, Core::Duration {});
    });
}

int runNodeCommand(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto faults = Core::applyEnvironmentToFlags();
    auto const settings = nodeSettingsFromFlags(faults);
    for (auto const& fault : faults)
        std::fprintf(stderr, "hyssopstep node: %s\n", fault.c_str());
    if (!faults.empty())
        return usageExitCode;

    Core::configureLog(Core::logLevelFromName(FLAGS_log_level), settings.nodeId);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    NodeService node(runtime, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    Core::LastReason reason;
    if (!node.start(reason)) {
        std::fprintf(stderr, "hyssopstep node: %s\n", reason.message.c_str());
        return usageExitCode;
    }
    handleSignals(runtime, node, signals, settings.drainTimeout);
    context.run();
    Core::logEvent(Core::LogLevel::Info, "stopped");
    return 0;
}

}
