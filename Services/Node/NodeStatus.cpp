#include <Node/NodeStatus.h>

namespace Node {

namespace json = boost::json;

static std::string_view phaseName(NodePhase phase)
{
    switch (phase) {
    case NodePhase::Starting:
        return "starting";
    case NodePhase::Serving:
        return "serving";
    case NodePhase::Draining:
        break;
    }
    return "draining";
}

static std::string_view livenessName(Membership::Liveness liveness)
{
    switch (liveness) {
    case Membership::Liveness::Live:
        return "live";
    case Membership::Liveness::Suspected:
        return "suspected";
    case Membership::Liveness::Dead:
        break;
    }
    return "dead";
}

static json::array nodeRows(Membership::NodeTable const& table)
{
    json::array rows;
    for (auto const& [id, row] : table.rows) {
        rows.push_back(json::object {
            { "id", id },
            { "dataCentre", row.dataCentre },
            { "liveness", json::string(livenessName(row.liveness)) },
            { "leaving", row.state == Membership::NodeState::Leaving },
            { "configurationGeneration", row.configurationGeneration },
        });
    }
    return rows;
}

static json::object serverRow(Routing::ServerRow const& row, Core::MonotonicTime now)
{
    json::object object {
        { "id", row.id },
        { "service", row.service },
        { "dataCentre", row.dataCentre },
        { "zone", row.zone },
        { "leaving", row.lifecycle == Routing::Lifecycle::Leaving },
        { "straggler", row.stragglerState == Routing::StragglerState::Straggler },
        { "outstanding", row.outstanding },
        { "avoided", row.backoffUntil > now },
    };
    if (row.report) {
        object["running"] = row.report->running;
        object["waiting"] = row.report->waiting;
    }
    if (row.serviceTime.samples > 0)
        object["secondsPerUnit"] = row.serviceTime.secondsPerUnit;
    return object;
}

static json::array teamRows(NodeTables const& tables, Core::MonotonicTime now)
{
    json::array rows;
    for (auto const& team : tables.configuration.desired.teams) {
        auto const found = tables.teamLimits.rows.find(team.name);
        rows.push_back(json::object {
            { "name", team.name },
            { "requestsPerSecond", Limits::demandOf(tables.teamLimits, team.name, now) },
            { "inProgress", found == tables.teamLimits.rows.end() ? 0 : found->second.inProgress },
        });
    }
    return rows;
}

std::size_t runningStreams(Stream::StreamTable const& streams)
{
    std::size_t running = 0;
    for (auto const& id : streams.idsWithRole(Stream::StreamRole::Serving)) {
        auto const* stream = streams.find(id);
        running += stream->phase == Stream::StreamPhase::Running ? 1 : 0;
    }
    return running;
}

json::value nodeStatus(NodeSettings const& settings, NodeTables const& tables, Stream::StreamTable const& streams, Membership::MembershipService const& membership, Core::MonotonicTime now)
{
    json::array servers;
    for (auto const& row : tables.servers.rows)
        servers.push_back(serverRow(row, now));
    return json::object {
        { "node", settings.nodeId },
        { "dataCentre", settings.dataCentre },
        { "phase", json::string(phaseName(tables.phase)) },
        { "generation", tables.configuration.generation },
        { "relay", membership.isRelay() },
        { "streamsRunning", runningStreams(streams) },
        { "streamsHeld", streams.size() },
        { "nodes", nodeRows(membership.nodes()) },
        { "servers", std::move(servers) },
        { "teams", teamRows(tables, now) },
        { "quarantinedRequests", tables.quarantine.quarantined.size() },
    };
}

std::optional<json::value> explanation(DecisionLog const& decisions, std::string const& requestId)
{
    auto const lines = decisions.linesFor(requestId);
    if (lines.empty())
        return std::nullopt;
    json::array array;
    for (auto const& line : lines)
        array.emplace_back(line);
    return json::object { { "request", requestId }, { "decisions", std::move(array) } };
}

json::value readiness(NodeTables const& tables)
{
    json::object object { { "ready", tables.phase == NodePhase::Serving }, { "phase", json::string(phaseName(tables.phase)) } };
    if (tables.phase == NodePhase::Starting)
        object["reason"] = "no configuration has been applied yet";
    return object;
}

}
