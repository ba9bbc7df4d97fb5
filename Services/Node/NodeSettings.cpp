#include <Node/NodeSettings.h>

#include <LibCore/Settings.h>
#include <Node/OperatorEndpoint.h>
#include <gflags/gflags.h>

DEFINE_string(node_id, "", "id of this node; the platform's id of the host");
DEFINE_string(data_centre, "", "data centre of this node");
DEFINE_string(region, "", "region of this node");
DEFINE_string(client_listen, "127.0.0.1:8080", "IP address and port for clients; port 0 lets the kernel choose");
DEFINE_string(operator_listen, "127.0.0.1:8081", "IP address and port for operators and metrics");
DEFINE_string(peer_listen, "127.0.0.1:8082", "IP address and port for other nodes");
DEFINE_string(seeds, "", "comma-separated peer endpoints of other nodes, contacted until the node has learned of others");
DEFINE_string(peer_routes, "", "comma-separated ADVERTISED=REACHABLE endpoints, for peers behind address translation");
DEFINE_string(platform, "", "IP address and port of the platform's object and cloud API");
DEFINE_int32(drain_timeout_ms, 300000, "milliseconds that requests in progress have to finish in a graceful shutdown before they are handed over");
DEFINE_int32(reclaim_margin_ms, 1500, "milliseconds before an announced reclaim at which requests in progress are handed over");
DEFINE_string(routing_policy, "predicted_time", "predicted_time; least_outstanding and reported_load are baselines for measurements");
DEFINE_string(scheduling, "shortest_first", "shortest_first; fifo sends one priority for all requests, as a baseline for measurements");
DEFINE_string(attention_state, "move", "move: transfer attention state when a stream continues on another engine; recompute: a baseline for measurements");
DEFINE_string(shedding, "on", "on: reject requests of teams above their share when a model is overloaded; off: a baseline for measurements");
DEFINE_string(fleet_control, "off", "on: this node is a candidate for fleet control, which starts and stops hosts; off: it is not");
DEFINE_int32(fleet_lease_ms, 10000, "duration of the fleet lease in milliseconds; must be the same on all nodes");
DEFINE_int32(fleet_interval_ms, 2000, "milliseconds between two fleet planning rounds");
DEFINE_int32(fleet_peak_window_ms, 900000, "milliseconds for which a demand peak is remembered; no host is drained until demand has been observed that long");
DEFINE_string(engine_fencing, "ignored", "checked: all engines reject commands with outdated fencing tokens; ignored: some may not");
DEFINE_double(memory_mb, 260, "memory of the host in MB, from which the limits on what is held for clients follow");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace Node {

static std::vector<std::string> splitAtCommas(std::string const& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size()) {
        auto const end = std::min(text.find(',', start), text.size());
        if (end > start)
            parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

static Core::Endpoint checkedEndpoint(Core::SettingChecker& checker, std::string_view name, std::string const& value)
{
    checker.checkEndpoint(name, value);
    Core::Error error;
    return Core::parseEndpoint(value, error).value_or(Core::Endpoint {});
}

NodeSettings nodeSettingsFromFlags(std::vector<std::string>& errors)
{
    static constexpr std::int64_t hourInMilliseconds = 3'600'000;
    Core::SettingChecker checker;
    NodeSettings settings;
    settings.nodeId = FLAGS_node_id;
    settings.dataCentre = FLAGS_data_centre;
    settings.region = FLAGS_region;
    checker.checkNotEmpty("node_id", FLAGS_node_id, "the platform's id of the host");
    checker.checkNotEmpty("data_centre", FLAGS_data_centre, "the name of a data centre");
    checker.checkNotEmpty("region", FLAGS_region, "the name of a region");
    settings.clientListen = checkedEndpoint(checker, "client_listen", FLAGS_client_listen);
    settings.operatorListen = checkedEndpoint(checker, "operator_listen", FLAGS_operator_listen);
    settings.peerListen = checkedEndpoint(checker, "peer_listen", FLAGS_peer_listen);
    settings.platform = checkedEndpoint(checker, "platform", FLAGS_platform);
    for (auto const& seed : splitAtCommas(FLAGS_seeds))
        settings.seeds.push_back(checkedEndpoint(checker, "seeds", seed));
    for (auto const& route : splitAtCommas(FLAGS_peer_routes)) {
        auto const separator = std::min(route.find('='), route.size());
        auto const announced = checkedEndpoint(checker, "peer_routes", route.substr(0, separator));
        settings.peerRoutes[announced.toString()] = checkedEndpoint(checker, "peer_routes", route.substr(std::min(separator + 1, route.size())));
    }
    static constexpr std::int64_t minimumMemory = 16;
    static constexpr std::int64_t maximumMemory = 1'048'576;
    checker.checkRange("memory_mb", static_cast<std::int64_t>(FLAGS_memory_mb), minimumMemory, maximumMemory, "MB");
    settings.memoryMegabytes = static_cast<std::uint32_t>(FLAGS_memory_mb);
    checker.checkRange("drain_timeout_ms", FLAGS_drain_timeout_ms, 0, hourInMilliseconds, "milliseconds");
    checker.checkRange("reclaim_margin_ms", FLAGS_reclaim_margin_ms, 0, hourInMilliseconds, "milliseconds");
    settings.drainTimeout = std::chrono::milliseconds(FLAGS_drain_timeout_ms);
    settings.reclaimMargin = std::chrono::milliseconds(FLAGS_reclaim_margin_ms);
    if (FLAGS_routing_policy == "least_outstanding")
        settings.routingPolicy = Routing::RoutingPolicy::LeastOutstanding;
    else if (FLAGS_routing_policy == "reported_load")
        settings.routingPolicy = Routing::RoutingPolicy::ReportedLoad;
    else if (FLAGS_routing_policy != "predicted_time")
        checker.addError("routing_policy", FLAGS_routing_policy, "predicted_time, least_outstanding or reported_load");
    if (FLAGS_scheduling == "fifo")
        settings.scheduling = Routing::Scheduling::ArrivalOrder;
    else if (FLAGS_scheduling != "shortest_first")
        checker.addError("scheduling", FLAGS_scheduling, "shortest_first or fifo");
    if (FLAGS_attention_state == "recompute")
        settings.attentionState = AttentionStatePolicy::Recompute;
    else if (FLAGS_attention_state != "move")
        checker.addError("attention_state", FLAGS_attention_state, "move or recompute");
    if (FLAGS_shedding == "off")
        settings.shedding = Shedding::Off;
    else if (FLAGS_shedding != "on")
        checker.addError("shedding", FLAGS_shedding, "on or off");
    static constexpr std::int64_t minimumLease = 500;
    static constexpr std::int64_t minuteInMilliseconds = 60'000;
    checker.checkRange("fleet_lease_ms", FLAGS_fleet_lease_ms, minimumLease, minuteInMilliseconds, "milliseconds");
    checker.checkRange("fleet_interval_ms", FLAGS_fleet_interval_ms, 10, minuteInMilliseconds, "milliseconds");
    checker.checkRange("fleet_peak_window_ms", FLAGS_fleet_peak_window_ms, 0, 24 * hourInMilliseconds, "milliseconds");
    settings.fleetLease = std::chrono::milliseconds(FLAGS_fleet_lease_ms);
    settings.fleetInterval = std::chrono::milliseconds(FLAGS_fleet_interval_ms);
    settings.fleetPeakWindow = std::chrono::milliseconds(FLAGS_fleet_peak_window_ms);
    if (FLAGS_fleet_control == "on")
        settings.controlsFleet = true;
    else if (FLAGS_fleet_control != "off")
        checker.addError("fleet_control", FLAGS_fleet_control, "on or off");
    if (FLAGS_engine_fencing == "checked")
        settings.engineFencing = Fleet::EngineFencing::Checked;
    else if (FLAGS_engine_fencing != "ignored")
        checker.addError("engine_fencing", FLAGS_engine_fencing, "checked or ignored");
    settings.operatorKeyDigest = FLAGS_operator_key_digest;
    errors.insert(errors.end(), checker.errors().begin(), checker.errors().end());
    return settings;
}

}
