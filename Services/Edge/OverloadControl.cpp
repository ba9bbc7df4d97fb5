#include <Edge/OverloadControl.h>

#include <algorithm>

namespace Edge {

using Core::ErrorKind;

bool isAdmissionControlled(EdgeSettings const& settings, Forward::RouteTable const& routes, std::string_view service)
{
    if (settings.admissionControl == FeatureMode::Auto)
        return Forward::toleratesQueueing(routes, service);
    return settings.admissionControl == FeatureMode::On;
}

static Admission::RequestProfile profileOf(RequestContext const& context)
{
    return {
        .route = context.route->name,
        .priority = context.team ? context.team->priority.value_or(context.route->priority) : context.route->priority,
        .objectiveSeconds = std::chrono::duration<double>(context.route->targetLatency).count(),
        .tokens = context.attributes.tokens ? static_cast<double>(context.attributes.tokens->promptTokens) : 0,
        .timeLeftSeconds = std::chrono::duration<double>(context.deadline - context.arrivedAt).count(),
        .isResumed = context.attributes.lastEventId.has_value(),
    };
}

bool admitUnderLoad(ForwarderDependencies const& dependencies, RequestContext& context, Core::Error& error)
{
    auto& tables = dependencies.tables;
    if (!isAdmissionControlled(dependencies.settings, *context.routes, context.service))
        return true;
    auto const now = dependencies.runtime.now();
    auto& state = tables.admission[context.service];
    auto const request = profileOf(context);
    Admission::recordArrival(state, request, now);
    Admission::TeamStanding standing;
    double cost = 0;
    if (context.team) {
        cost = Forward::quotaCost(*context.team, context.attributes.tokens);
        Admission::recordRequest(tables.teamShares, context.team->name, cost, std::max(request.tokens, 1.0), now);
        standing = Admission::standingOf(tables.teamShares, context.team->name, now);
    }
    auto const load = Admission::measureLoad(tables.servers, context.service, now);
    context.loadAtSend = load.requestsPerServer;
    auto const decision = Admission::decideAdmission(state, request, standing, load, tables.admissionParameters, dependencies.random, now);
    context.admission = decision;
    dependencies.metrics.counter("hyssopstep_admission_total", { { "service", context.service }, { "decision", std::string(Admission::verdictName(decision.verdict)) }, { "reason", std::string(Admission::reasonName(decision.reason)) } }).add();
    if (decision.verdict != Admission::Verdict::Refuse)
        return true;
    // The team's demand, by which its limit is divided among the nodes, includes what is refused.
    if (context.team)
        Forward::recordQuotaDemand(tables.quotas, context.team->name, cost, now);
    auto const milliseconds = [](double seconds) { return std::to_string(static_cast<std::int64_t>(seconds * 1000)); };
    Core::fail(error, ErrorKind::Overloaded, std::string(Admission::reasonName(decision.reason)) + ": the servers of " + context.service + " would begin the response after about " + milliseconds(decision.delaySeconds) + " ms");
    error.retryAfter = decision.retryAfter;
    return false;
}

void recordSent(EdgeTables& tables, RequestContext& context, Core::MonotonicTime now)
{
    if (context.admission && context.attempts == 1)
        context.admissionTicket = Admission::recordSent(tables.admission[context.service], now);
}

void recordFirstEvent(EdgeTables& tables, RequestContext const& context, Attempt const& attempt, Core::MonotonicTime now)
{
    if (!context.admissionTicket || context.attempts != 1)
        return;
    double const delay = std::chrono::duration<double>(now - attempt.sentAt).count();
    Admission::recordFirstEvent(tables.admission[context.service], *context.admissionTicket, profileOf(context), delay, context.loadAtSend, tables.admissionParameters, now);
}

// Lets as many requests that wait for a service's servers go as these have room for, and those that have waited long enough.
static void releaseWaiting(EdgeTables& tables, std::string const& service, Core::MonotonicTime now)
{
    auto const found = tables.waiting.find(service);
    if (found == tables.waiting.end() || found->second.requests.empty())
        return;
    auto& queue = found->second;
    auto const load = Admission::measureLoad(tables.servers, service, now);
    bool isChanged = Admission::expire(queue, now) > 0;
    // Those that were released before will take their slots next.
    while (queue.released.size() < load.freeSlots && Admission::next(queue))
        isChanged = true;
    if (isChanged)
        tables.waitingChanged.notifyAll();
}

Core::Awaitable<void> waitForRoom(ForwarderDependencies const& dependencies, RequestContext const& context)
{
    if (!context.admission || context.admission->verdict != Admission::Verdict::Wait)
        co_return;
    auto& tables = dependencies.tables;
    auto const request = profileOf(context);
    auto const longest = std::chrono::duration_cast<Core::Duration>(tables.admissionParameters.maximumWaitShare * context.route->targetLatency);
    auto const sendBy = std::min(context.arrivedAt + longest, context.deadline);
    auto& queue = tables.waiting[context.service];
    auto const id = Admission::enqueue(queue, request.priority, context.team ? context.team->name : std::string(), sendBy, tables.admissionParameters.maximumQueueLength);
    if (!id)
        co_return;
    while (!context.clientDisconnected) {
        releaseWaiting(tables, context.service, dependencies.runtime.now());
        if (Admission::takeReleased(queue, *id))
            co_return;
        (void)co_await tables.waitingChanged.waitUntil(sendBy);
    }
    Admission::cancel(queue, *id);
}

void recordEnd(EdgeTables& tables, RequestContext const& context, Core::MonotonicTime now)
{
    if (!context.admission)
        return;
    if (context.admissionTicket)
        Admission::recordEnd(tables.admission[context.service], *context.admissionTicket);
    releaseWaiting(tables, context.service, now);
}

void updateAdmission(EdgeTables& tables, EdgeSettings const& settings, Core::Metrics& metrics, Core::MonotonicTime now)
{
    if (!tables.routes)
        return;
    for (auto& [service, state] : tables.admission) {
        if (!isAdmissionControlled(settings, *tables.routes, service))
            continue;
        auto const load = Admission::measureLoad(tables.servers, service, now);
        releaseWaiting(tables, service, now);
        metrics.gauge("hyssopstep_queue_length", { { "service", service } }).set(static_cast<double>(tables.waiting[service].requests.size()));
        Admission::updatePressure(state, load, tables.admissionParameters, now);
        metrics.gauge("hyssopstep_admission_pressure", { { "service", service } }).set(Admission::pressureAt(state, UINT32_MAX, load, tables.admissionParameters, now));
    }
    if (tables.admission.empty())
        return;
    for (auto const& team : tables.routes->teams)
        Admission::updateDemand(tables.teamShares, team.name, Forward::quotaDemand(tables.quotas, team.name, now) + Forward::otherDemand(tables.peers, team.name), now);
}

}
