#include <Edge/RequestForwarder.h>

#include <LibCore/Log.h>
#include <LibForward/RetryShare.h>
#include <LibHTTP/Problem.h>
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <xxhash.h>

namespace Edge {

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;
using Forward::AttemptOutcome;
using Forward::RequestKind;

// When no server executed the request, the client may retry after about the duration of one call, unless the servers' queues tell more.
static constexpr std::chrono::milliseconds retryAfterRefusal { 250 };
static constexpr std::chrono::milliseconds minimumRetryAfter { 50 };
static constexpr std::chrono::milliseconds maximumRetryAfter { 2000 };

// A node learns its configuration and servers within about one poll of the store.
static constexpr std::chrono::milliseconds retryAfterNotReady { 500 };

// A resumable stream without an event for this time is offered to another server, before its client times out. Clients wait at least
// two seconds for the next event; engines under load pause for some hundred milliseconds.
static constexpr Core::Duration maximumEventGap = 1s;

static std::chrono::milliseconds toMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

namespace {

// Counts a request as outstanding at a server for the lifetime of an attempt.
class OutstandingScope {
public:
    OutstandingScope(EdgeTables& tables, std::string serverId, Limits::RequestFingerprint fingerprint)
        : m_tables(tables)
        , m_serverId(std::move(serverId))
        , m_fingerprint(m_tables.runningByServer.emplace(m_serverId, fingerprint))
    {
        if (auto* row = Routing::findServer(m_tables.servers, m_serverId))
            ++row->outstanding;
    }

    ~OutstandingScope()
    {
        m_tables.runningByServer.erase(m_fingerprint);
        auto* row = Routing::findServer(m_tables.servers, m_serverId);
        if (row && row->outstanding > 0)
            --row->outstanding;
    }

    OutstandingScope(OutstandingScope const&) = delete;
    OutstandingScope& operator=(OutstandingScope const&) = delete;

private:
    EdgeTables& m_tables;
    std::string m_serverId;
    std::multimap<std::string, Limits::RequestFingerprint>::iterator m_fingerprint;
};

}

struct RequestForwarder::Attempt {
    Attempt(EdgeTables& tables, Routing::Placement chosen, Limits::RequestFingerprint fingerprint, Core::MonotonicTime now)
        : placement(std::move(chosen))
        , sentAt(now)
        , outstanding(tables, placement.serverId, fingerprint)
    {
    }

    Routing::Placement placement;
    Core::MonotonicTime sentAt;
    OutstandingScope outstanding;
    std::unique_ptr<HTTP::ResponseStream> stream;
    Forward::ResponseAttributes attributes;
    /// Number of events that earlier attempts sent.
    std::uint64_t eventsBefore { 0 };
    /// Number of pieces of the stream that held complete events.
    std::size_t eventPieces { 0 };
    /// When the stream counts as stalled, unless an event is forwarded before.
    Core::MonotonicTime stallsAt {};
    /// Of a stalled stream: the bytes of an incomplete event.
    std::string partialEvent;
};

struct RequestForwarder::RequestContext {
    HTTP::Request const& request;
    HTTP::ResponseWriter& writer;
    Core::MonotonicTime arrivedAt;
    std::shared_ptr<Forward::RouteTable const> routes;
    Forward::RequestAttributes attributes;
    Forward::Route const* route { nullptr };
    Forward::Team const* team { nullptr };
    std::string service;
    Core::MonotonicTime deadline;
    std::uint64_t sharedPrefixHash { 0 };
    std::uint32_t sharedTokens { 0 };
    Limits::RequestFingerprint fingerprint { 0 };
    /// The parts of the prompt that other requests may share: all but the last.
    std::vector<Limits::PromptPartHash> sharedParts;
    HTTP::Cancellation cancellation;
    bool clientDisconnected { false };

    std::uint32_t attempts { 0 };
    std::uint32_t possibleExecutions { 0 };
    /// For the log, if the retry budget did not allow a further attempt: the number of nodes by which it was divided.
    std::optional<std::size_t> nodesOfExhaustedBudget;
    std::vector<std::string> triedServers;
    std::vector<Core::Endpoint> triedEndpoints;
    /// For the log: each server that was tried with the outcome of its attempt, and the placement data of the last one.
    std::string attemptTrace;
    /// When the server of the last attempt was chosen.
    Core::MonotonicTime placedAt {};
    std::uint32_t chosenServerLoad { 0 };
    std::uint32_t chosenHomeRank { 0 };
    std::optional<Core::Endpoint> cacheSource;
    bool startRecorded { false };
    /// Status of the response sent to the client.
    unsigned status { 0 };
    std::optional<HTTP::Response> response;
    /// Bytes of response bodies and incomplete events that are held for this request.
    std::size_t bufferedBytes { 0 };
    /// Whether the status and headers of a stream have been sent to the client.
    bool streamStarted { false };
    bool streamFinished { false };
    Forward::EventSplitter events;
    std::optional<Core::MonotonicTime> firstEventAt;
    /// The attempt that sent the last event, while another server is asked to continue the stream.
    std::unique_ptr<Attempt> stalled;
    std::string failureReason;
};

class RequestForwarder::RegistrationScope {
public:
    RegistrationScope(RequestForwarder& forwarder, RequestContext& context)
        : m_forwarder(forwarder)
        , m_context(context)
    {
        m_forwarder.m_active.insert(&m_context);
        m_context.writer.onPeerClosed([&context] {
            context.clientDisconnected = true;
            context.cancellation.cancel();
        });
    }

    ~RegistrationScope()
    {
        m_context.writer.onPeerClosed({});
        m_forwarder.m_active.erase(&m_context);
        m_forwarder.m_bufferedBytes -= m_context.bufferedBytes;
    }

    RegistrationScope(RegistrationScope const&) = delete;
    RegistrationScope& operator=(RegistrationScope const&) = delete;

private:
    RequestForwarder& m_forwarder;
    RequestContext& m_context;
};

RequestForwarder::RequestForwarder(Dependencies dependencies)
    : m_dependencies(dependencies)
{
}

static Limits::RequestFingerprint fingerprintOf(HTTP::Request const& request, std::string const& team)
{
    XXH64_hash_t hash = XXH3_64bits(request.target.data(), request.target.size());
    hash = XXH3_64bits_withSeed(team.data(), team.size(), hash);
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), hash);
}

// The last prompt part belongs to the request or its session, the others are shared.
static std::vector<Limits::PromptPartHash> hashSharedParts(std::vector<Forward::PromptPart> const& prompt)
{
    std::vector<Limits::PromptPartHash> hashes;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        hashes.push_back(XXH3_64bits(prompt[i].id.data(), prompt[i].id.size()));
    return hashes;
}

static void hashSharedPrefix(std::vector<Forward::PromptPart> const& prompt, std::uint64_t& hash, std::uint32_t& tokens)
{
    hash = 0;
    tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), hash);
        tokens += prompt[i].tokens;
    }
}

static void failAsCrashCause(Core::Error& error, std::string message)
{
    Core::fail(error, ErrorKind::Overloaded, std::move(message));
    error.retryAfter = 60s;
}

bool RequestForwarder::isRefusedAsCrashCause(RequestContext const& context, Core::Error& error) const
{
    auto const now = m_dependencies.runtime.now();
    if (Limits::crashesServers(m_dependencies.tables.requestSuspects, context.fingerprint, now)) {
        failAsCrashCause(error, "identical requests crashed backend servers at all nodes together; the request is quarantined");
        return true;
    }
    for (auto const part : context.sharedParts) {
        if (!Limits::crashesServers(m_dependencies.tables.crashSuspects, part, now))
            continue;
        failAsCrashCause(error, "requests with the prompt part of hash " + std::to_string(part) + " crashed backend servers");
        return true;
    }
    return false;
}

// A tunnel ends at a proxy, not at a server behind a gateway, and TRACE has no content (RFC 9110, sections 9.3.6 and 9.3.8).
static bool isForwardable(HTTP::Request const& request, Core::Error& error)
{
    if (request.method == "CONNECT")
        return Core::fail(error, ErrorKind::MethodNotAllowed, "this gateway opens no tunnels"), false;
    if (request.method == "TRACE" && !request.body.empty())
        return Core::fail(error, ErrorKind::InvalidRequest, "a TRACE request must not have a body"), false;
    return true;
}

bool RequestForwarder::admit(RequestContext& context, Core::Error& error)
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    context.routes = tables.routes;
    context.attributes = m_dependencies.codec.decodeRequest(context.request);
    if (!isForwardable(context.request, error))
        return false;
    if (!context.routes) {
        Core::fail(error, ErrorKind::NotReady, "no configuration has been received yet");
        error.retryAfter = retryAfterNotReady;
        return false;
    }
    context.route = Forward::findRoute(*context.routes, context.request.headers.find("Host").value_or(""), context.request.target);
    if (!context.route)
        return Core::fail(error, ErrorKind::NotFound, "no route of configuration version " + std::to_string(context.routes->version) + " matches the host and path"), false;
    if (!context.routes->teams.empty() && !context.route->isAnonymous) {
        context.team = Forward::findTeamByKey(*context.routes, context.attributes.key);
        if (!context.team)
            return Core::fail(error, ErrorKind::Unauthorized, "no team of configuration version " + std::to_string(context.routes->version) + " has this key"), false;
    }
    if (context.attributes.attemptId.empty())
        return Core::fail(error, ErrorKind::InvalidRequest, "the request has no attempt id"), false;
    auto const timeLeft = std::min(context.attributes.timeLeft.value_or(context.route->timeout), context.route->timeout);
    context.deadline = context.arrivedAt + timeLeft;
    if (tables.drain && !Forward::acceptsWhileDraining(*tables.drain, context.deadline, now)) {
        Core::fail(error, ErrorKind::Draining, "the node stops in " + std::to_string(toMilliseconds(tables.drain->end - now).count()) + " ms, the request may take " + std::to_string(toMilliseconds(context.deadline - now).count()) + " ms");
        // Another node can serve the request at once.
        error.retryAfter = minimumRetryAfter;
        return false;
    }
    context.service = Forward::chooseService(*context.route, m_dependencies.random.unit());
    context.fingerprint = fingerprintOf(context.request, context.team ? context.team->name : std::string());
    hashSharedPrefix(context.attributes.prompt, context.sharedPrefixHash, context.sharedTokens);
    context.sharedParts = hashSharedParts(context.attributes.prompt);
    if (Limits::isQuarantined(tables.quarantine, context.fingerprint, now)) {
        failAsCrashCause(error, "identical requests crashed backend servers; the request is quarantined");
        return false;
    }
    if (isRefusedAsCrashCause(context, error))
        return false;
    if (context.team) {
        auto const cost = Forward::quotaCost(*context.team, context.attributes.tokens);
        auto const demand = Forward::quotaDemand(tables.quotas, context.team->name, now);
        auto const share = Forward::admissionShare(tables.quotas, tables.peers, tables.servers.rows.size(), context.team->name, now);
        auto const wait = Forward::admitToQuota(tables.quotas, *context.team, cost, share, { m_dependencies.settings.quotaWindow, m_dependencies.settings.quotaSlack, Forward::reportDelay(tables.peers, now), Forward::silentShare(tables.peers, context.team->name) }, now);
        if (wait) {
            Core::fail(error, ErrorKind::TeamLimitExceeded, "the team's rate limit is exhausted; admission share of this node " + std::to_string(share) + ", demand at this node " + std::to_string(static_cast<std::uint64_t>(demand)) + " units per second, cost of the request " + std::to_string(static_cast<std::uint64_t>(cost)));
            error.retryAfter = *wait;
            return false;
        }
    }
    return true;
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
    if (!admit(context, error)) {
        co_await refuse(context, std::move(error));
        logRequest(context);
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
        co_await run(context);
    }
    logRequest(context);
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
    if (context.cancellation.isCancelled() || context.streamFinished || isRefusedAsCrashCause(context, refusal))
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

std::optional<Routing::Placement> RequestForwarder::place(RequestContext const& context, Core::Error& error)
{
    auto const& tables = m_dependencies.tables;
    Routing::PlacementRequest const request { context.service, m_dependencies.settings.dataCentre, context.sharedPrefixHash, context.sharedTokens, context.triedServers, context.attributes.tokens ? Routing::WorkKind::Generation : Routing::WorkKind::Call };
    return Routing::placeRequest(tables.servers, request, tables.placementCosts, m_dependencies.random, m_dependencies.runtime.now(), error);
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
    auto attempt = std::make_unique<Attempt>(tables, std::move(*placement), context.fingerprint, m_dependencies.runtime.now());
    context.placedAt = attempt->sentAt;

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
            recordWhoAnswered(*attempt);
            recordLeavingServer(context, *attempt);
            recordPausedServer(context, *attempt);
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
        else
            outcome = isStream ? co_await forwardStream(context, *attempt, error) : co_await readResponse(context, *attempt, error);
    }
    recordOutcome(context, *attempt, outcome);
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
    auto const outcome = co_await forwardStream(context, *attempt, error);
    if (outcome != AttemptOutcome::Stalled)
        recordOutcome(context, *attempt, outcome);
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
        co_await recordCrashIfServerIsGone(context, *attempt);
    }
}

Core::Awaitable<AttemptOutcome> RequestForwarder::readResponse(RequestContext& context, Attempt& attempt, Core::Error& error)
{
    HTTP::Response response { attempt.stream->status(), {}, {} };
    while (true) {
        auto piece = co_await attempt.stream->readSome(context.deadline, error);
        if (!piece)
            co_return attempt.attributes.isNotExecuted ? AttemptOutcome::NotExecuted : AttemptOutcome::Unknown;
        if (piece->empty())
            break;
        if (!holdBytes(context, context.bufferedBytes + piece->size())) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response is larger than " + std::to_string(response.body.size()) + " bytes, which cannot be held in memory", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        response.body += *piece;
    }
    if (attempt.attributes.isNotExecuted) {
        Core::fail(error, ErrorKind::Overloaded, "the server returned status " + std::to_string(response.status) + " without executing the request");
        co_return AttemptOutcome::NotExecuted;
    }
    if (attempt.attributes.hasRefusalStatus) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, "the server returned status " + std::to_string(response.status) + " without stating that it did not execute the request", RunState::Unknown);
        co_return AttemptOutcome::Unknown;
    }
    static constexpr unsigned firstServerError = 500;
    recordRequestStart(context);
    response.headers = m_dependencies.codec.filterResponseHeaders(attempt.stream->headers());
    bool const failed = response.status >= firstServerError;
    context.response = std::move(response);
    co_return failed ? AttemptOutcome::ServerError : AttemptOutcome::ResponseReceived;
}

bool RequestForwarder::holdBytes(RequestContext& context, std::size_t bytes)
{
    static constexpr std::size_t maximumBytesOfAResponse = 4 * 1024 * 1024;
    // A quarter of the memory of a small host.
    static constexpr std::size_t maximumBytesOfAllResponses = 40 * 1024 * 1024;
    auto const bytesOfOthers = m_bufferedBytes - context.bufferedBytes;
    if (bytes > context.bufferedBytes && (bytes > maximumBytesOfAResponse || bytesOfOthers + bytes > maximumBytesOfAllResponses))
        return false;
    context.bufferedBytes = bytes;
    m_bufferedBytes = bytesOfOthers + bytes;
    return true;
}

bool RequestForwarder::mayContinueElsewhere(RequestContext const& context)
{
    return context.route->isResumable && context.firstEventAt && context.possibleExecutions < context.route->maximumServers;
}

// A stream that is resumed after its last event has no more events. A response that ends with its connection may lack some.
bool RequestForwarder::mayBeEmpty(RequestContext const& context, Attempt const& attempt)
{
    auto const& headers = attempt.stream->headers();
    bool const isResumed = context.streamStarted || context.attributes.lastEventId;
    return isResumed && attempt.attributes.isSigned && (headers.find("Content-Length") || headers.find("Transfer-Encoding"));
}

Core::Awaitable<AttemptOutcome> RequestForwarder::forwardStream(RequestContext& context, Attempt& attempt, Core::Error& error)
{
    static constexpr std::size_t maximumEventBytes = 1024 * 1024;
    // A server's error response to an earlier attempt.
    std::size_t const bytesOfKeptResponse = context.response ? context.response->body.size() : 0;
    while (true) {
        bool const mayStall = mayContinueElsewhere(context) && attempt.stallsAt < context.deadline;
        if (mayStall && m_dependencies.runtime.now() >= attempt.stallsAt) {
            Core::fail(error, ErrorKind::DeadlineExceeded, "no event from " + attempt.placement.endpoint.toString() + " in time", RunState::Unknown);
            co_return AttemptOutcome::Stalled;
        }
        auto piece = co_await attempt.stream->readSome(mayStall ? attempt.stallsAt : context.deadline, mayStall ? HTTP::AfterReadDeadline::KeepConnection : HTTP::AfterReadDeadline::CloseConnection, error);
        if (!piece && mayStall && error.kind == ErrorKind::DeadlineExceeded)
            co_return AttemptOutcome::Stalled;
        if (!piece)
            co_return AttemptOutcome::Unknown;
        auto events = context.events.feed(*piece);
        if (context.events.partial().size() > maximumEventBytes) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an event of the stream is larger than " + std::to_string(maximumEventBytes) + " bytes", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (!holdBytes(context, bytesOfKeptResponse + context.events.partial().size() + (context.stalled ? context.stalled->partialEvent.size() : 0))) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an incomplete event of " + std::to_string(context.events.partial().size()) + " bytes cannot be held in memory", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        bool const isEnd = piece->empty();
        if (isEnd && !context.events.partial().empty()) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the stream ended in the middle of an event", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (isEnd && context.events.eventCount() == attempt.eventsBefore && !mayBeEmpty(context, attempt)) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the stream ended before its first event", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (!events.empty()) {
            context.stalled.reset();
            if (++attempt.eventPieces > 1)
                recordSound(context);
            recordRequestStart(context);
            if (!context.firstEventAt)
                context.firstEventAt = m_dependencies.runtime.now();
        }
        if (!context.streamStarted && (!events.empty() || isEnd)) {
            context.status = attempt.stream->status();
            context.streamStarted = true;
            bool const isConnected = co_await context.writer.begin(context.status, m_dependencies.codec.filterResponseHeaders(attempt.stream->headers()));
            context.clientDisconnected = context.clientDisconnected || !isConnected;
        }
        if (!events.empty() && !context.clientDisconnected) {
            bool const isConnected = co_await context.writer.write(std::move(events));
            context.clientDisconnected = context.clientDisconnected || !isConnected;
            attempt.stallsAt = m_dependencies.runtime.now() + maximumEventGap;
        }
        if (context.clientDisconnected) {
            Core::fail(error, ErrorKind::Cancelled, "the client disconnected", RunState::Ran);
            co_return AttemptOutcome::Unknown;
        }
        if (context.events.isOutOfOrder()) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "an event of the stream has no id or not one above the last", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (isEnd) {
            context.streamFinished = true;
            co_return AttemptOutcome::ResponseReceived;
        }
    }
}

void RequestForwarder::recordRequestStart(RequestContext& context)
{
    if (context.startRecorded || !context.team)
        return;
    context.startRecorded = true;
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.runtime.wallNow().time_since_epoch());
    auto const clockOffset = Forward::medianClockOffset(m_dependencies.tables.peers, m_dependencies.runtime.now());
    auto const window = Forward::usageWindow((now + clockOffset).count(), m_dependencies.settings.usageWindow.count());
    Forward::recordRequestStart(m_dependencies.tables.usage, m_dependencies.settings.nodeId, m_dependencies.incarnation, context.team->name, window);
}

void RequestForwarder::recordOutcome(RequestContext& context, Attempt const& attempt, AttemptOutcome outcome)
{
    auto const now = m_dependencies.runtime.now();
    context.attemptTrace += (context.attemptTrace.empty() ? "" : ",") + attempt.placement.serverId + ":" + std::string(Forward::outcomeName(outcome));
    auto* row = Routing::findServer(m_dependencies.tables.servers, attempt.placement.serverId);
    bool const cancelledLocally = context.cancellation.isCancelled() || context.clientDisconnected;
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
    }
}

void RequestForwarder::recordWhoAnswered(Attempt const& attempt)
{
    auto const& placement = attempt.placement;
    auto* row = Routing::findServer(m_dependencies.tables.servers, placement.serverId);
    if (row && !attempt.attributes.isFromOtherServer)
        Routing::recordPresence(*row);
    else if (row && Routing::recordAbsence(*row, placement.revision, m_dependencies.runtime.now()))
        Core::logEvent(Core::LogLevel::Info, "server_absent", { { "server", placement.serverId }, { "address", placement.endpoint.toString() }, { "revision", placement.revision.toString() } });
}

void RequestForwarder::recordLeavingServer(RequestContext const& context, Attempt const& attempt)
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

void RequestForwarder::recordPausedServer(RequestContext const& context, Attempt const& attempt)
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
Core::Awaitable<void> RequestForwarder::recordCrashIfServerIsGone(RequestContext const& context, Attempt const& attempt)
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

void RequestForwarder::recordSuspects(RequestContext const& context, std::string const& serverId, Core::MonotonicTime crashedAt)
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

void RequestForwarder::recordSound(RequestContext const& context)
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    logRefusedRequests(Limits::recordSound(tables.requestSuspects, context.service, { context.fingerprint }, now), "own");
    logRefusedParts(Limits::recordSound(tables.crashSuspects, context.service, context.sharedParts, now), "own");
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

void RequestForwarder::logRequest(RequestContext const& context) const
{
    auto const now = m_dependencies.runtime.now();
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
    if (!context.attemptTrace.empty()) {
        fields.emplace_back("servers", context.attemptTrace);
        fields.emplace_back("placed", std::int64_t(toMilliseconds(context.placedAt - context.arrivedAt).count()));
        fields.emplace_back("servers_revision", m_dependencies.tables.serversRevision.toString());
        fields.emplace_back("server_load", context.chosenServerLoad);
        fields.emplace_back("home_rank", context.chosenHomeRank);
        if (context.sharedTokens > 0)
            fields.emplace_back("shared_tokens", context.sharedTokens);
        if (context.cacheSource)
            fields.emplace_back("cache_source", context.cacheSource->toString());
    }
    if (context.nodesOfExhaustedBudget)
        fields.emplace_back("retry_budget_exhausted", "nodes:" + std::to_string(*context.nodesOfExhaustedBudget));
    if (!context.failureReason.empty())
        fields.emplace_back("reason", context.failureReason);
    Core::logEvent(Core::LogLevel::Info, "request", fields);
    std::string const routeName = context.route ? context.route->name : "none";
    m_dependencies.metrics.counter("hyssopstep_requests_total", { { "outcome", std::string(outcome) }, { "status", std::to_string(context.status) } }).add();
    m_dependencies.metrics.histogram("hyssopstep_request_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(now - context.arrivedAt).count());
    if (context.firstEventAt)
        m_dependencies.metrics.histogram("hyssopstep_first_event_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(*context.firstEventAt - context.arrivedAt).count());
}

}
