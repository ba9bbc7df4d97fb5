#include <Edge/RequestForwarder.h>

#include <Edge/AdaptivePlacement.h>
#include <Edge/OverloadControl.h>
#include <Edge/RequestLog.h>
#include <Edge/RetryAfter.h>
#include <LibForward/RetryShare.h>
#include <LibHTTP/Problem.h>
#include <LibRollout/VersionGroup.h>
#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace Edge {

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;
using Forward::AttemptOutcome;
using Forward::RequestKind;

class RequestForwarder::RegistrationScope {
public:
    RegistrationScope(RequestForwarder& forwarder, RequestContext& context)
        : m_forwarder(forwarder)
        , m_context(context)
    {
        m_forwarder.m_active.insert(&m_context);
        m_context.writer.onPeerClosed([&forwarder, &context] {
            context.clientDisconnected = true;
            forwarder.m_dependencies.tables.waitingChanged.notifyAll();
            context.cancellation.cancel();
        });
    }

    ~RegistrationScope()
    {
        m_context.writer.onPeerClosed({});
        m_forwarder.m_active.erase(&m_context);
        recordEnd(m_forwarder.m_dependencies.tables, m_context, m_forwarder.m_dependencies.runtime.now());
        m_forwarder.m_responses.release(m_context);
    }

    RegistrationScope(RegistrationScope const&) = delete;
    RegistrationScope& operator=(RegistrationScope const&) = delete;

private:
    RequestForwarder& m_forwarder;
    RequestContext& m_context;
};

RequestForwarder::RequestForwarder(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_admission(m_dependencies)
    , m_recorder(m_dependencies)
    , m_responses(m_dependencies, m_recorder)
{
}

// After a restart, requests arrive before the process has read the store, which takes some ten milliseconds.
Core::Awaitable<void> RequestForwarder::waitUntilUsable()
{
    static constexpr Core::Duration startupGracePeriod = 150ms;
    auto const deadline = m_dependencies.startedAt + startupGracePeriod;
    while (!m_dependencies.tables.isUsable() && m_dependencies.runtime.now() < deadline)
        (void)co_await m_dependencies.tables.becameUsable.waitUntil(deadline);
}

Core::Awaitable<void> RequestForwarder::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    RequestContext context { .request = request, .writer = writer, .arrivedAt = m_dependencies.runtime.now() };
    Core::Error error;
    co_await waitUntilUsable();
    if (!m_admission.admit(context, error)) {
        co_await refuse(context, std::move(error));
        logRequest(m_dependencies, context);
        co_return;
    }
    {
        RegistrationScope const registration(*this, context);
        auto const timer = m_dependencies.runtime.callAt(context.deadline, [&context] {
            context.cancellation.cancel();
            // Also ends a write to a client that does not read.
            if (context.streamStarted)
                context.writer.abort();
        });
        co_await waitForRoom(m_dependencies, context);
        co_await run(context);
    }
    logRequest(m_dependencies, context);
}

Forward::AttemptHistory RequestForwarder::attemptHistory(RequestContext const& context) const
{
    return {
        .kind = context.route->kind,
        .isResumable = context.route->isResumable,
        .maximumServers = context.route->maximumServers,
        .attempts = context.attempts,
        .possibleExecutions = context.possibleExecutions,
        .timeLeft = toMilliseconds(context.deadline - m_dependencies.runtime.now()),
    };
}

bool RequestForwarder::chargeRetryBudget(RequestContext& context)
{
    auto const& settings = m_dependencies.settings;
    auto const& tables = m_dependencies.tables;
    auto const nodes = Forward::assumedNodes(tables.peers, settings.dataCentre, Routing::countDataCentres(tables.servers));
    Forward::RetryTolerance const tolerance { settings.retryRatio, settings.retrySlack, settings.retryWindow };
    auto const share = Forward::retryShare(tolerance, nodes);
    auto const now = m_dependencies.runtime.now();
    auto const initialLevel = Forward::initialRetryLevel(tolerance, settings.isFirstStart, now - m_dependencies.startedAt);
    auto const [found, isNew] = m_dependencies.tables.retryBudgets.try_emplace(context.service, share.perRequest, share.perSecond, share.capacity, initialLevel);
    if (!isNew)
        found->second.resize(share.perRequest, share.perSecond, share.capacity);
    if (context.attempts == 0) {
        found->second.recordRequest(now);
        return true;
    }
    bool const isAllowed = found->second.tryTake(now);
    m_dependencies.metrics.counter("hyssopstep_retries_total", { { "service", context.service }, { "allowed", isAllowed ? "yes" : "no" } }).add();
    if (!isAllowed)
        context.nodesOfExhaustedBudget = nodes;
    return isAllowed;
}

bool RequestForwarder::shouldRetry(RequestContext& context, AttemptOutcome outcome)
{
    Core::Error refusal;
    if (context.cancellation.isCancelled() || context.streamFinished || m_admission.isRefusedAsCrashCause(context, refusal))
        return false;
    auto const next = Forward::decideNextStep(outcome, attemptHistory(context));
    // Without a server that can be asked now, the budget is not charged, and a stalled stream may be offered to one later.
    if (next == Forward::NextStep::Finish || !place(context, refusal))
        return false;
    return next == Forward::NextStep::Retry || (next == Forward::NextStep::RetryWithinBudget && chargeRetryBudget(context));
}

Core::Awaitable<void> RequestForwarder::run(RequestContext& context)
{
    (void)chargeRetryBudget(context);
    Core::Error error;
    auto outcome = co_await attempt(context, error);
    while (!context.clientDisconnected) {
        // A server's error response is kept and returned unless a later attempt replaces it.
        if (shouldRetry(context, outcome)) {
            outcome = co_await attempt(context, error);
        } else if (context.stalled && !context.streamFinished && !context.cancellation.isCancelled()) {
            outcome = co_await resumeStalled(context, error);
        } else {
            co_await finish(context, outcome, std::move(error));
            co_return;
        }
    }
}

static bool isEventStream(HTTP::ResponseStream const& response)
{
    static constexpr unsigned ok = 200;
    static constexpr std::string_view eventStreamType = "text/event-stream";
    auto const type = response.headers().find("Content-Type").value_or(eventStreamType);
    return response.status() == ok && boost::beast::iequals(type.substr(0, eventStreamType.size()), eventStreamType);
}

// A faulty server may send a success that is not the result of the request. It counts only with the server's signature; the request may have run.
static bool isUnsignedSuccess(Attempt const& attempt)
{
    static constexpr unsigned firstSuccess = 200;
    static constexpr unsigned firstRedirection = 300;
    auto const status = attempt.stream->status();
    return status >= firstSuccess && status < firstRedirection && !attempt.attributes.isSigned;
}

std::optional<Routing::Placement> RequestForwarder::place(RequestContext const& context, Core::Error& error)
{
    auto const& tables = m_dependencies.tables;
    Routing::PlacementRequest request { context.service, m_dependencies.settings.dataCentre, context.sharedPrefixHash, context.sharedTokens, context.triedServers, context.attributes.tokens ? Routing::WorkKind::Generation : Routing::WorkKind::Call };
    auto const adaptive = prepareAdaptivePlacement(tables, context, request);
    auto const* const inputs = adaptive ? &*adaptive : nullptr;
    auto const now = m_dependencies.runtime.now();
    if (auto const share = m_dependencies.settings.rolloutShare; share > 0) {
        auto choice = Rollout::chooseVersionGroup(tables.rollouts, tables.servers, context.service, share, m_dependencies.random.unit(), now);
        request.filter = std::move(choice.filter);
        if (choice.group == Rollout::Group::Candidate) {
            if (auto placement = Routing::placeRequest(tables.servers, request, tables.placementCosts, m_dependencies.random, now, error, inputs))
                return placement;
            // All of the candidate's servers that are in use were tried or are paused.
            static constexpr double incumbentValue = 1;
            request.filter = Rollout::chooseVersionGroup(tables.rollouts, tables.servers, context.service, share, incumbentValue, now).filter;
        }
    }
    return Routing::placeRequest(tables.servers, request, tables.placementCosts, m_dependencies.random, now, error, inputs);
}

Core::Awaitable<AttemptOutcome> RequestForwarder::attempt(RequestContext& context, Core::Error& error)
{
    auto& tables = m_dependencies.tables;
    ++context.attempts;
    auto placement = place(context, error);
    if (!placement)
        co_return AttemptOutcome::NotSent;
    context.triedServers.push_back(placement->serverId);
    context.chosenServerLoad = placement->requestsInProgress;
    context.chosenHomeRank = placement->homeRank;
    context.cacheSource = placement->cacheSource;
    context.costEstimate = placement->estimate;
    recordAdaptivePlacement(tables, context, m_dependencies.runtime.now());
    auto attempt = std::make_unique<Attempt>(tables, std::move(*placement), context.fingerprint, m_dependencies.runtime.now());
    context.placedAt = attempt->sentAt;
    if (auto const* row = Routing::findServer(std::as_const(tables.servers), attempt->placement.serverId))
        attempt->version = row->version;
    recordSent(tables, context, attempt->sentAt);

    Forward::ForwardAttributes attributes;
    attributes.timeLeft = toMilliseconds(context.deadline - attempt->sentAt);
    attributes.serverId = attempt->placement.serverId;
    if (context.team) {
        static constexpr std::uint32_t lowestPriority = 9;
        attributes.team = context.team->name;
        attributes.priority = std::min(context.team->priority.value_or(context.route->priority), lowestPriority);
    }
    if (context.events.lastId())
        attributes.lastEventId = context.events.lastId();
    attributes.cacheSource = attempt->placement.cacheSource;
    // The endpoint's refusal of this attempt as another server may arrive once more on the same connection.
    bool const wasTried = std::find(context.triedEndpoints.begin(), context.triedEndpoints.end(), attempt->placement.endpoint) != context.triedEndpoints.end();
    context.triedEndpoints.push_back(attempt->placement.endpoint);
    HTTP::ExchangeOptions options {
        .use = wasTried ? HTTP::ConnectionUse::NewConnection : HTTP::ConnectionUse::PooledNoRetry,
        .unframed = HTTP::UnframedResponse::ReadUntilClose,
        .matchesRequest = [this, &context](HTTP::Headers const& headers) {
            auto const id = m_dependencies.codec.decodeResponse(0, headers).attemptId;
            return id.empty() || id == context.attributes.attemptId;
        },
        .cancellation = &context.cancellation,
    };
    auto forwarded = m_dependencies.codec.encodeForward(context.request, attributes);
    attempt->stream = co_await m_dependencies.client.openStream(attempt->placement.endpoint, std::move(forwarded), std::move(options), context.deadline, error);
    auto outcome = AttemptOutcome::Unknown;
    if (!attempt->stream) {
        outcome = error.runState == RunState::NotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown;
        if (outcome == AttemptOutcome::Unknown)
            ++context.possibleExecutions;
    } else {
        attempt->attributes = m_dependencies.codec.decodeResponse(attempt->stream->status(), attempt->stream->headers());
        // Without the id, it may be a late response to an earlier request on this connection.
        bool const isIdentified = !attempt->attributes.attemptId.empty();
        if (!attempt->attributes.isNotExecuted || !isIdentified)
            ++context.possibleExecutions;
        if (isIdentified) {
            m_recorder.recordWhoAnswered(*attempt);
            m_recorder.recordLeavingServer(context, *attempt);
            m_recorder.recordPausedServer(context, *attempt);
        }
        bool const isStream = context.route->kind == RequestKind::Stream && isEventStream(*attempt->stream);
        // Until a server has accepted the continuation of a stalled stream, it may be silent itself or reject it. Then two servers must not work
        // on the stream for long.
        static constexpr Core::Duration maximumOverlap = 250ms;
        Core::Timer overlapTimer;
        if (context.stalled && isStream && isIdentified)
            overlapTimer = m_dependencies.runtime.callAt(m_dependencies.runtime.now() + maximumOverlap, [&context] { context.stalled.reset(); });
        attempt->stallsAt = m_dependencies.runtime.now() + maximumEventGap;
        attempt->eventsBefore = context.events.eventCount();
        context.events.dropPartial();
        if (!isIdentified)
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response with status " + std::to_string(attempt->stream->status()) + " has no attempt id", RunState::Unknown);
        else if (isUnsignedSuccess(*attempt))
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response with status " + std::to_string(attempt->stream->status()) + " has no signature", RunState::Unknown);
        else
            outcome = isStream ? co_await m_responses.forwardStream(context, *attempt, error) : co_await m_responses.readResponse(context, *attempt, error);
    }
    m_recorder.recordOutcome(context, *attempt, outcome);
    co_await conclude(context, std::move(attempt), outcome, error);
    co_return outcome;
}

Core::Awaitable<AttemptOutcome> RequestForwarder::resumeStalled(RequestContext& context, Core::Error& error)
{
    // Until the stream is offered to another server again.
    static constexpr Core::Duration interval = 250ms;
    auto attempt = std::move(context.stalled);
    attempt->stallsAt = m_dependencies.runtime.now() + interval;
    context.events.restorePartial(std::move(attempt->partialEvent));
    auto const outcome = co_await m_responses.forwardStream(context, *attempt, error);
    if (outcome != AttemptOutcome::Stalled)
        m_recorder.recordOutcome(context, *attempt, outcome);
    co_await conclude(context, std::move(attempt), outcome, error);
    co_return outcome;
}

// Keeps the attempt if its server stalled, and ends it otherwise.
Core::Awaitable<void> RequestForwarder::conclude(RequestContext& context, std::unique_ptr<Attempt> attempt, AttemptOutcome outcome, Core::Error const& error)
{
    bool const isCancelled = context.cancellation.isCancelled() || context.clientDisconnected;
    if (outcome == AttemptOutcome::Stalled) {
        attempt->partialEvent = context.events.partial();
        context.stalled = std::move(attempt);
    } else if (outcome == AttemptOutcome::Unknown && !isCancelled && error.kind != ErrorKind::DeadlineExceeded) {
        co_await m_recorder.recordCrashIfServerIsGone(context, *attempt);
    }
}

Core::Awaitable<void> RequestForwarder::finish(RequestContext& context, AttemptOutcome outcome, Core::Error error)
{
    if (context.streamFinished) {
        (void)co_await context.writer.finish();
        co_return;
    }
    context.failureReason = error.message;
    if (context.streamStarted) {
        context.writer.abort();
        co_return;
    }
    if (context.response) {
        context.status = context.response->status;
        (void)co_await context.writer.send(std::move(*context.response));
        co_return;
    }
    auto const history = attemptHistory(context);
    error.kind = Forward::errorKindFor(outcome, history);
    error.runState = history.possibleExecutions > 0 ? RunState::Unknown : RunState::NotRun;
    if (error.runState == RunState::NotRun) {
        auto const wait = Routing::predictedWait(m_dependencies.tables.servers, context.service, m_dependencies.runtime.now());
        error.retryAfter = wait ? std::clamp(toMilliseconds(*wait), minimumRetryAfter, maximumRetryAfter) : retryAfterRefusal;
    }
    co_await refuse(context, std::move(error));
}

Core::Awaitable<void> RequestForwarder::refuse(RequestContext& context, Core::Error error)
{
    auto response = HTTP::problemResponse(error);
    context.status = response.status;
    context.failureReason = std::string(Core::errorResponseFor(error.kind).name) + ": " + error.message;
    m_dependencies.codec.addErrorHeaders(response, context.attributes.attemptId, error.retryAfter);
    m_dependencies.metrics.counter("hyssopstep_refusals_total", { { "kind", std::string(Core::errorResponseFor(error.kind).name) } }).add();
    (void)co_await context.writer.send(std::move(response));
}

void RequestForwarder::cancelAll()
{
    for (auto* context : m_active)
        context->cancellation.cancel();
}

}
