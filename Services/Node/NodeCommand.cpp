#include <Node/NodeCommand.h>

#include <LibCore/CommandLine.h>
#include <LibCore/Log.h>
#include <Node/NodeService.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags_declare.h>

DECLARE_string(log_level);

namespace Node {

static constexpr int usageExitCode = 2;

static void handleSignals(Core::Runtime& runtime, NodeService& node, boost::asio::signal_set& signals, Core::Duration drainTimeout)
{
    signals.async_wait([&runtime, &node, &signals, drainTimeout](boost::system::error_code errorCode, int) {
        if (errorCode)
            return;
        node.drain(runtime.now() + drainTimeout);
        // A second signal hands over the remaining requests immediately.
        handleSignals(runtime, node, signals, Core::Duration {});
    });
}

static Core::CommandDescription commandDescription()
{
    return {
        .usage = "node --node_id=ID --data_centre=NAME --region=NAME --platform=IP:PORT [FLAG...]",
        .description = "Runs the process of an entry host until SIGTERM. Requests in progress are then finished or handed over; a second "
                       "SIGTERM hands them over immediately.",
        .flags = {
            { "node_id", "", "" },
            { "data_centre", "", "" },
            { "region", "", "" },
            { "client_listen", "IP:PORT", "" },
            { "operator_listen", "IP:PORT", "" },
            { "peer_listen", "IP:PORT", "" },
            { "peer_routes", "IP:PORT=IP:PORT,...", "" },
            { "seeds", "IP:PORT,...", "" },
            { "platform", "IP:PORT", "" },
            { "operator_key_digest", "", "" },
            { "drain_timeout_ms", "ms, 0 to 3600000", "" },
            { "reclaim_margin_ms", "ms, 0 to 3600000", "" },
            { "routing_policy", "", "" },
            { "scheduling", "", "" },
            { "attention_state", "", "" },
            { "shedding", "", "" },
            { "fleet_control", "", "" },
            { "fleet_lease_ms", "ms, 500 to 60000", "" },
            { "fleet_interval_ms", "ms, 10 to 60000", "" },
            { "fleet_peak_window_ms", "ms, 0 to 86400000", "" },
            { "engine_fencing", "", "" },
            { "memory_mb", "MB, 16 to 1048576", "" },
            { "log_level", "", "" },
        },
    };
}

int runNodeCommand(int argc, char** argv)
{
    auto const description = commandDescription();
    auto const commandLine = Core::parseCommandLine(description, argc, argv);
    if (commandLine.help) {
        std::fputs(commandLine.help->c_str(), stdout);
        return 0;
    }
    auto errors = commandLine.errors;
    auto const settings = nodeSettingsFromFlags(errors);
    for (auto const& error : errors)
        std::fprintf(stderr, "hyssopstep node: %s\n", error.c_str());
    if (!errors.empty())
        return usageExitCode;

    Core::configureLog(Core::logLevelFromName(FLAGS_log_level), settings.nodeId);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context;
    Core::Runtime runtime(context);
    NodeService node(runtime, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    Core::Error error;
    if (!node.start(error)) {
        std::fprintf(stderr, "hyssopstep node: %s\n", error.message.c_str());
        return usageExitCode;
    }
    handleSignals(runtime, node, signals, settings.drainTimeout);
    context.run();
    Core::logEvent(Core::LogLevel::Info, "stopped");
    return 0;
}

}
