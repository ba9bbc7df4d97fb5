#include <Node/NodeSettings.h>

#include <LibCore/Settings.h>
#include <Node/OperatorEndpoint.h>
#include <gflags/gflags.h>

DEFINE_string(node_id, "", "id of this node; the platform's id of the host");
DEFINE_string(data_centre, "", "data centre of this node");
DEFINE_string(region, "", "region of this node");
DEFINE_string(client_listen, "127.0.0.1:8080", "IP number and port for clients; port 0 lets the kernel choose");
DEFINE_string(operator_listen, "127.0.0.1:8081", "IP number and port for operators and metrics");
DEFINE_string(peer_listen, "127.0.0.1:8082", "IP number and port for other nodes");
DEFINE_string(seeds, "", "peer endpoints of other nodes, separated by commas, used until nodes are known");
DEFINE_string(peer_routes, "", "ANNOUNCED=REACHED endpoints separated by commas, for peers that are reached through address translation");
DEFINE_string(platform, "", "IP number and port of the platform's object and cloud API");
DEFINE_int32(drain_timeout_ms, 300000, "milliseconds that requests in progress get to finish in a graceful stop before they are handed over");
DEFINE_int32(reclaim_margin_ms, 1500, "milliseconds before an announced reclaim at which requests in progress are handed over");
DEFINE_string(routing_policy, "predicted_time", "predicted_time, or least_outstanding as a baseline for measurements");
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
    Core::LastReason reason;
    return Core::parseEndpoint(value, reason).value_or(Core::Endpoint {});
}

NodeSettings nodeSettingsFromFlags(std::vector<std::string>& faults)
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
    checker.checkRange("drain_timeout_ms", FLAGS_drain_timeout_ms, 0, hourInMilliseconds, "milliseconds");
    checker.checkRange("reclaim_margin_ms", FLAGS_reclaim_margin_ms, 0, hourInMilliseconds, "milliseconds");
    settings.drainTimeout = std::chrono::milliseconds(FLAGS_drain_timeout_ms);
    settings.reclaimMargin = std::chrono::milliseconds(FLAGS_reclaim_margin_ms);
    if (FLAGS_routing_policy == "least_outstanding")
        settings.routingPolicy = Routing::RoutingPolicy::LeastOutstanding;
    else if (FLAGS_routing_policy != "predicted_time")
        checker.addFault("routing_policy", FLAGS_routing_policy, "predicted_time or least_outstanding");
    settings.operatorKeyDigest = FLAGS_operator_key_digest;
    faults.insert(faults.end(), checker.faults().begin(), checker.faults().end());
    return settings;
}

}
