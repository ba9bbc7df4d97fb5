#include <Edge/RequestForwarder.h>

#include <LibCore/Log.h>
#include <LibHTTP/Problem.h>
#include <algorithm>
#include <xxhash.h>

namespace Edge {

using namespace std::chrono_literals;
using Core::ErrorKind;
using Core::RunState;
using Forward::AttemptOutcome;
using Forward::RequestKind;

// When no server executed the request, the client may retry after about the duration of one call.
static constexpr std::chrono::milliseconds retryAfterRefusal { 250 };

// A node learns its configuration and servers within about one poll of the store.
static constexpr std::chrono::milliseconds retryAfterNotReady { 500 };

static std::chrono::milliseconds toMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

struct RequestForwarder::Exchange {
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
    HTTP::Cancellation cancellation;
    bool clientDisconnected { false };

    std::uint32_t attempts { 0 };
    std::uint32_t possibleRuns { 0 };
    std::vector<std::string> triedServers;
    /// For the log: each server that was tried with the outcome of its attempt, and the placement data of the last one.
    std::string attemptTrace;
    std::uint32_t chosenServerLoad { 0 };
    std::uint32_t chosenHomeRank { 0 };
    std::optional<Core::Endpoint> cacheSource;
    bool startRecorded { false };
    /// Status of the response sent to the client.
    unsigned status { 0 };
    std::optional<HTTP::Response> response;
    /// Whether the status and headers of a stream have been sent to the client.
    bool streamStarted { false };
    bool streamFinished { false };
    Forward::EventSplitter events;
    std::optional<Core::MonotonicTime> firstEventAt;
    std::string failureReason;
};

struct RequestForwarder::Attempt {
    Routing::Placement placement;
    Core::MonotonicTime sentAt;
    std::unique_ptr<HTTP::ResponseStream> stream;
    Forward::ResponseAttributes attributes;
};

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

static std::string_view outcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ResponseReceived:
        return "answered";
    case AttemptOutcome::ServerError:
        return "failure_answered";
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::NotExecuted:
        return "not_executed";
    case AttemptOutcome::Unknown:
        break;
    }
    return "unknown";
}

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

// The shared prefix is every prompt part except the last, which belongs to the request or its session.
static void hashSharedPrefix(std::vector<Forward::PromptPart> const& prompt, std::uint64_t& hash, std::uint32_t& tokens)
{
    hash = 0;
    tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        hash = XXH3_64bits_withSeed(prompt[i].id.data(), prompt[i].id.size(), hash);
        tokens += prompt[i].tokens;
    }
}

bool RequestForwarder::admit(Exchange& exchange, Core::Error& error)
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    exchange.routes = tables.routes;
    exchange.attributes = m_dependencies.codec.decodeRequest(exchange.request);
    if (!exchange.routes) {
        Core::fail(error, ErrorKind::NotReady, "no configuration has been received yet");
        error.retryAfter = retryAfterNotReady;
        return false;
    }
    exchange.route = Forward::findRoute(*exchange.routes, exchange.request.headers.find("Host").value_or(""), exchange.request.target);
    if (!exchange.route)
        return Core::fail(error, ErrorKind::NotFound, "no route of configuration version " + std::to_string(exchange.routes->version) + " matches the host and path"), false;
    if (!exchange.routes->teams.empty() && !exchange.route->isAnonymous) {
        exchange.team = Forward::findTeamByKey(*exchange.routes, exchange.attributes.key);
        if (!exchange.team)
            return Core::fail(error, ErrorKind::Unauthorized, "no team of configuration version " + std::to_string(exchange.routes->version) + " has this key"), false;
    }
    if (exchange.attributes.attemptId.empty())
        return Core::fail(error, ErrorKind::InvalidRequest, "the request has no attempt id"), false;
    auto const timeLeft = std::min(exchange.attributes.timeLeft.value_or(exchange.route->timeout), exchange.route->timeout);
    exchange.deadline = exchange.arrivedAt + timeLeft;
    exchange.service = Forward::chooseService(*exchange.route, m_dependencies.random.unit());
    exchange.fingerprint = fingerprintOf(exchange.request, exchange.team ? exchange.team->name : std::string());
    hashSharedPrefix(exchange.attributes.prompt, exchange.sharedPrefixHash, exchange.sharedTokens);
    if (Limits::isQuarantined(tables.quarantine, exchange.fingerprint, now)) {
        Core::fail(error, ErrorKind::Overloaded, "identical requests crashed backend servers; the request is quarantined");
        error.retryAfter = 60s;
        return false;
    }
    if (exchange.team) {
        auto const cost = Forward::quotaCost(*exchange.team, exchange.attributes.tokens);
        auto const demand = Forward::quotaDemand(tables.quotas, exchange.team->name, now);
        auto const share = Forward::admissionShare(tables.quotas, tables.peers, tables.servers.rows.size(), exchange.team->name, now);
        auto const wait = Forward::admitToQuota(tables.quotas, *exchange.team, cost, share, { m_dependencies.settings.quotaWindow, m_dependencies.settings.quotaSlack, Forward::reportInterval(tables.peers.rows.size()) }, now);
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
    Exchange exchange { .request = request, .writer = writer, .arrivedAt = m_dependencies.runtime.now() };
    Core::Error error;
    co_await waitUntilUsable();
    if (!admit(exchange, error)) {
        co_await refuse(exchange, std::move(error));
        logRequest(exchange);
        co_return;
    }
    m_active.insert(&exchange);
    writer.onPeerClosed([&exchange] {
        exchange.clientDisconnected = true;
        exchange.cancellation.cancel();
    });
    auto timer = m_dependencies.runtime.callAt(exchange.deadline, [&exchange] {
        exchange.cancellation.cancel();
        // Also ends a write to a client that does not read.
        if (exchange.streamStarted)
            exchange.writer.abort();
    });
    co_await run(exchange);
    timer.cancel();
    writer.onPeerClosed({});
    m_active.erase(&exchange);
    logRequest(exchange);
}

Forward::AttemptHistory RequestForwarder::attemptHistory(Exchange const& exchange) const
{
    return {
        .kind = exchange.route->kind,
        .isResumable = exchange.route->isResumable,
        .maximumServers = exchange.route->maximumServers,
        .attempts = exchange.attempts,
        .possibleRuns = exchange.possibleRuns,
        .timeLeft = toMilliseconds(exchange.deadline - m_dependencies.runtime.now()),
    };
}

bool RequestForwarder::chargeRetryBudget(Exchange const& exchange)
{
    // Each node uses its share of this fraction of the deployment's budget; the remainder is reserved for nodes whose reports do not
    // reach this one.
    static constexpr double budgetFraction = 0.6;
    auto const& settings = m_dependencies.settings;
    auto& budgets = m_dependencies.tables.retryBudgets;
    // Before the first reports arrive, the number of peers is estimated from the seed addresses.
    auto const& peers = m_dependencies.tables.peers;
    double const nodes = static_cast<double>(std::max(peers.rows.size() + 1, peers.candidates.size()));
    double const slack = budgetFraction * settings.retrySlack / nodes / 2;
    double const perSecond = slack / std::chrono::duration<double>(settings.retryWindow).count();
    double const capacity = std::max(slack, 1.0);
    auto const [found, isNew] = budgets.try_emplace(exchange.service, budgetFraction * settings.retryRatio, perSecond, capacity);
    if (!isNew)
        found->second.resize(perSecond, capacity);
    if (exchange.attempts == 0) {
        found->second.recordRequest(m_dependencies.runtime.now());
        return true;
    }
    return found->second.tryTake(m_dependencies.runtime.now());
}

Core::Awaitable<void> RequestForwarder::run(Exchange& exchange)
{
    (void)chargeRetryBudget(exchange);
    Core::Error error;
    while (true) {
        auto const outcome = co_await attempt(exchange, error);
        if (exchange.clientDisconnected)
            co_return;
        auto const next = exchange.triedServers.size() < exchange.attempts ? Forward::NextStep::Finish : Forward::decideNextStep(outcome, attemptHistory(exchange));
        bool const shouldRetry = !exchange.cancellation.isCancelled() && !exchange.streamFinished
            && (next == Forward::NextStep::Retry || (next == Forward::NextStep::RetryWithinBudget && chargeRetryBudget(exchange)));
        // A server's error response is kept and returned unless a later attempt replaces it.
        if (shouldRetry)
            continue;
        co_await finish(exchange, outcome, std::move(error));
        co_return;
    }
}

Core::Awaitable<AttemptOutcome> RequestForwarder::attempt(Exchange& exchange, Core::Error& error)
{
    auto& tables = m_dependencies.tables;
    ++exchange.attempts;
    Routing::PlacementRequest const placementRequest { exchange.service, m_dependencies.settings.dataCentre, exchange.sharedPrefixHash, exchange.sharedTokens, exchange.triedServers };
    auto placement = Routing::placeRequest(tables.servers, placementRequest, tables.placementCosts, m_dependencies.random, m_dependencies.runtime.now(), error);
    if (!placement)
        co_return AttemptOutcome::NotSent;
    exchange.triedServers.push_back(placement->serverId);
    exchange.chosenServerLoad = placement->requestsInProgress;
    exchange.chosenHomeRank = placement->homeRank;
    exchange.cacheSource = placement->cacheSource;
    Attempt attempt { .placement = std::move(*placement), .sentAt = m_dependencies.runtime.now() };
    OutstandingScope const scope(tables, attempt.placement.serverId, exchange.fingerprint);

    Forward::ForwardAttributes attributes;
    attributes.timeLeft = toMilliseconds(exchange.deadline - attempt.sentAt);
    attributes.serverId = attempt.placement.serverId;
    if (exchange.team) {
        static constexpr std::uint32_t lowestPriority = 9;
        attributes.team = exchange.team->name;
        attributes.priority = std::min(exchange.team->priority.value_or(exchange.route->priority), lowestPriority);
    }
    if (exchange.events.lastId())
        attributes.lastEventId = exchange.events.lastId();
    attributes.cacheSource = attempt.placement.cacheSource;
    HTTP::ExchangeOptions options {
        .use = HTTP::ConnectionUse::PooledNoRetry,
        .unframed = HTTP::UnframedResponse::ReadUntilClose,
        .matchesRequest = [this, &exchange](HTTP::Headers const& headers) {
            auto const id = m_dependencies.codec.decodeResponse(0, headers).attemptId;
            return id.empty() || id == exchange.attributes.attemptId;
        },
        .cancellation = &exchange.cancellation,
    };
    auto forwarded = m_dependencies.codec.encodeForward(exchange.request, attributes);
    attempt.stream = co_await m_dependencies.client.openStream(attempt.placement.endpoint, std::move(forwarded), std::move(options), exchange.deadline, error);
    auto outcome = AttemptOutcome::Unknown;
    if (!attempt.stream) {
        outcome = error.runState == RunState::NotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown;
        if (outcome == AttemptOutcome::Unknown)
            ++exchange.possibleRuns;
    } else {
        attempt.attributes = m_dependencies.codec.decodeResponse(attempt.stream->status(), attempt.stream->headers());
        if (!attempt.attributes.isNotExecuted)
            ++exchange.possibleRuns;
        static constexpr unsigned ok = 200;
        bool const isStream = exchange.route->kind == RequestKind::Stream && attempt.stream->status() == ok;
        outcome = isStream ? co_await forwardStream(exchange, attempt, error) : co_await readResponse(exchange, attempt, error);
    }
    recordOutcome(exchange, attempt, outcome, error);
    co_return outcome;
}

Core::Awaitable<AttemptOutcome> RequestForwarder::readResponse(Exchange& exchange, Attempt& attempt, Core::Error& error)
{
    HTTP::Response response { attempt.stream->status(), {}, {} };
    while (true) {
        auto piece = co_await attempt.stream->readSome(exchange.deadline, error);
        if (!piece)
            co_return attempt.attributes.isNotExecuted ? AttemptOutcome::NotExecuted : AttemptOutcome::Unknown;
        if (piece->empty())
            break;
        response.body += *piece;
    }
    if (attempt.attributes.isNotExecuted) {
        Core::fail(error, ErrorKind::Overloaded, "the server returned status " + std::to_string(response.status) + " without executing the request");
        co_return AttemptOutcome::NotExecuted;
    }
    static constexpr unsigned firstServerError = 500;
    if (!attempt.attributes.isSigned && response.status < firstServerError && attempt.attributes.attemptId.empty()) {
        Core::fail(error, ErrorKind::BackendAnswerInvalid, "the response is unsigned and has no attempt id", RunState::Unknown);
        co_return AttemptOutcome::Unknown;
    }
    recordRequestStart(exchange);
    response.headers = m_dependencies.codec.filterResponseHeaders(attempt.stream->headers());
    bool const failed = response.status >= firstServerError;
    exchange.response = std::move(response);
    co_return failed ? AttemptOutcome::ServerError : AttemptOutcome::ResponseReceived;
}

// A resumable stream that stalls between two events is continued at another server before its client times out. Clients wait at
// least two seconds for the next event; engines under load pause for some hundred milliseconds.
Core::MonotonicTime RequestForwarder::stallDeadline(Exchange const& exchange) const
{
    static constexpr Core::Duration maximumEventGap = 1s;
    bool const mayContinue = exchange.route->isResumable && exchange.firstEventAt && exchange.possibleRuns < exchange.route->maximumServers;
    return mayContinue ? std::min(exchange.deadline, m_dependencies.runtime.now() + maximumEventGap) : exchange.deadline;
}

Core::Awaitable<AttemptOutcome> RequestForwarder::forwardStream(Exchange& exchange, Attempt& attempt, Core::Error& error)
{
    exchange.events.dropPartial();
    while (true) {
        auto piece = co_await attempt.stream->readSome(stallDeadline(exchange), error);
        if (!piece)
            co_return AttemptOutcome::Unknown;
        auto events = exchange.events.feed(*piece);
        bool const isEnd = piece->empty();
        if (isEnd && !exchange.events.partial().empty()) {
            Core::fail(error, ErrorKind::BackendAnswerInvalid, "the stream ended in the middle of an event", RunState::Unknown);
            co_return AttemptOutcome::Unknown;
        }
        if (!events.empty()) {
            recordRequestStart(exchange);
            if (!exchange.firstEventAt)
                exchange.firstEventAt = m_dependencies.runtime.now();
        }
        if (!exchange.streamStarted && (!events.empty() || isEnd)) {
            exchange.status = attempt.stream->status();
            exchange.streamStarted = true;
            bool const isConnected = co_await exchange.writer.begin(exchange.status, m_dependencies.codec.filterResponseHeaders(attempt.stream->headers()));
            exchange.clientDisconnected = exchange.clientDisconnected || !isConnected;
        }
        if (!events.empty() && !exchange.clientDisconnected) {
            bool const isConnected = co_await exchange.writer.write(std::move(events));
            exchange.clientDisconnected = exchange.clientDisconnected || !isConnected;
        }
        if (exchange.clientDisconnected) {
            Core::fail(error, ErrorKind::Cancelled, "the client disconnected", RunState::Ran);
            co_return AttemptOutcome::Unknown;
        }
        if (isEnd) {
            exchange.streamFinished = true;
            co_return AttemptOutcome::ResponseReceived;
        }
    }
}

void RequestForwarder::recordRequestStart(Exchange& exchange)
{
    if (exchange.startRecorded || !exchange.team)
        return;
    exchange.startRecorded = true;
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.runtime.wallNow().time_since_epoch());
    auto const lead = Forward::medianClockOffset(m_dependencies.tables.peers, m_dependencies.runtime.now());
    auto const window = Forward::usageWindow((now + lead).count(), m_dependencies.settings.usageWindow.count());
    Forward::recordRequestStart(m_dependencies.tables.usage, m_dependencies.settings.nodeId, m_dependencies.incarnation, exchange.team->name, window);
}

void RequestForwarder::recordOutcome(Exchange& exchange, Attempt const& attempt, AttemptOutcome outcome, Core::Error const& error)
{
    auto const now = m_dependencies.runtime.now();
    exchange.attemptTrace += (exchange.attemptTrace.empty() ? "" : ",") + attempt.placement.serverId + ":" + std::string(outcomeName(outcome));
    auto* row = Routing::findServer(m_dependencies.tables.servers, attempt.placement.serverId);
    bool const cancelledLocally = exchange.cancellation.isCancelled() || exchange.clientDisconnected;
    if (outcome == AttemptOutcome::ResponseReceived) {
        Limits::recordFinished(m_dependencies.tables.quarantine, exchange.fingerprint);
        if (row)
            Routing::recordSuccess(*row);
    } else if (outcome == AttemptOutcome::Unknown && !cancelledLocally && error.kind != ErrorKind::DeadlineExceeded) {
        Limits::ServerCrash crash { .at = now, .serverId = attempt.placement.serverId };
        auto const [first, last] = m_dependencies.tables.runningByServer.equal_range(attempt.placement.serverId);
        for (auto entry = first; entry != last; ++entry)
            crash.batch.push_back(entry->second);
        for (auto const fingerprint : Limits::recordCrash(m_dependencies.tables.quarantine, std::move(crash)))
            Core::logEvent(Core::LogLevel::Warning, "request_quarantined", { { "fingerprint", std::uint64_t(fingerprint) }, { "request", exchange.attributes.attemptId } });
    }
    if (row && !cancelledLocally && (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Unknown))
        Routing::recordFailure(*row, now);
    // For a stream, the service time ends at the first event, which follows queueing and prefill.
    if (row && outcome == AttemptOutcome::ResponseReceived && exchange.attempts == 1) {
        auto const end = exchange.firstEventAt.value_or(now);
        Routing::recordServiceTime(*row, std::chrono::duration<double>(end - attempt.sentAt).count(), now);
    }
}

Core::Awaitable<void> RequestForwarder::finish(Exchange& exchange, AttemptOutcome outcome, Core::Error error)
{
    if (exchange.streamFinished) {
        (void)co_await exchange.writer.finish();
        co_return;
    }
    exchange.failureReason = error.message;
    if (exchange.streamStarted) {
        exchange.writer.abort();
        co_return;
    }
    if (exchange.response) {
        exchange.status = exchange.response->status;
        (void)co_await exchange.writer.send(std::move(*exchange.response));
        co_return;
    }
    auto const history = attemptHistory(exchange);
    error.kind = Forward::errorAfter(outcome, history);
    error.runState = history.possibleRuns > 0 ? RunState::Unknown : RunState::NotRun;
    if (error.runState == RunState::NotRun)
        error.retryAfter = retryAfterRefusal;
    co_await refuse(exchange, std::move(error));
}

Core::Awaitable<void> RequestForwarder::refuse(Exchange& exchange, Core::Error error)
{
    auto response = HTTP::problemResponse(error);
    exchange.status = response.status;
    exchange.failureReason = std::string(Core::errorResponseFor(error.kind).name) + ": " + error.message;
    m_dependencies.codec.addErrorHeaders(response, exchange.attributes.attemptId, error.retryAfter);
    m_dependencies.metrics.counter("hyssopstep_refusals_total", { { "kind", std::string(Core::errorResponseFor(error.kind).name) } }).add();
    (void)co_await exchange.writer.send(std::move(response));
}

void RequestForwarder::cancelAll()
{
    for (auto* exchange : m_active)
        exchange->cancellation.cancel();
}

void RequestForwarder::logRequest(Exchange const& exchange) const
{
    auto const now = m_dependencies.runtime.now();
    auto const elapsed = toMilliseconds(now - exchange.arrivedAt).count();
    std::string_view outcome = "answered";
    if (exchange.clientDisconnected)
        outcome = "client_left";
    else if (exchange.streamStarted && !exchange.streamFinished)
        outcome = "broken_off";
    else if (!exchange.failureReason.empty())
        outcome = "refused";
    std::vector<Core::LogField> fields {
        { "request", exchange.attributes.attemptId },
        { "outcome", outcome },
        { "status", exchange.status },
        { "milliseconds", std::int64_t(elapsed) },
    };
    if (exchange.routes)
        fields.emplace_back("configuration", std::uint64_t(exchange.routes->version));
    if (exchange.route)
        fields.emplace_back("route", exchange.route->name);
    if (exchange.team)
        fields.emplace_back("team", exchange.team->name);
    if (exchange.firstEventAt)
        fields.emplace_back("first_event", std::int64_t(toMilliseconds(*exchange.firstEventAt - exchange.arrivedAt).count()));
    if (!exchange.attemptTrace.empty()) {
        fields.emplace_back("servers", exchange.attemptTrace);
        fields.emplace_back("servers_revision", std::uint64_t(m_dependencies.tables.serversRevision));
        fields.emplace_back("server_load", exchange.chosenServerLoad);
        fields.emplace_back("home_rank", exchange.chosenHomeRank);
        if (exchange.sharedTokens > 0)
            fields.emplace_back("shared_tokens", exchange.sharedTokens);
        if (exchange.cacheSource)
            fields.emplace_back("cache_source", exchange.cacheSource->toString());
    }
    if (!exchange.failureReason.empty())
        fields.emplace_back("reason", exchange.failureReason);
    Core::logEvent(Core::LogLevel::Info, "request", fields);
    std::string const routeName = exchange.route ? exchange.route->name : "none";
    m_dependencies.metrics.counter("hyssopstep_requests_total", { { "outcome", std::string(outcome) }, { "status", std::to_string(exchange.status) } }).add();
    m_dependencies.metrics.histogram("hyssopstep_request_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(now - exchange.arrivedAt).count());
    if (exchange.firstEventAt)
        m_dependencies.metrics.histogram("hyssopstep_first_event_seconds", { { "route", routeName } }).observe(std::chrono::duration<double>(*exchange.firstEventAt - exchange.arrivedAt).count());
}

}
