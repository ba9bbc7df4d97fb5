#include <Node/Gateway.h>

#include <LibCore/Log.h>
#include <LibHTTP/Problem.h>
#include <LibHTTP/ServerSentEvents.h>
#include <LibRouting/ServerChoice.h>
#include <boost/json/parse.hpp>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace Node {

using Core::ErrorKind;
using Core::RunState;
using namespace std::chrono_literals;

static constexpr std::string_view servicesPrefix = "/services/";
static constexpr std::string_view requestsPrefix = "/v1/requests/";
static constexpr auto defaultTimeout = 300s;
static constexpr std::int64_t maximumTimeoutMilliseconds = 3'600'000;

Gateway::Gateway(Dependencies node)
    : m_dependencies(std::move(node))
{
}

Core::Awaitable<void> Gateway::refuse(HTTP::ResponseWriter& writer, Core::Error error, std::string requestId)
{
    m_dependencies.metrics.counter("hyssopstep_refused_total", { { "kind", std::string(Core::errorResponseFor(error.kind).name) }, { "run_state", std::string(Core::runStateName(error.runState)) } }).add();
    Core::logEvent(Core::LogLevel::Info, "request_refused", { { "request_id", requestId }, { "kind", Core::errorResponseFor(error.kind).name }, { "run_state", Core::runStateName(error.runState) }, { "detail", error.message } });
    auto response = HTTP::problemResponse(error, requestId);
    auto const sent = co_await writer.send(std::move(response));
    if (!sent)
        Core::logEvent(Core::LogLevel::Debug, "client_gone", { { "request_id", requestId } });
}

// Adjusts an error that occurs before the request is looked up. A repeated key or a continuation refers to a request that may have
// run at another node, so NotRun becomes Unknown.
static Core::Error errorBeforeLookup(HTTP::Request const& request, Core::Error error)
{
    if (error.runState != RunState::NotRun)
        return error;
    if (request.path().starts_with(requestsPrefix)) {
        error.runState = RunState::Unknown;
    } else if (request.headers.find("Idempotency-Key")) {
        error.runState = RunState::Unknown;
        error.message += "; this request was not run, but an earlier one with the same key may have run";
    }
    return error;
}

Core::Awaitable<void> Gateway::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    if (request.bodyState == HTTP::BodyState::Refused) {
        Core::Error noRoom;
        Core::fail(noRoom, ErrorKind::Overloaded, "there is no memory, or no time, for the request");
        co_await refuse(writer, noRoom, "");
        co_return;
    }
    auto const path = request.path();
    if (path.starts_with(servicesPrefix)) {
        co_await serveService(request, writer);
        co_return;
    }
    Core::Error error;
    // A malformed query would otherwise be ignored, and a continuation would start at the first event.
    if (!request.hasWellFormedTarget()) {
        Core::fail(error, ErrorKind::InvalidRequest, "the request's target is not a well-formed path with a query");
        co_await refuse(writer, errorBeforeLookup(request, error), "");
        co_return;
    }
    bool const isContinuation = path.starts_with(requestsPrefix);
    bool const isChat = path == "/v1/chat/completions";
    if (!isContinuation && !isChat && path != "/v1/completions") {
        Core::fail(error, ErrorKind::NotFound, "unknown path " + std::string(path));
        co_await refuse(writer, error, "");
        co_return;
    }
    if (request.method != (isContinuation ? "GET" : "POST")) {
        Core::fail(error, ErrorKind::MethodNotAllowed, request.method + " is not allowed on " + std::string(path));
        co_await refuse(writer, error, "");
        co_return;
    }
    if (isContinuation)
        co_await continueRequest(request, writer);
    else
        co_await serveModel(isChat ? ModelInterface::Chat : ModelInterface::Completion, request, writer);
}

bool Gateway::checkReady(Core::Error& error) const
{
    if (m_dependencies.tables.phase == NodePhase::Serving)
        return true;
    if (m_dependencies.tables.phase == NodePhase::Starting)
        Core::fail(error, ErrorKind::NotReady, "the node has no configuration yet");
    else
        Core::fail(error, ErrorKind::Draining, "the node is shutting down");
    return false;
}

static std::optional<std::string_view> bearerKey(HTTP::Request const& request)
{
    static constexpr std::string_view scheme = "Bearer ";
    auto const header = request.headers.find("Authorization");
    if (!header || !header->starts_with(scheme))
        return std::nullopt;
    return header->substr(scheme.size());
}

static std::optional<std::chrono::milliseconds> parseTimeout(HTTP::Request const& request, Core::Error& error)
{
    auto const header = request.headers.find("Hyssopstep-Deadline-Ms");
    if (!header)
        return defaultTimeout;
    std::int64_t value = 0;
    auto const parsed = std::from_chars(header->data(), header->data() + header->size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != header->data() + header->size() || value < 1 || value > maximumTimeoutMilliseconds)
        return Core::fail(error, ErrorKind::InvalidRequest, "Hyssopstep-Deadline-Ms must be 1 to " + std::to_string(maximumTimeoutMilliseconds) + " milliseconds");
    return std::chrono::milliseconds(value);
}

std::optional<Gateway::Admission> Gateway::authenticate(HTTP::Request const& request, std::string_view service, Core::Error& error) const
{
    auto const key = bearerKey(request);
    if (!key)
        return Core::fail(error, ErrorKind::Unauthorized, "an Authorization header with a bearer key is required");
    Admission admission;
    admission.team = Configuration::findTeamByKey(m_dependencies.tables.configuration.desired, *key);
    if (!admission.team)
        return Core::fail(error, ErrorKind::Unauthorized, "the bearer key does not belong to any team");
    auto const& services = admission.team->services;
    if (!service.empty() && std::find(services.begin(), services.end(), service) == services.end())
        return Core::fail(error, ErrorKind::Forbidden, "team " + admission.team->name + " may not use service " + std::string(service));
    auto const timeout = parseTimeout(request, error);
    if (!timeout)
        return std::nullopt;
    admission.timeout = *timeout;
    admission.deadline = m_dependencies.runtime.now() + *timeout;
    return admission;
}

// A client that repeats a request with the same Idempotency-Key gets the same request, on any node.
std::string Gateway::requestIdFor(HTTP::Request const& request, std::string const& team)
{
    auto const key = request.headers.find("Idempotency-Key");
    char buffer[40];
    if (key) {
        auto const text = team + '\n' + std::string(*key);
        auto const hash = XXH3_128bits(text.data(), text.size());
        std::snprintf(buffer, sizeof(buffer), "k%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    } else {
        std::snprintf(buffer, sizeof(buffer), "r%016llx%016llx", static_cast<unsigned long long>(m_dependencies.random.bits()), static_cast<unsigned long long>(m_dependencies.random.bits()));
    }
    return buffer;
}

static Limits::TeamLimit limitOf(Configuration::Team const& team)
{
    return { static_cast<double>(team.limits.requestsPerSecond), static_cast<double>(team.limits.tokensPerSecond), team.limits.concurrentRequests };
}

bool Gateway::checkDeadline(ModelRequest const& model, Admission const& admission, std::uint32_t expectedTokens, Core::Error& error) const
{
    Routing::RoutingRequest routing;
    routing.service = model.service;
    routing.dataCentre = m_dependencies.dataCentre;
    routing.promptTokens = static_cast<std::uint32_t>(model.promptTokens.size());
    routing.expectedTokens = expectedTokens;
    auto const wait = Routing::shortestPredictedWait(m_dependencies.tables.servers, routing, m_dependencies.runtime.now());
    if (!wait) {
        Core::fail(error, ErrorKind::NoServerAvailable, "no backend server of service " + model.service + " accepts new work");
        return false;
    }
    auto const waitMilliseconds = std::chrono::milliseconds(static_cast<std::int64_t>(*wait * 1000));
    if (waitMilliseconds < admission.timeout)
        return true;
    Core::fail(error, ErrorKind::DeadlineTooShort, "the predicted wait of " + std::to_string(waitMilliseconds.count()) + " ms leaves no time before the deadline");
    error.retryAfter = waitMilliseconds - admission.timeout;
    return false;
}

bool Gateway::checkOverload(ModelRequest const& model, Configuration::Team const& team, double work, Core::Error& error)
{
    static constexpr double defaultTargetSeconds = 0.5;
    // With a limit of one target, up to 15 of 701 model requests were refused in random bursts at 70 % load.
    static constexpr double queueTargetFactor = 4;
    static constexpr double millisecondsPerSecond = 1000;
    auto const now = m_dependencies.runtime.now();
    auto& admittedWork = m_dependencies.tables.admittedWork[model.service];
    auto const& desired = m_dependencies.tables.configuration.desired;
    auto const* service = Configuration::findService(desired, model.service);
    double const target = service && service->target.firstTokenMilliseconds > 0 ? service->target.firstTokenMilliseconds / millisecondsPerSecond : defaultTargetSeconds;
    auto const& mix = m_dependencies.tables.workMixes[model.service];
    auto const length = Routing::classifyWorkLength(mix, work);
    auto const queue = Routing::queueSeconds(m_dependencies.tables.servers, mix, model.service, length, now);
    auto const meanWork = Routing::meanSeconds(mix, length);
    std::map<std::string, double, std::less<>> shares;
    for (auto const& other : desired.teams)
        shares.emplace(other.name, other.share);
    auto const wait = Limits::decideShedding(Limits::teamShare(admittedWork, shares, team.name, now), meanWork > 0 ? work / meanWork : 1, queue, queueTargetFactor * target);
    if (wait && m_dependencies.shedding == Shedding::ByShare) {
        Core::fail(error, ErrorKind::Overloaded, "the queue of " + model.service + " exceeds the limit for team " + team.name + " at its present share of the work");
        error.retryAfter = *wait;
        return false;
    }
    Limits::recordAdmittedWork(admittedWork, team.name, work, now);
    return true;
}

Core::Awaitable<void> Gateway::serveModel(ModelInterface interface, HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    Core::Error error;
    if (!checkReady(error)) {
        co_await refuse(writer, errorBeforeLookup(request, error), "");
        co_return;
    }
    auto model = parseModelRequest(interface, request.body, error);
    if (!model) {
        co_await refuse(writer, errorBeforeLookup(request, error), "");
        co_return;
    }
    auto admission = authenticate(request, model->service, error);
    if (!admission) {
        co_await refuse(writer, errorBeforeLookup(request, error), "");
        co_return;
    }
    auto const requestId = requestIdFor(request, admission->team->name);
    admission->requestId = requestId;
    auto const* service = Configuration::findService(m_dependencies.tables.configuration.desired, model->service);
    if (!service || service->kind != Configuration::ServiceKind::Model) {
        Core::fail(error, ErrorKind::NotFound, "unknown model " + model->service);
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    auto const deadlineWall = m_dependencies.runtime.wallNow() + admission->timeout;
    model->deadlineMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(deadlineWall.time_since_epoch()).count();
    bool const accepted = co_await acceptModel(*model, *admission, error);
    if (!accepted) {
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    co_await respond(requestId, model->responseMode, {}, writer);
}

Core::Awaitable<bool> Gateway::acceptModel(ModelRequest const& model, Admission const& admission, Core::Error& error)
{
    auto const now = m_dependencies.runtime.now();
    auto const team = admission.team->name;
    auto const limit = limitOf(*admission.team);
    bool const isRepeatable = admission.requestId.starts_with('k');
    if (isRepeatable) {
        // A request with an idempotency key may exist at this or another node; it is then continued instead of run again.
        Core::Error findError;
        bool const known = co_await m_dependencies.takeOver.ensureLocal(admission.requestId, "", SearchScope::Probable, admission.deadline, findError);
        if (known)
            co_return true;
    }
    auto const fingerprint = ModelRunner::fingerprintOf(model);
    if (Limits::isQuarantined(m_dependencies.tables.quarantine, fingerprint, now) || m_dependencies.isQuarantinedByPeers(fingerprint)) {
        Core::fail(error, ErrorKind::RequestQuarantined, "the request crashed several backend servers");
        co_return false;
    }
    Routing::LengthHint const hint { team, model.service, static_cast<std::uint32_t>(model.promptTokens.size()), model.maximumTokens };
    auto const expectedTokens = m_dependencies.tables.lengths.estimate(hint);
    if (!checkDeadline(model, admission, expectedTokens, error))
        co_return false;
    Limits::recordDemand(m_dependencies.tables.teamLimits, team, now);
    if (!Limits::admit(m_dependencies.tables.teamLimits, team, limit, m_dependencies.limitFraction(team), expectedTokens, now, error))
        co_return false;
    auto const work = Routing::workSeconds(m_dependencies.tables.servers, model.service, hint.promptTokens, expectedTokens);
    if (!checkOverload(model, *admission.team, work, error)) {
        Limits::release(m_dependencies.tables.teamLimits, team, expectedTokens, 0);
        co_return false;
    }

    // A concurrent request with the same key may have been added while this one searched other nodes.
    if (m_dependencies.streams.find(admission.requestId)) {
        Limits::release(m_dependencies.tables.teamLimits, team, expectedTokens, 0);
        co_return true;
    }
    Stream::Stream stream;
    stream.requestId = admission.requestId;
    stream.originNodeId = m_dependencies.nodeId;
    stream.team = team;
    stream.service = model.service;
    stream.requestJson = encodeModelRequest(model);
    auto* added = m_dependencies.streams.add(std::move(stream), error);
    if (!added) {
        Limits::release(m_dependencies.tables.teamLimits, team, expectedTokens, 0);
        co_return false;
    }
    m_dependencies.replicator.start(*added);
    auto const release = [](Gateway& gateway, std::string id, std::string teamName, std::uint32_t expected) -> Core::Awaitable<void> {
        while (auto const* current = gateway.m_dependencies.streams.find(id)) {
            if (current->phase != Stream::StreamPhase::Running || current->role != Stream::StreamRole::Serving) {
                Limits::release(gateway.m_dependencies.tables.teamLimits, teamName, expected, static_cast<std::uint32_t>(current->tokens.size()));
                co_return;
            }
            auto const changed = current->changed;
            (void)co_await changed->waitUntil(gateway.m_dependencies.runtime.now() + 60s);
        }
        Limits::release(gateway.m_dependencies.tables.teamLimits, teamName, expected, 0);
    };
    m_dependencies.runtime.spawn(release(*this, admission.requestId, team, expectedTokens));
    bool const recorded = co_await m_dependencies.replicator.waitUntilRecorded(admission.requestId, admission.deadline, error);
    if (!recorded) {
        if (auto* current = m_dependencies.streams.find(admission.requestId))
            m_dependencies.streams.fail(*current, error);
        co_return false;
    }
    m_dependencies.metrics.counter("hyssopstep_accepted_total", { { "service", model.service }, { "team", team } }).add();
    Core::logEvent(Core::LogLevel::Info, "request_accepted", { { "request_id", admission.requestId }, { "team", team }, { "service", model.service }, { "prompt_tokens", model.promptTokens.size() }, { "expected_tokens", expectedTokens } });
    m_dependencies.runner.start(admission.requestId);
    co_return true;
}

Core::Awaitable<void> Gateway::continueRequest(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    Core::Error error;
    auto const requestId = std::string(request.path().substr(requestsPrefix.size()));
    auto const admission = authenticate(request, "", error);
    if (m_dependencies.tables.phase == NodePhase::Starting) {
        (void)checkReady(error);
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    if (!admission) {
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    auto const team = admission->team->name;
    auto const* known = m_dependencies.streams.find(requestId);
    if (m_dependencies.tables.phase == NodePhase::Draining && (!known || known->role != Stream::StreamRole::Serving)) {
        // A draining node does not take over streams.
        (void)checkReady(error);
        co_await refuse(writer, error, requestId);
        co_return;
    }
    auto const eventId = request.queryParameter("from").value_or("");
    Core::Error positionError;
    if (!eventId.empty() && !Stream::parsePosition({}, eventId, positionError) && positionError.kind == ErrorKind::InvalidRequest) {
        co_await refuse(writer, errorBeforeLookup(request, positionError), requestId);
        co_return;
    }
    bool const here = co_await m_dependencies.takeOver.ensureLocal(requestId, eventId, SearchScope::All, admission->deadline, error);
    auto const* stream = m_dependencies.streams.find(requestId);
    if (!here || !stream) {
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    if (stream->team != team) {
        // The message is the same as for an unknown request, so that ids cannot be probed.
        Core::fail(error, ErrorKind::StreamNotFound, "no reachable node has request " + requestId, RunState::Unknown);
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    Stream::StreamPosition from;
    if (!eventId.empty()) {
        auto const position = Stream::parsePosition(stream->tokens, eventId, error);
        if (!position) {
            co_await refuse(writer, errorBeforeLookup(request, error), requestId);
            co_return;
        }
        from = *position;
    }
    auto const model = decodeModelRequest(stream->requestJson);
    auto const mode = model ? model->responseMode : ResponseMode::Buffered;
    co_await respond(requestId, mode, from, writer);
}

Core::Awaitable<void> Gateway::respond(std::string requestId, ResponseMode mode, Stream::StreamPosition from, HTTP::ResponseWriter& writer)
{
    auto const* stream = m_dependencies.streams.find(requestId);
    auto model = stream ? decodeModelRequest(stream->requestJson) : std::nullopt;
    if (!model) {
        Core::Error error;
        Core::fail(error, ErrorKind::Internal, "the recorded request cannot be decoded", RunState::Unknown);
        co_await refuse(writer, error, requestId);
        co_return;
    }
    if (mode == ResponseMode::Streamed)
        co_await streamResponse(requestId, std::move(*model), from, writer);
    else
        co_await sendBufferedResponse(requestId, std::move(*model), writer);
}

static bool isServedOrComplete(Stream::Stream const& stream)
{
    if (stream.role == Stream::StreamRole::Serving)
        return true;
    return stream.role == Stream::StreamRole::Replica && stream.phase != Stream::StreamPhase::Running;
}

// Returning without finish() closes the connection; the client then reconnects and continues at another node.
Core::Awaitable<void> Gateway::streamResponse(std::string requestId, ModelRequest model, Stream::StreamPosition from, HTTP::ResponseWriter& writer)
{
    HTTP::Headers const headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "Hyssopstep-Request-Id", requestId } };
    static constexpr unsigned ok = 200;
    bool open = co_await writer.begin(ok, headers);
    auto sent = from;
    while (open) {
        auto const* stream = m_dependencies.streams.find(requestId);
        if (!stream || !isServedOrComplete(*stream))
            co_return;
        std::string events;
        auto const visible = Stream::visibleTokens(*stream);
        while (sent.count < visible) {
            auto const& token = stream->tokens[sent.count];
            sent = Stream::advancePosition(sent, token);
            events += HTTP::formatEvent({ Stream::formatPosition(sent), tokenEventData(model, requestId, token) });
        }
        bool const atEnd = sent.count == stream->tokens.size() && Stream::isEndVisible(*stream);
        if (atEnd && stream->phase == Stream::StreamPhase::Failed) {
            events += HTTP::formatEvent({ "", HTTP::problemResponse(stream->failure, requestId).body });
        } else if (atEnd) {
            events += HTTP::formatEvent({ "", finishEventData(model, requestId, stream->finishReason) });
            events += HTTP::formatEvent({ "", "[DONE]" });
        }
        auto const changed = stream->changed;
        if (!events.empty()) {
            open = co_await writer.write(std::move(events));
            if (atEnd && open)
                (void)co_await writer.finish();
            if (atEnd)
                co_return;
            // The stream may have changed while the events were written.
            continue;
        }
        (void)co_await changed->waitUntil(m_dependencies.runtime.now() + 60s);
    }
}

Core::Awaitable<void> Gateway::sendBufferedResponse(std::string requestId, ModelRequest model, HTTP::ResponseWriter& writer)
{
    while (true) {
        auto const* stream = m_dependencies.streams.find(requestId);
        if (!stream || !isServedOrComplete(*stream)) {
            Core::Error error;
            Core::fail(error, ErrorKind::StreamTakenOver, "GET " + std::string(requestsPrefix) + requestId + " gives the response", RunState::Unknown);
            co_await refuse(writer, error, requestId);
            co_return;
        }
        if (Stream::isEndVisible(*stream)) {
            if (stream->phase == Stream::StreamPhase::Failed) {
                co_await refuse(writer, stream->failure, requestId);
                co_return;
            }
            HTTP::Response response;
            response.headers.add("Content-Type", "application/json");
            response.headers.add("Hyssopstep-Request-Id", requestId);
            response.body = bufferedResponseBody(model, requestId, stream->tokens, stream->finishReason);
            (void)co_await writer.send(std::move(response));
            co_return;
        }
        auto const changed = stream->changed;
        (void)co_await changed->waitUntil(m_dependencies.runtime.now() + 60s);
    }
}

// Selects the client headers that backend servers need, without those of the connection and of this system.
static HTTP::Headers forwardedHeaders(HTTP::Headers const& headers)
{
    HTTP::Headers forwarded;
    for (auto const* name : { "Content-Type", "Accept", "Accept-Language", "User-Agent" }) {
        if (auto const value = headers.find(name))
            forwarded.add(name, std::string(*value));
    }
    return forwarded;
}

Core::Awaitable<void> Gateway::serveService(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    Core::Error error;
    auto const rest = request.target.substr(servicesPrefix.size());
    auto const serviceName = rest.substr(0, rest.find_first_of("/?"));
    auto admission = checkReady(error) ? authenticate(request, serviceName, error) : std::nullopt;
    if (!admission) {
        co_await refuse(writer, errorBeforeLookup(request, error), "");
        co_return;
    }
    ServiceCall call;
    call.requestId = requestIdFor(request, admission->team->name);
    call.team = admission->team->name;
    call.service = serviceName;
    call.deadline = admission->deadline;
    call.request.method = request.method;
    call.request.target = rest.size() > serviceName.size() && rest[serviceName.size()] == '/' ? rest.substr(serviceName.size()) : "/" + rest.substr(serviceName.size());
    call.request.headers = forwardedHeaders(request.headers);
    call.request.body = request.body;
    call.idempotencyKey = std::string(request.headers.find("Idempotency-Key").value_or(""));
    auto const requestId = call.requestId;

    auto const* service = Configuration::findService(m_dependencies.tables.configuration.desired, serviceName);
    auto const* operation = service ? Configuration::findOperation(*service, request.method, call.request.path()) : nullptr;
    if (!operation) {
        Core::fail(error, ErrorKind::NotFound, "service " + serviceName + " has no operation " + request.method + " " + std::string(call.request.path()));
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    call.idempotency = operation->idempotency;
    auto const now = m_dependencies.runtime.now();
    auto const team = call.team;
    Limits::recordDemand(m_dependencies.tables.teamLimits, team, now);
    if (!Limits::admit(m_dependencies.tables.teamLimits, team, limitOf(*admission->team), m_dependencies.limitFraction(team), 0, now, error)) {
        co_await refuse(writer, errorBeforeLookup(request, error), requestId);
        co_return;
    }
    bool const isJournalled = call.idempotency == Configuration::Idempotency::NonIdempotent;
    auto response = co_await m_dependencies.services.call(std::move(call), error);
    Limits::release(m_dependencies.tables.teamLimits, team, 0, 0);
    if (!response) {
        if (!isJournalled)
            error = errorBeforeLookup(request, error);
        co_await refuse(writer, error, requestId);
        co_return;
    }
    m_dependencies.metrics.counter("hyssopstep_service_calls_total", { { "service", serviceName }, { "team", team } }).add();
    HTTP::Response clientResponse;
    clientResponse.status = response->status;
    clientResponse.headers.add("Content-Type", std::string(response->headers.find("Content-Type").value_or("application/octet-stream")));
    clientResponse.headers.add("Hyssopstep-Request-Id", requestId);
    if (auto const replayed = response->headers.find("Hyssopstep-Replayed"))
        clientResponse.headers.add("Hyssopstep-Replayed", std::string(*replayed));
    clientResponse.body = std::move(response->body);
    (void)co_await writer.send(std::move(clientResponse));
}

}
