#include <Edge/EdgeSettings.h>

#include <LibCore/CommandLine.h>
#include <LibCore/Settings.h>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <sys/stat.h>

DECLARE_string(node_id);
DECLARE_string(data_centre);
DECLARE_string(region);
DECLARE_string(client_listen);
DECLARE_string(seeds);
DECLARE_string(platform);
DECLARE_double(memory_mb);
DECLARE_string(log_level);
DEFINE_string(boot, "", "file of additional settings, one flag per line; lines without a value are ignored");
DEFINE_string(ready_listen, "127.0.0.1:8083", "IP address and port for the platform's readiness checks");
DEFINE_string(metrics_listen, "127.0.0.1:8084", "IP address and port for metrics");
DEFINE_string(peer_address, "127.0.0.1", "IP address for other nodes");
DEFINE_string(peer_ports, "7600,7601", "UDP port for node reports and TCP port for HTTP requests from other nodes");
DEFINE_bool(first_start, false, "whether the deployment starts for the first time");
DEFINE_string(cloud, "", "IP address and port of the platform's cloud API; empty if this deployment has no duties");
DEFINE_string(duties, "", "comma-separated duties that only the lease holder performs: usage_report, autoscale");
DEFINE_double(usage_window_s, 5, "length of a usage window in seconds");
DEFINE_double(lease_ms, 3000, "milliseconds during which a former lease holder must not acquire the duties again");
DEFINE_double(grace_s, 8, "seconds from SIGTERM until the platform kills the process");
DEFINE_double(processor_share, 1, "processor cores that this host gives the process; hosts with more work for the others");
DEFINE_double(retry_ratio, 0.1, "retries per request of a service, across all nodes");
DEFINE_double(retry_window_s, 10, "seconds over which retries are counted");
DEFINE_double(retry_slack, 10, "retries per window in addition to the ratio, across all nodes");
DEFINE_double(quota_window_s, 8, "seconds over which a team's limit is measured");
DEFINE_double(quota_slack, 0, "units by which a team may exceed its limit in a window");
DEFINE_string(adaptive_placement, "off", "placement by measured engine speeds and cached prefixes: auto, on or off");
DEFINE_string(admission_control, "auto", "waiting and refusals under overload: auto, on or off");
DEFINE_double(rollout_share, 0, "fraction of a service's requests that a version under evaluation may get; 0 without rollouts");

namespace Edge {

static Core::CommandDescription commandDescription()
{
    return {
        .usage = "edge [--boot=FILE] [FLAG...]",
        .description = "Runs the process of an entry host on a platform whose clients and backend servers speak HTTP, until SIGTERM. "
                       "SIGHUP, or a change of the settings file, reloads the settings.",
        .flags = {
            { "boot", "FILE", "" },
            { "node_id", "", "" },
            { "data_centre", "", "" },
            { "region", "", "" },
            { "client_listen", "IP:PORT", "" },
            { "ready_listen", "IP:PORT", "" },
            { "metrics_listen", "IP:PORT", "" },
            { "peer_address", "IP", "" },
            { "peer_ports", "FIRST,LAST", "" },
            { "seeds", "IP:PORT,...", "" },
            { "platform", "IP:PORT", "" },
            { "first_start", "", "" },
            { "cloud", "IP:PORT", "" },
            { "duties", "", "" },
            { "usage_window_s", "s, 1 to 3600", "" },
            { "lease_ms", "ms, 500 to 60000", "" },
            { "grace_s", "s, 1 to 3600", "" },
            { "processor_share", "cores, above 0", "" },
            { "retry_ratio", "0 to 1", "" },
            { "retry_window_s", "s, 1 to 3600", "" },
            { "retry_slack", "", "" },
            { "quota_window_s", "s, 1 to 3600", "" },
            { "quota_slack", "", "" },
            { "adaptive_placement", "auto, on or off", "" },
            { "admission_control", "auto, on or off", "" },
            { "rollout_share", "0 to 1", "" },
            { "memory_mb", "MB, 16 to 1048576", "" },
            { "log_level", "", "" },
        },
    };
}

static std::vector<std::string> readLines(std::string const& path, std::vector<std::string>& errors)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    if (!file) {
        errors.push_back("--boot: cannot read " + path);
        return lines;
    }
    std::string line;
    while (std::getline(file, line)) {
        bool const isFlag = line.starts_with("--");
        bool const hasValue = line.find('=') != std::string::npos && !line.ends_with('=');
        if (isFlag && hasValue)
            lines.push_back(line);
    }
    return lines;
}

static std::vector<std::string> splitList(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

static std::chrono::milliseconds toMilliseconds(double seconds)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

static Core::Endpoint endpointFrom(std::string const& text)
{
    Core::Error ignored;
    return Core::parseEndpoint(text, ignored).value_or(Core::Endpoint {});
}

static FeatureMode featureMode(std::string const& name, std::string const& text, Core::SettingChecker& checker)
{
    if (text == "on")
        return FeatureMode::On;
    if (text == "off")
        return FeatureMode::Off;
    if (text != "auto")
        checker.addError(name, text, "auto, on or off");
    return FeatureMode::Auto;
}

static EdgeSettings settingsFromFlags(std::vector<std::string>& errors)
{
    Core::SettingChecker checker;
    checker.checkNotEmpty("node_id", FLAGS_node_id, "the name of this node");
    checker.checkNotEmpty("data_centre", FLAGS_data_centre, "the data centre of this node");
    checker.checkEndpoint("client_listen", FLAGS_client_listen);
    checker.checkEndpoint("ready_listen", FLAGS_ready_listen);
    checker.checkEndpoint("metrics_listen", FLAGS_metrics_listen);
    checker.checkEndpoint("platform", FLAGS_platform);
    if (!FLAGS_cloud.empty())
        checker.checkEndpoint("cloud", FLAGS_cloud);
    auto const ports = splitList(FLAGS_peer_ports);
    if (ports.size() != 2)
        checker.addError("peer_ports", FLAGS_peer_ports, "two ports separated by a comma");
    checker.checkRange("usage_window_s", static_cast<std::int64_t>(FLAGS_usage_window_s), 1, 3600, "s");
    checker.checkRange("lease_ms", static_cast<std::int64_t>(FLAGS_lease_ms), 500, 60000, "ms");
    checker.checkRange("grace_s", static_cast<std::int64_t>(FLAGS_grace_s), 1, 3600, "s");
    if (FLAGS_processor_share <= 0)
        checker.addError("processor_share", std::to_string(FLAGS_processor_share), "a number of cores above 0");
    checker.checkRange("retry_window_s", static_cast<std::int64_t>(FLAGS_retry_window_s), 1, 3600, "s");
    checker.checkRange("quota_window_s", static_cast<std::int64_t>(FLAGS_quota_window_s), 1, 3600, "s");
    auto const adaptivePlacement = featureMode("adaptive_placement", FLAGS_adaptive_placement, checker);
    auto const admissionControl = featureMode("admission_control", FLAGS_admission_control, checker);
    if (!(FLAGS_rollout_share >= 0 && FLAGS_rollout_share <= 1))
        checker.addError("rollout_share", std::to_string(FLAGS_rollout_share), "a fraction from 0 to 1");
    checker.checkRange("memory_mb", static_cast<std::int64_t>(FLAGS_memory_mb), 16, 1048576, "MB");
    errors.insert(errors.end(), checker.errors().begin(), checker.errors().end());

    EdgeSettings settings;
    if (!errors.empty())
        return settings;
    auto const firstPort = static_cast<std::uint16_t>(std::strtoul(ports.front().c_str(), nullptr, 10));
    settings.nodeId = FLAGS_node_id;
    settings.dataCentre = FLAGS_data_centre;
    settings.region = FLAGS_region;
    settings.clientListen = endpointFrom(FLAGS_client_listen);
    settings.readyListen = endpointFrom(FLAGS_ready_listen);
    settings.metricsListen = endpointFrom(FLAGS_metrics_listen);
    settings.peerListen = { FLAGS_peer_address, firstPort };
    settings.peerHttpListen = { FLAGS_peer_address, static_cast<std::uint16_t>(firstPort + 1) };
    for (auto const& seed : splitList(FLAGS_seeds))
        settings.seedAddresses.push_back(seed.substr(0, seed.rfind(':')));
    settings.platform = endpointFrom(FLAGS_platform);
    settings.isFirstStart = FLAGS_first_start;
    if (!FLAGS_cloud.empty())
        settings.cloud = endpointFrom(FLAGS_cloud);
    for (auto const& duty : splitList(FLAGS_duties)) {
        settings.reportsUsage = settings.reportsUsage || duty == "usage_report";
        settings.ordersServers = settings.ordersServers || duty == "autoscale";
    }
    settings.usageWindow = toMilliseconds(FLAGS_usage_window_s);
    settings.leaseDuration = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_lease_ms));
    settings.gracePeriod = toMilliseconds(FLAGS_grace_s);
    settings.processorShare = FLAGS_processor_share;
    settings.retryRatio = FLAGS_retry_ratio;
    settings.retryWindow = toMilliseconds(FLAGS_retry_window_s);
    settings.retrySlack = FLAGS_retry_slack;
    settings.quotaWindow = std::chrono::seconds(static_cast<std::int64_t>(FLAGS_quota_window_s));
    settings.quotaSlack = FLAGS_quota_slack;
    settings.adaptivePlacement = adaptivePlacement;
    settings.admissionControl = admissionControl;
    settings.rolloutShare = FLAGS_rollout_share;
    settings.memoryMegabytes = static_cast<std::uint32_t>(FLAGS_memory_mb);
    return settings;
}

EdgeSettings readEdgeSettings(int argc, char const* const* argv, std::vector<std::string>& errors, std::optional<std::string>& help)
{
    auto const description = commandDescription();
    auto const first = Core::parseCommandLine(description, argc, argv);
    help = first.help;
    errors = first.errors;
    if (help || !errors.empty())
        return {};
    if (!FLAGS_boot.empty()) {
        auto const lines = readLines(FLAGS_boot, errors);
        std::vector<char const*> arguments { argv[0] };
        for (auto const& line : lines)
            arguments.push_back(line.c_str());
        // The last occurrence of a flag wins, so the command line overrides the file.
        arguments.insert(arguments.end(), argv + 1, argv + argc);
        auto const second = Core::parseCommandLine(description, static_cast<int>(arguments.size()), arguments.data());
        errors.insert(errors.end(), second.errors.begin(), second.errors.end());
    }
    return settingsFromFlags(errors);
}

std::optional<std::int64_t> settingsFileModifiedAt()
{
    struct stat status { };
    if (FLAGS_boot.empty() || stat(FLAGS_boot.c_str(), &status) != 0)
        return std::nullopt;
    return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1'000'000'000 + status.st_mtim.tv_nsec;
}

}
