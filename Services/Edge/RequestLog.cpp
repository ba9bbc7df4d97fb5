#include <Edge/RequestLog.h>

#include <Edge/RetryAfter.h>
#include <LibCore/Log.h>
#include <cmath>

namespace Edge {

static void addCostEstimate(std::vector<Core::LogField>& fields, Routing::CostEstimate const& estimate)
{
    static constexpr double millisecondsPerSecond = 1000;
    static constexpr double percent = 100;
    auto const milliseconds = [](double seconds) { return std::to_string(std::llround(seconds * millisecondsPerSecond)); };
    fields.emplace_back("held_tokens", estimate.heldTokens);
    fields.emplace_back("expected", std::int64_t(std::llround(estimate.expectedSeconds * millisecondsPerSecond)));
    fields.emplace_back("cost", "wait:" + milliseconds(estimate.waitSeconds) + ",ahead:" + milliseconds(estimate.aheadSeconds) + ",read:" + milliseconds(estimate.readSeconds) + ",way:" + milliseconds(estimate.waySeconds) + ",slowness:" + std::to_string(std::llround(estimate.slowness * percent)));
}

void logRequest(ForwarderDependencies const& dependencies, RequestContext const& context)
{
    auto const now = dependencies.runtime.now();
    auto const elapsed = toMilliseconds(now - context.arrivedAt).count();
    std::string_view outcome = "answered";
    if (context.clientDisconnected)
        outcome = "client_left";
    else if (context.streamStarted && !context.streamFinished)
        outcome = "broken_off";
    else if (!context.failureReason.empty())
        outcome = "refused";
    std::vector<Core::LogField> fields {
        { "request", context.attributes.attemptId },
        { "outcome", outcome },
        { "status", context.status },
        { "milliseconds", std::int64_t(elapsed) },
    };
    if (context.routes)
        fields.emplace_back("configuration", std::uint64_t(context.routes->version));
    if (context.route)
        fields.emplace_back("route", context.route->name);
    if (context.team)
        fields.emplace_back("team", context.team->name);
    if (context.firstEventAt)
        fields.emplace_back("first_event", std::int64_t(toMilliseconds(*context.firstEventAt - context.arrivedAt).count()));
    if (context.admission) {
        fields.emplace_back("admission", std::string(Admission::verdictName(context.admission->verdict)) + ":" + std::string(Admission::reasonName(context.admission->reason)));
        fields.emplace_back("predicted_delay", std::int64_t(context.admission->delaySeconds * 1000));
    }
    if (!context.attemptTrace.empty()) {
        fields.emplace_back("servers", context.attemptTrace);
        fields.emplace_back("placed", std::int64_t(toMilliseconds(context.placedAt - context.arrivedAt).count()));
        fields.emplace_back("servers_revision", dependencies.tables.serversRevision.toString());
        fields.emplace_back("server_load", context.chosenServerLoad);
        fields.emplace_back("home_rank", context.chosenHomeRank);
        if (context.sharedTokens > 0)
            fields.emplace_back("shared_tokens", context.sharedTokens);
        if (context.cacheSource)
            fields.emplace_back("cache_source", context.cacheSource->toString());
        if (context.costEstimate)
            addCostEstimate(fields, *context.costEstimate);
    }
    if (context.nodesOfExhaustedBudget)
        fields.emplace_back("retry_budget_exhausted", "nodes:" + std::to_string(*context.nodesOfExhaustedBudget));
    if (!context.failureReason.empty())
        fields.emplace_back("reason", context.failureReason);
    Core::logEvent(Core::LogLevel::Info, "request", fields);
    std::string const routeName = context.route ? context.route->name : "none";
    dependencies.metrics.counter("hyssopstep_requests_total", { { "outcome", std::string(outcome) }, { "status", std::to_string(context.status) } }).add();
    dependencies.metrics.histogram("hyssopstep_request_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(now - context.arrivedAt).count());
    if (context.firstEventAt)
        dependencies.metrics.histogram("hyssopstep_first_event_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(*context.firstEventAt - context.arrivedAt).count());
}

}
