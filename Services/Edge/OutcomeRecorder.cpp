#include <Edge/OutcomeRecorder.h>

#include <Edge/AdaptivePlacement.h>
#include <LibCore/Log.h>

namespace Edge {

using namespace std::chrono_literals;
using Forward::AttemptOutcome;

void OutcomeRecorder::recordRequestStart(RequestContext& context)
{
    if (context.startRecorded || !context.team)
        return;
    context.startRecorded = true;
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.runtime.wallNow().time_since_epoch());
    auto const clockOffset = Forward::medianClockOffset(m_dependencies.tables.peers, m_dependencies.runtime.now());
    auto const window = Forward::usageWindow((now + clockOffset).count(), m_dependencies.settings.usageWindow.count());
    Forward::recordRequestStart(m_dependencies.tables.usage, m_dependencies.settings.nodeId, m_dependencies.incarnation, context.team->name, window);
}

void OutcomeRecorder::recordFirstEvent(RequestContext const& context, Attempt const& attempt)
{
    recordAdaptiveFirstEvent(m_dependencies, context, attempt);
}

void OutcomeRecorder::recordOutcome(RequestContext& context, Attempt const& attempt, AttemptOutcome outcome)
{
    auto const now = m_dependencies.runtime.now();
    context.attemptTrace += (context.attemptTrace.empty() ? "" : ",") + attempt.placement.serverId + ":" + std::string(Forward::outcomeName(outcome));
    auto* row = Routing::findServer(m_dependencies.tables.servers, attempt.placement.serverId);
    bool const cancelledLocally = context.cancellation.isCancelled() || context.clientDisconnected;
    if (m_dependencies.settings.rolloutShare > 0)
        recordRollout(context, attempt, outcome);
    if (outcome == AttemptOutcome::ResponseReceived) {
        Limits::recordFinished(m_dependencies.tables.quarantine, context.fingerprint);
        recordSound(context);
        if (row)
            Routing::recordSuccess(*row);
    }
    if (row && !cancelledLocally && (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Unknown || outcome == AttemptOutcome::Stalled))
        Routing::recordFailure(*row, now);
    // For a stream, the service time ends at the first event, which follows queueing and prefill.
    if (row && outcome == AttemptOutcome::ResponseReceived && context.attempts == 1) {
        auto const end = context.firstEventAt.value_or(now);
        Routing::recordServiceTime(*row, std::chrono::duration<double>(end - attempt.sentAt).count(), now);
        recordAdaptiveEnd(m_dependencies.tables, context, attempt, now);
    }
}

void OutcomeRecorder::recordRollout(RequestContext const& context, Attempt const& attempt, AttemptOutcome outcome)
{
    auto& tables = m_dependencies.tables;
    auto const order = tables.rollouts.rows.find(context.service);
    if (order == tables.rollouts.rows.end() || Rollout::isFinal(order->second.order.state))
        return;
    std::string const group = attempt.version == order->second.order.id.to ? "candidate" : "incumbent";
    m_dependencies.metrics.counter("hyssopstep_rollout_requests_total", { { "group", group } }).add();
    // Servers of all versions refuse requests under load.
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotExecuted)
        return;
    auto const now = m_dependencies.runtime.now();
    auto const firstEventAt = context.firstEventAt.value_or(now);
    auto const time = (firstEventAt >= attempt.sentAt ? firstEventAt : now) - attempt.sentAt;
    auto kind = Rollout::ResponseKind::Sound;
    if (outcome == AttemptOutcome::ServerError)
        kind = Rollout::ResponseKind::Failure;
    else if (outcome != AttemptOutcome::ResponseReceived)
        kind = Rollout::ResponseKind::Broken;
    // What a client that went away would have got is only known if it had waited for long.
    static constexpr Core::Duration longWait = 1s;
    if (context.clientDisconnected && kind == Rollout::ResponseKind::Broken) {
        if (!context.firstEventAt && time < longWait)
            return;
        kind = Rollout::ResponseKind::Sound;
    }
    if (kind != Rollout::ResponseKind::Sound)
        m_dependencies.metrics.counter("hyssopstep_rollout_failures_total", { { "group", group } }).add();
    Rollout::recordResponse(tables.rollouts, context.service, attempt.version, context.route->name, kind, time);
}

void OutcomeRecorder::recordWhoAnswered(Attempt const& attempt)
{
    auto const& placement = attempt.placement;
    auto* row = Routing::findServer(m_dependencies.tables.servers, placement.serverId);
    if (row && !attempt.attributes.isFromOtherServer)
        Routing::recordPresence(*row);
    else if (row && Routing::recordAbsence(*row, placement.revision, m_dependencies.runtime.now()))
        Core::logEvent(Core::LogLevel::Info, "server_absent", { { "server", placement.serverId }, { "address", placement.endpoint.toString() }, { "revision", placement.revision.toString() } });
}

void OutcomeRecorder::recordLeavingServer(RequestContext const& context, Attempt const& attempt)
{
    if (!attempt.attributes.isServerLeaving || attempt.attributes.isFromOtherServer)
        return;
    auto& tables = m_dependencies.tables;
    auto const& placement = attempt.placement;
    bool const isNewInDirectory = Forward::recordLeaving(tables.directory, placement.serverId, placement.incarnation);
    bool const isNewInTable = Routing::markLeaving(tables.servers, placement.serverId, placement.incarnation);
    if (isNewInDirectory || isNewInTable)
        Core::logEvent(Core::LogLevel::Info, "server_leaving", { { "server", placement.serverId }, { "request", context.attributes.attemptId }, { "entry_revision", placement.revision.toString() }, { "servers_revision", tables.serversRevision.toString() } });
}

void OutcomeRecorder::recordPausedServer(RequestContext const& context, Attempt const& attempt)
{
    auto const pause = attempt.attributes.pause;
    if (!pause)
        return;
    auto const now = m_dependencies.runtime.now();
    auto const& placement = attempt.placement;
    if (!Routing::recordPause(m_dependencies.tables.servers, placement.serverId, placement.incarnation, now + *pause, now))
        return;
    Core::logEvent(Core::LogLevel::Info, "server_paused", { { "server", placement.serverId }, { "request", context.attributes.attemptId }, { "milliseconds", std::int64_t(pause->count()) } });
    m_dependencies.metrics.counter("hyssopstep_server_pauses_total").add();
}

// The connection of the request ended. Servers and networks also reset single connections; a server that crashed refuses new ones.
Core::Awaitable<void> OutcomeRecorder::recordCrashIfServerIsGone(RequestContext const& context, Attempt const& attempt)
{
    // Several round trips. A host that does not answer at all is lost for a reason other than a request.
    static constexpr Core::Duration connectTimeout = 100ms;
    auto& tables = m_dependencies.tables;
    Limits::ServerCrash crash { .at = m_dependencies.runtime.now(), .serverId = attempt.placement.serverId };
    auto const [first, last] = tables.runningByServer.equal_range(crash.serverId);
    for (auto entry = first; entry != last; ++entry)
        crash.batch.push_back(entry->second);
    auto const endedAt = crash.at;
    auto const connection = co_await m_dependencies.client.connect(attempt.placement.endpoint, endedAt + connectTimeout);
    if (connection != HTTP::ConnectionAttempt::Refused)
        co_return;
    for (auto const fingerprint : Limits::recordCrash(tables.quarantine, std::move(crash)))
        Core::logEvent(Core::LogLevel::Warning, "request_quarantined", { { "fingerprint", std::uint64_t(fingerprint) }, { "request", context.attributes.attemptId } });
    // A request that had got several events is not the cause, and neither is a part of its prompt.
    if (attempt.eventPieces <= 1)
        recordSuspects(context, attempt.placement.serverId, endedAt);
}

void OutcomeRecorder::recordSuspects(RequestContext const& context, std::string const& serverId, Core::MonotonicTime crashedAt)
{
    auto& tables = m_dependencies.tables;
    auto const crash = static_cast<Limits::CrashId>(m_dependencies.random.below(UINT32_MAX));
    std::string parts;
    for (auto const part : context.sharedParts)
        parts += (parts.empty() ? "" : ",") + std::to_string(part);
    Core::logEvent(Core::LogLevel::Info, "server_crash_suspected", { { "server", serverId }, { "request", context.attributes.attemptId }, { "fingerprint", std::uint64_t(context.fingerprint) }, { "parts", parts } });
    Limits::SuspectCrash const suspected { Forward::serverKey(serverId), crashedAt };
    logRefusedRequests(Limits::recordCrash(tables.requestSuspects, context.service, { context.fingerprint }, crash, suspected), "own");
    if (!context.sharedParts.empty())
        logRefusedParts(Limits::recordCrash(tables.crashSuspects, context.service, context.sharedParts, crash, suspected), "own");
}

void OutcomeRecorder::recordSound(RequestContext const& context)
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    logRefusedRequests(Limits::recordSound(tables.requestSuspects, context.service, { context.fingerprint }, now), "own");
    logRefusedParts(Limits::recordSound(tables.crashSuspects, context.service, context.sharedParts, now), "own");
}

}
