#include <Load/LoadRunner.h>

#include <LibHTTP/Problem.h>
#include <algorithm>

namespace Load {

namespace json = boost::json;
using namespace std::chrono_literals;

// The node itself responds when a deadline expires; the client waits longer, so that this response is counted.
static constexpr auto deadlineGrace = 2s;
static constexpr auto resumeDelay = 200ms;

static std::uint64_t microseconds(Core::Duration duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
}

static Core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(seconds));
}

static Failure transportFailure(Core::Error const& error)
{
    return { "transport", std::string(Core::errorResponseFor(error.kind).name), std::string(Core::runStateName(error.runState)) };
}

static Failure responseFailure(Core::Error const& error)
{
    auto failure = transportFailure(error);
    failure.source = "answer";
    return failure;
}

static Failure responseFailure(HTTP::Response const& response)
{
    if (auto const problem = HTTP::parseProblem(response))
        return responseFailure(*problem);
    return { "answer", "http_" + std::to_string(response.status), std::string(Core::runStateName(Core::RunState::Unknown)) };
}

LoadRunner::LoadRunner(Core::Runtime& runtime, HTTP::Client& client, Mix mix, RunSettings settings, Trace trace)
    : m_runtime(runtime)
    , m_client(client)
    , m_mix(std::move(mix))
    , m_settings(std::move(settings))
    , m_trace(std::move(trace))
    , m_progress(runtime)
{
    m_statistics.mix = m_mix.name;
    m_statistics.seed = m_settings.seed;
    for (auto const& target : m_settings.targets)
        m_statistics.targets.push_back(target.toString());
    for (auto const& requestClass : m_mix.classes)
        m_statistics.classes.push_back({ .name = requestClass.name });
}

Core::Awaitable<RunStatistics> LoadRunner::run()
{
    Core::Random random(m_settings.seed);
    m_bursts = drawBursts(m_mix.bursts, std::chrono::duration<double>(m_settings.duration).count(), random);
    m_startedAt = m_runtime.now();
    m_arrivalsEndAt = m_startedAt + m_settings.duration;
    m_activeGenerators = m_mix.classes.size();
    for (std::size_t index = 0; index < m_mix.classes.size(); ++index)
        m_runtime.spawn(generateArrivals(index));
    auto const end = m_arrivalsEndAt + m_settings.drainTime;
    while (!m_stopped && (m_activeGenerators > 0 || !m_openCalls.empty()) && m_runtime.now() < end)
        (void)co_await m_progress.waitUntil(end);
    auto const now = m_runtime.now();
    // stop() may have cut the arrivals short.
    auto const arrivalsEndedAt = m_stopped ? std::min(now, m_arrivalsEndAt) : m_arrivalsEndAt;
    m_stopped = true;
    m_statistics.durationSeconds = std::chrono::duration<double>(arrivalsEndedAt - m_startedAt).count();
    for (auto const& [id, call] : m_openCalls) {
        auto& statistics = m_statistics.classes[call.classIndex];
        ++statistics.openAtEnd;
        statistics.openAge.record(microseconds(now - call.intendedAt));
    }
    co_return m_statistics;
}

void LoadRunner::stop()
{
    m_stopped = true;
    m_progress.notifyAll();
}

Core::Awaitable<void> LoadRunner::generateArrivals(std::size_t classIndex)
{
    auto const& requestClass = m_mix.classes[classIndex];
    // Each class has its own random generator, so that a change of one class does not affect the requests of the others.
    Core::Random random(m_settings.seed * 1'000'003 + classIndex + 1);
    auto const duration = std::chrono::duration<double>(m_settings.duration).count();
    double time = 0;
    while (true) {
        time = nextArrival(time, requestClass.ratePerSecond, m_bursts, m_mix.bursts.factor, random);
        if (time >= duration)
            break;
        auto const intendedAt = m_startedAt + fromSeconds(time);
        if (intendedAt > m_runtime.now())
            co_await m_runtime.sleepUntil(intendedAt);
        if (m_stopped)
            break;
        auto planned = buildRequest(m_mix, requestClass, m_settings.defaultKey, random, m_runtime.wallNow());
        m_runtime.spawn(perform(classIndex, intendedAt, std::move(planned)));
    }
    --m_activeGenerators;
    m_progress.notifyAll();
}

Core::Awaitable<void> LoadRunner::perform(std::size_t classIndex, Core::MonotonicTime intendedAt, PlannedRequest planned)
{
    auto const& requestClass = m_mix.classes[classIndex];
    auto const openId = m_nextOpenId++;
    m_openCalls.emplace(openId, OpenCall { classIndex, intendedAt });
    Call call;
    call.classIndex = classIndex;
    call.intendedAt = intendedAt;
    call.planned = std::move(planned);
    call.deadline = intendedAt + (requestClass.deadlineMs > 0 ? std::chrono::milliseconds(requestClass.deadlineMs) + deadlineGrace : m_settings.timeout);
    ++statisticsOf(call).intended;
    statisticsOf(call).sendDelay.record(microseconds(m_runtime.now() - intendedAt));
    if (requestClass.responseMode == ResponseMode::Streamed)
        co_await performStreamed(call);
    else
        co_await performBuffered(call);
    // run() has counted the request as open already.
    if (m_stopped)
        co_return;
    m_openCalls.erase(openId);
    finish(call);
    m_progress.notifyAll();
}

void LoadRunner::finish(Call& call)
{
    auto& statistics = statisticsOf(call);
    auto const total = m_runtime.now() - call.intendedAt;
    if (call.failure) {
        ++statistics.failures[*call.failure];
        statistics.failedTotal.record(microseconds(total));
    } else {
        ++statistics.succeeded;
        statistics.promptTokens += call.planned.promptTokens;
        statistics.sharedPrefixTokens += call.planned.sharedPrefixTokens;
        statistics.total.record(microseconds(total));
        auto const deadline = std::chrono::milliseconds(m_mix.classes[call.classIndex].deadlineMs);
        statistics.late += deadline > 0ms && total > deadline ? 1 : 0;
    }
    traceCall(call);
}

void LoadRunner::traceCall(Call const& call)
{
    if (!m_trace)
        return;
    json::object line { { "class", m_mix.classes[call.classIndex].name }, { "team", call.planned.team }, { "requestId", call.requestId }, { "status", call.status }, { "totalUs", microseconds(m_runtime.now() - call.intendedAt) }, { "tokens", call.tokens }, { "text", call.text } };
    if (!call.planned.idempotencyKey.empty())
        line["idempotencyKey"] = call.planned.idempotencyKey;
    if (call.failure)
        line["failure"] = json::object { { "source", call.failure->source }, { "kind", call.failure->kind }, { "runState", call.failure->runState } };
    m_trace(line);
}

// Skips targets that refuse the connection, as the platform's load balancer does. Each call iterates over the targets from its
// own start: concurrent calls advance m_nextTarget, so reading it again could return a target that has refused already.
Core::Awaitable<std::unique_ptr<HTTP::ResponseStream>> LoadRunner::openStream(Call& call, HTTP::Request const& request, Core::Error& error)
{
    auto const first = m_nextTarget++;
    for (std::size_t tries = 0; tries < m_settings.targets.size(); ++tries) {
        auto const target = m_settings.targets[(first + tries) % m_settings.targets.size()];
        auto stream = co_await m_client.openStream(target, request, HTTP::ConnectionUse::Pooled, call.deadline, error);
        if (stream) {
            call.status = stream->status();
            if (auto const id = stream->headers().find("Hyssopstep-Request-Id"))
                call.requestId = std::string(*id);
            co_return stream;
        }
        if (error.kind != Core::ErrorKind::BackendUnreachable || error.runState != Core::RunState::NotRun)
            co_return nullptr;
        ++statisticsOf(call).redirected;
    }
    co_return nullptr;
}

static Core::Awaitable<std::optional<HTTP::Response>> readBody(HTTP::ResponseStream& stream, Core::MonotonicTime deadline, Core::Error& error)
{
    HTTP::Response response { stream.status(), stream.headers(), {} };
    while (true) {
        auto const chunk = co_await stream.readSome(deadline, error);
        if (!chunk)
            co_return std::nullopt;
        if (chunk->empty())
            co_return response;
        response.body += *chunk;
    }
}

Core::Awaitable<void> LoadRunner::performBuffered(Call& call)
{
    Core::Error error;
    std::optional<HTTP::Response> response;
    auto const stream = co_await openStream(call, call.planned.request, error);
    if (stream)
        response = co_await readBody(*stream, call.deadline, error);
    if (!response) {
        call.failure = transportFailure(error);
        co_return;
    }
    if (response->status < 200 || response->status > 299) {
        call.failure = responseFailure(*response);
        co_return;
    }
    if (m_mix.classes[call.classIndex].kind == ClassKind::Service) {
        call.text = std::move(response->body);
        co_return;
    }
    auto text = parseCompletionText(response->body);
    if (!text) {
        call.failure = Failure { "transport", std::string(Core::errorResponseFor(Core::ErrorKind::BackendAnswerInvalid).name), std::string(Core::runStateName(Core::RunState::Ran)) };
        co_return;
    }
    call.text = std::move(*text);
    call.tokens = countTokens(call.text);
    statisticsOf(call).tokens += call.tokens;
}

void LoadRunner::recordTokens(Call& call, std::uint64_t tokens)
{
    if (tokens == 0 || m_stopped)
        return;
    auto& statistics = statisticsOf(call);
    auto const now = m_runtime.now();
    statistics.tokens += tokens;
    if (call.lastTokenAt)
        statistics.betweenTokens.record(microseconds(now - *call.lastTokenAt));
    else
        statistics.firstToken.record(microseconds(now - call.intendedAt));
    // All tokens of one event arrive at the same time.
    for (std::uint64_t token = 1; token < tokens; ++token)
        statistics.betweenTokens.record(0);
    call.lastTokenAt = now;
}

// Returns whether the response ended, with [DONE] or with an error event. Otherwise sets the error to the cause of the interruption.
Core::Awaitable<bool> LoadRunner::readStream(Call& call, StreamedResponse& response, HTTP::ResponseStream& stream, Core::Error& error)
{
    HTTP::ServerSentEventParser parser;
    while (true) {
        auto const chunk = co_await stream.readSome(call.deadline, error);
        if (!chunk)
            co_return false;
        for (auto const& event : parser.feed(*chunk)) {
            auto const tokens = consumeEvent(response, event);
            recordTokens(call, tokens);
        }
        if (chunk->empty()) {
            Core::fail(error, Core::ErrorKind::BackendAnswerInvalid, "response stream ended without [DONE]", Core::RunState::Unknown);
            co_return response.done || response.problem;
        }
    }
}

Core::Awaitable<void> LoadRunner::performStreamed(Call& call)
{
    StreamedResponse response;
    Core::Error error;
    auto request = call.planned.request;
    for (unsigned resumes = 0;; ++resumes) {
        auto const stream = co_await openStream(call, request, error);
        bool ended = false;
        if (stream && stream->status() != 200) {
            auto const errorResponse = co_await readBody(*stream, call.deadline, error);
            call.failure = errorResponse ? responseFailure(*errorResponse) : transportFailure(error);
            // A node that does not know the request yet may know it after it has taken the stream over, so a resume is tried again.
            ended = resumes == 0 || resumes >= m_settings.maximumResumes;
        } else if (stream) {
            call.failure.reset();
            ended = co_await readStream(call, response, *stream, error);
        }
        if (ended)
            break;
        if (!stream || stream->status() == 200)
            call.failure = transportFailure(error);
        if (call.requestId.empty() || resumes >= m_settings.maximumResumes || m_runtime.now() + resumeDelay >= call.deadline)
            break;
        co_await m_runtime.sleepFor(resumeDelay);
        ++statisticsOf(call).resumed;
        request = { "GET", "/v1/requests/" + call.requestId + "?from=" + response.lastEventId, {}, {} };
        if (!call.planned.bearerKey.empty())
            request.headers.set("Authorization", "Bearer " + call.planned.bearerKey);
    }
    if (response.problem)
        call.failure = responseFailure(*response.problem);
    statisticsOf(call).sequenceErrors += response.sequenceErrors;
    call.tokens = response.tokens;
    call.text = std::move(response.text);
}

}
