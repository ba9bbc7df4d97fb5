#include <Node/ServiceProxy.h>

#include <LibCore/Log.h>
#include <LibRouting/ServerChoice.h>
#include <cstdio>
#include <xxhash.h>

namespace Node {

using Core::ErrorKind;
using Core::RunState;
using namespace std::chrono_literals;

static constexpr std::string_view attemptHeader = "Hyssopstep-Attempt-Id";
static constexpr std::string_view notExecutedHeader = "Hyssopstep-Not-Executed";

ServiceProxy::ServiceProxy(Core::Runtime& runtime, HTTP::Client& client, IntentForwarder& intents, NodeTables& tables, DecisionLog& decisions, Core::Random& random, Core::Metrics& metrics, std::string nodeId, std::string dataCentre)
    : m_runtime(runtime)
    , m_client(client)
    , m_intents(intents)
    , m_tables(tables)
    , m_decisions(decisions)
    , m_random(random)
    , m_metrics(metrics)
    , m_nodeId(std::move(nodeId))
    , m_dataCentre(std::move(dataCentre))
{
}

Core::Awaitable<std::optional<HTTP::Response>> ServiceProxy::call(ServiceCall call, Core::Error& error)
{
    retryBudgetFor(m_tables, call.service).recordRequest(m_runtime.now());
    if (call.idempotency == Configuration::Idempotency::Idempotent)
        return callWithRetries(std::move(call), error);
    return callAtMostOnce(std::move(call), error);
}

// Equal for repeats of a call, different for another call with the same key.
static std::string fingerprintOf(ServiceCall const& call)
{
    auto const text = call.request.method + '\n' + call.request.target + '\n' + call.request.body;
    auto const hash = XXH3_128bits(text.data(), text.size());
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), "%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return buffer;
}

static Intent::RecordedAnswer answerFrom(HTTP::Response const& response)
{
    return { response.status, response.headers.fields(), response.body };
}

static HTTP::Response responseFrom(Intent::RecordedAnswer const& answer)
{
    HTTP::Response response;
    response.status = answer.status;
    for (auto const& [name, value] : answer.headers)
        response.headers.add(name, value);
    response.headers.set("Hyssopstep-Replayed", "true");
    response.body = answer.body;
    return response;
}

Core::Awaitable<std::optional<HTTP::Response>> ServiceProxy::callAtMostOnce(ServiceCall call, Core::Error& error)
{
    if (call.idempotencyKey.empty())
        co_return Core::fail(error, ErrorKind::IdempotencyKeyRequired, "the call is not idempotent and has no Idempotency-Key");
    auto decision = co_await m_intents.begin(call.team, call.service, call.idempotencyKey, fingerprintOf(call), call.deadline, error);
    if (!decision)
        co_return std::nullopt;
    m_decisions.add(call.requestId, "intent: " + std::string(Intent::decisionName(decision->kind)));
    if (decision->kind == Intent::IntentDecisionKind::Run && decision->ticket)
        co_return co_await runTicket(call, *decision->ticket, error);
    if (decision->kind == Intent::IntentDecisionKind::Replay && decision->answer)
        co_return responseFrom(*decision->answer);
    error = decision->error;
    co_return std::nullopt;
}

Core::Awaitable<std::optional<HTTP::Response>> ServiceProxy::runTicket(ServiceCall const& call, Intent::IntentTicket ticket, Core::Error& error)
{
    std::vector<std::string> failedServers;
    while (true) {
        auto response = co_await attempt(call, failedServers, HTTP::ConnectionUse::NewConnection, error);
        if (response) {
            co_await record(ticket, *response);
            co_return response;
        }
        if (error.runState != RunState::NotRun) {
            // Journal writes may be slow in an outage, so the client does not wait for them.
            m_runtime.spawn(abandon(ticket));
            error.kind = ErrorKind::OutcomeUnknown;
            error.runState = RunState::Unknown;
            co_return std::nullopt;
        }
        bool const triedAll = error.kind == ErrorKind::NoServerAvailable || m_runtime.now() >= call.deadline;
        if (!triedAll)
            continue;
        // No attempt was executed, so the key may run again later.
        m_runtime.spawn(release(ticket));
        co_return std::nullopt;
    }
}

// Records the response before it is sent to the client, so that a repeated key gets the same one. A slow store delays the client by
// at most maximumDelay; until the record is written, a repeated key waits or gets OutcomeUnknown.
Core::Awaitable<void> ServiceProxy::record(Intent::IntentTicket ticket, HTTP::Response response)
{
    static constexpr auto maximumDelay = 500ms;
    auto recorded = std::make_shared<Core::AsyncEvent>(m_runtime);
    auto finish = [](ServiceProxy& proxy, Intent::IntentTicket openTicket, HTTP::Response answer, std::shared_ptr<Core::AsyncEvent> done) -> Core::Awaitable<void> {
        Core::Error error;
        bool const isRecorded = co_await proxy.m_intents.finish(openTicket, answerFrom(answer), error);
        if (!isRecorded)
            Core::logEvent(Core::LogLevel::Warning, "answer_not_recorded", { { "attempt_id", openTicket.attemptId }, { "reason", error.message } });
        done->notifyAll();
    };
    m_runtime.spawn(finish(*this, std::move(ticket), std::move(response), recorded));
    auto const inTime = co_await recorded->waitUntil(m_runtime.now() + maximumDelay);
    if (!inTime)
        m_metrics.counter("hyssopstep_answers_sent_before_recorded_total").add();
}

Core::Awaitable<void> ServiceProxy::release(Intent::IntentTicket ticket)
{
    Core::Error error;
    bool const released = co_await m_intents.release(ticket, error);
    if (!released)
        Core::logEvent(Core::LogLevel::Warning, "intent_not_released", { { "attempt_id", ticket.attemptId }, { "reason", error.message } });
}

Core::Awaitable<void> ServiceProxy::abandon(Intent::IntentTicket ticket)
{
    Core::Error error;
    bool const abandoned = co_await m_intents.abandon(ticket, error);
    if (!abandoned)
        Core::logEvent(Core::LogLevel::Warning, "intent_not_abandoned", { { "attempt_id", ticket.attemptId }, { "reason", error.message } });
}

Core::Awaitable<std::optional<HTTP::Response>> ServiceProxy::callWithRetries(ServiceCall call, Core::Error& error)
{
    std::vector<std::string> failedServers;
    RunState worstRunState = RunState::NotRun;
    while (true) {
        auto response = co_await attempt(call, failedServers, HTTP::ConnectionUse::Pooled, error);
        if (response)
            co_return response;
        if (error.runState != RunState::NotRun)
            worstRunState = RunState::Unknown;
        bool const lastTry = error.kind == ErrorKind::NoServerAvailable || m_runtime.now() >= call.deadline;
        if (lastTry || !retryBudgetFor(m_tables, call.service).tryTake(m_runtime.now())) {
            // An earlier attempt may have run even if the last one did not.
            error.runState = worstRunState;
            co_return std::nullopt;
        }
        m_metrics.counter("hyssopstep_retries_total", { { "service", call.service } }).add();
    }
}

Core::Awaitable<std::optional<HTTP::Response>> ServiceProxy::attempt(ServiceCall const& call, std::vector<std::string>& failedServers, HTTP::ConnectionUse use, Core::Error& error)
{
    Routing::RoutingRequest routing;
    routing.service = call.service;
    routing.dataCentre = m_dataCentre;
    routing.excludedServers = failedServers;
    auto const choice = Routing::chooseServer(m_tables.servers, m_tables.prefixes, routing, m_runtime.now(), m_random, error);
    if (!choice)
        co_return std::nullopt;
    m_decisions.add(call.requestId, "call at " + choice->serverId + ": " + choice->explanation);
    char attemptId[20];
    std::snprintf(attemptId, sizeof(attemptId), "%016llx", static_cast<unsigned long long>(m_random.bits()));
    auto request = call.request;
    request.headers.set("Hyssopstep-Request-Id", call.requestId);
    request.headers.set(attemptHeader, attemptId);
    auto const remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - m_runtime.now());
    request.headers.set("Hyssopstep-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
    if (!call.idempotencyKey.empty())
        request.headers.set("Idempotency-Key", call.idempotencyKey);

    auto const startedAt = m_runtime.now();
    ++Routing::findServer(m_tables.servers, choice->serverId)->outstanding;
    auto response = co_await m_client.send(choice->endpoint, std::move(request), use, call.deadline, error);
    auto* row = Routing::findServer(m_tables.servers, choice->serverId);
    if (row && row->outstanding > 0)
        --row->outstanding;
    static constexpr unsigned serviceUnavailable = 503;
    if (response && response->status == serviceUnavailable && response->headers.find(notExecutedHeader) == std::string_view(attemptId)) {
        // The backend server names the attempt that it refused, so the refusal cannot belong to another request.
        Core::fail(error, ErrorKind::BackendUnreachable, choice->serverId + " accepts no new work");
        response.reset();
    } else if (response && response->headers.find(attemptHeader) != std::string_view(attemptId)) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response of " + choice->serverId + " belongs to another attempt", RunState::Unknown);
        response.reset();
    }
    if (!response) {
        failedServers.push_back(choice->serverId);
        if (row)
            Routing::recordFailure(*row, m_runtime.now());
        m_decisions.add(call.requestId, "call at " + choice->serverId + " failed: " + error.message);
        co_return std::nullopt;
    }
    if (row) {
        Routing::recordSuccess(*row);
        Routing::recordServiceTime(*row, std::chrono::duration<double>(m_runtime.now() - startedAt).count(), m_runtime.now());
    }
    co_return response;
}

}
