#include <StandIns/Engine.h>

#include <LibCore/Log.h>
#include <LibHTTP/ServerSentEvents.h>
#include <StandIns/EngineTokens.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>

namespace StandIns {

namespace json = boost::json;
using namespace std::chrono_literals;

static constexpr auto loadSampleInterval = 100ms;
// While no token is due, a comment line is written to the event stream to detect a client that has disconnected.
static constexpr auto keepAliveInterval = 100ms;
static constexpr unsigned lowestPriority = 9;

static std::vector<std::string> tokensMember(json::object const& object, std::string_view name)
{
    std::vector<std::string> tokens;
    auto const* value = object.if_contains({ name.data(), name.size() });
    if (!value || !value->is_array())
        return tokens;
    for (auto const& token : value->as_array())
        tokens.emplace_back(token.is_string() ? std::string(token.as_string()) : std::string());
    return tokens;
}

static std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Running:
        return "running";
    case Outcome::Finished:
        return "finished";
    case Outcome::Cancelled:
        return "cancelled";
    case Outcome::Disconnected:
        return "disconnected";
    case Outcome::Crashed:
        return "crashed";
    case Outcome::Truncated:
        return "truncated";
    }
    return "";
}

// The state that an engine exports after the given number of tokens of prompt and output: "<tokens>:<hash of these tokens>".
static std::string encodeState(Sequence const& sequence, std::size_t tokens)
{
    auto context = sequence.prompt;
    context.insert(context.end(), sequence.generated.begin(), sequence.generated.end());
    if (tokens > context.size())
        return {};
    context.resize(tokens);
    auto const joined = joinTokens(context);
    return std::to_string(tokens) + ":" + tokenFromHash(XXH3_64bits(joined.data(), joined.size()));
}

Engine::Engine(Core::Runtime& runtime, EngineSettings const& settings)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_simulator(settings.simulator)
    , m_incarnation(unixMilliseconds(runtime.wallNow()))
{
}

std::optional<Core::Endpoint> Engine::listen(Core::Endpoint const& endpoint, Core::Error& error)
{
    m_server = std::make_unique<HTTP::Server>(m_runtime, HTTP::ServerLimits {}, [this](HTTP::Request const& request, HTTP::ResponseWriter& writer) { return handle(request, writer); });
    auto bound = m_server->listen(endpoint, error);
    if (!bound)
        return std::nullopt;
    m_endpoint = *bound;
    sampleLoad();
    return bound;
}

Core::Awaitable<void> Engine::shutDown(Core::MonotonicTime deadline)
{
    m_restartTimer.cancel();
    if (!m_server)
        co_return;
    m_server->stopAccepting();
    (void)co_await m_server->waitUntilDrained(deadline);
    m_server->closeAllConnections();
}

Core::Awaitable<void> Engine::handle(HTTP::Request const& request, HTTP::ResponseWriter& writer)
{
    auto const path = request.path();
    if (request.method == "GET") {
        std::optional<json::object> body;
        if (path == "/engine/load")
            body = currentLoad();
        else if (path == "/engine/cache-events")
            body = cacheEvents(std::strtoull(request.queryParameter("after").value_or("0").c_str(), nullptr, 10));
        else if (path == "/stand-in/record")
            body = record();
        if (body)
            co_return co_await sendJson(writer, 200, *body);
    }
    boost::system::error_code errorCode;
    auto const body = json::parse(request.body.empty() ? "{}" : request.body, errorCode);
    if (errorCode || !body.is_object())
        co_return co_await sendError(writer, 400, "the body is not a JSON object");
    if (path == "/stand-in/faults" && request.method == "PUT") {
        setFaults(body.as_object());
        co_return co_await sendJson(writer, 200, json::object());
    }
    if (request.method != "POST")
        co_return co_await sendError(writer, 404, "no such call");
    if (path == "/engine/complete")
        co_return co_await handleCompletion(body.as_object(), writer);
    if (path == "/engine/command")
        co_return co_await handleCommand(body.as_object(), writer);
    co_await handleControlCall(path, body.as_object(), writer);
}

SequencePointer Engine::makeSequence(json::object const& body)
{
    auto sequence = std::make_shared<Sequence>(m_runtime);
    sequence->requestId = textMember(body, "requestId");
    sequence->attemptId = textMember(body, "attemptId");
    sequence->prompt = tokensMember(body, "prompt");
    sequence->generated = tokensMember(body, "generated");
    sequence->resumedFrom = sequence->generated.size();
    sequence->length = outputLength(sequence->prompt);
    sequence->maximumTokens = static_cast<std::size_t>(integerMember(body, "maxTokens", static_cast<std::int64_t>(sequence->length)));
    sequence->priority = std::min(lowestPriority, static_cast<unsigned>(integerMember(body, "priority", 0)));
    sequence->seed = static_cast<std::uint64_t>(integerMember(body, "seed", 0));
    sequence->importedTokens = importedTokens(textMember(body, "stateHandle"), *sequence);
    return sequence;
}

std::size_t Engine::importedTokens(std::string const& stateHandle, Sequence const& sequence) const
{
    auto const found = m_importedStates.find(stateHandle);
    if (found == m_importedStates.end())
        return 0;
    auto const tokens = std::strtoull(found->second.c_str(), nullptr, 10);
    return encodeState(sequence, tokens) == found->second ? tokens : 0;
}

Engine::AttemptFaults Engine::takeFaults(Sequence const& sequence)
{
    AttemptFaults faults { .reportedAttemptId = sequence.attemptId };
    bool const hasFaults = m_faults.truncateAfter || m_faults.crossAttempts || m_faults.duplicateEvents;
    if (!hasFaults || m_faults.remainingAttempts <= 0)
        return faults;
    --m_faults.remainingAttempts;
    faults.truncateAfter = m_faults.truncateAfter;
    faults.duplicateEvents = m_faults.duplicateEvents;
    if (!m_faults.crossAttempts)
        return faults;
    faults.reportedAttemptId = "attempt-of-another-request";
    for (auto const& other : m_simulator.running()) {
        if (other->requestId != sequence.requestId)
            faults.reportedAttemptId = other->attemptId;
    }
    return faults;
}

Core::Awaitable<void> Engine::handleCompletion(json::object const& body, HTTP::ResponseWriter& writer)
{
    auto sequence = makeSequence(body);
    if (sequence->requestId.empty() || sequence->attemptId.empty() || m_simulator.find(sequence->attemptId))
        co_return co_await sendError(writer, 400, "requestId or attemptId is missing, or attemptId is already in progress");
    if (m_leaving || !m_simulator.submit(sequence)) {
        ++m_refused;
        co_return co_await sendError(writer, 503, m_leaving ? "the engine is leaving" : "the queue is full");
    }
    sequence->startedAtMs = unixMilliseconds(m_runtime.wallNow());
    m_attemptsByRequest[sequence->requestId].push_back(sequence);
    auto faults = takeFaults(*sequence);
    wakeUp();
    HTTP::Headers headers { { "Content-Type", "text/event-stream" } };
    if (co_await writer.begin(200, std::move(headers)))
        co_await streamOutput(sequence, std::move(faults), writer);
    // If the sequence is still running, the client has disconnected.
    m_simulator.end(sequence, Outcome::Disconnected);
    // The record needs only the counts; keeping long prompts would exhaust the memory in a long run.
    sequence->prompt = {};
    sequence->generated = {};
}

Core::Awaitable<void> Engine::streamOutput(SequencePointer sequence, AttemptFaults faults, HTTP::ResponseWriter& writer)
{
    auto const attempt = json::serialize(json::string(faults.reportedAttemptId));
    std::size_t sent = sequence->resumedFrom;
    while (true) {
        std::string bytes;
        for (; sent < sequence->generated.size(); ++sent) {
            if (faults.truncateAfter && sent - sequence->resumedFrom >= *faults.truncateAfter) {
                (void)co_await writer.write(std::move(bytes));
                m_simulator.end(sequence, Outcome::Truncated);
                sequence->outcome = Outcome::Truncated;
                co_return;
            }
            HTTP::ServerSentEvent event { {}, R"({"attemptId":)" + attempt + R"(,"index":)" + std::to_string(sent) + R"(,"token":")" + sequence->generated[sent] + "\"}" };
            bytes += HTTP::formatEvent(event);
            if (faults.duplicateEvents)
                bytes += HTTP::formatEvent(event);
        }
        if (sequence->outcome == Outcome::Finished) {
            auto const* finishReason = sequence->length <= sequence->maximumTokens ? "stop" : "length";
            json::object const last { { "attemptId", faults.reportedAttemptId }, { "done", true }, { "finishReason", finishReason }, { "cachedTokens", sequence->cachedTokens }, { "prefilledTokens", sequence->prefilledTokens } };
            HTTP::ServerSentEvent event { {}, json::serialize(last) };
            bytes += HTTP::formatEvent(event);
            if (co_await writer.write(std::move(bytes)))
                (void)co_await writer.finish();
            co_return;
        }
        if (sequence->outcome != Outcome::Running)
            co_return;
        if (bytes.empty() && !co_await sequence->progress.waitUntil(m_runtime.now() + keepAliveInterval))
            bytes = ":\n\n";
        if (!bytes.empty() && !co_await writer.write(std::move(bytes)))
            co_return;
    }
}

Core::Awaitable<void> Engine::handleControlCall(std::string_view path, json::object const& body, HTTP::ResponseWriter& writer)
{
    if (path == "/engine/import") {
        auto const state = textMember(body, "state");
        auto const handle = "state-" + std::to_string(m_incarnation) + "-" + std::to_string(m_nextStateHandle++);
        m_importedStates[handle] = state;
        json::object const response { { "stateHandle", handle }, { "tokens", std::strtoull(state.c_str(), nullptr, 10) } };
        co_return co_await sendJson(writer, 200, response);
    }
    auto const sequence = m_simulator.find(textMember(body, "attemptId"));
    if (path == "/engine/cancel") {
        // An unknown attempt is not an error, because the cancellation may arrive after the attempt has ended.
        if (sequence)
            m_simulator.end(sequence, Outcome::Cancelled);
        co_return co_await sendJson(writer, 200, json::object());
    }
    if (!sequence)
        co_return co_await sendError(writer, 404, "no such call or attempt");
    if (path == "/engine/priority") {
        m_simulator.changePriority(*sequence, std::min(lowestPriority, static_cast<unsigned>(integerMember(body, "priority", 0))));
        co_return co_await sendJson(writer, 200, json::object());
    }
    if (path == "/engine/export") {
        auto const context = sequence->prompt.size() + sequence->generated.size();
        bool const isRunning = std::find(m_simulator.running().begin(), m_simulator.running().end(), sequence) != m_simulator.running().end();
        auto const tokens = isRunning ? context - sequence->remainingPrefill : 0;
        json::object const response { { "state", encodeState(*sequence, tokens) }, { "tokens", tokens } };
        co_return co_await sendJson(writer, 200, response);
    }
    co_await sendError(writer, 404, "no such call");
}

Core::Awaitable<void> Engine::handleCommand(json::object const& body, HTTP::ResponseWriter& writer)
{
    auto const token = integerMember(body, "fencingToken", 0);
    bool const isStale = token < m_highestFencingToken;
    bool const isAccepted = !isStale || m_settings.fencingCheck == FencingCheck::Off;
    m_highestFencingToken = std::max(m_highestFencingToken, token);
    m_staleCommands += isStale ? 1 : 0;
    auto recorded = body;
    recorded["accepted"] = isAccepted;
    recorded["atMs"] = unixMilliseconds(m_runtime.wallNow());
    m_commands.push_back(recorded);
    if (!isAccepted)
        co_return co_await sendError(writer, 409, "the fencing token is older than the newest one received");
    auto const name = textMember(body, "command");
    auto const version = textMember(body, "version");
    auto const adapter = textMember(body, "adapter");
    if (name == "load") {
        co_await m_runtime.sleepFor(m_settings.weightsLoad);
        if (!adapter.empty())
            m_adapters.insert(adapter);
        if (!version.empty())
            m_version = version;
    } else if (name == "unload") {
        m_adapters.erase(adapter);
        if (adapter.empty() && (version.empty() || version == m_version))
            m_version.clear();
    } else if (name == "role") {
        m_role = textMember(body, "role");
        m_leaving = m_leaving || m_role == "leaving";
    } else {
        co_return co_await sendError(writer, 400, "no such command");
    }
    co_await sendJson(writer, 200, json::object());
}

void Engine::setFaults(json::object const& body)
{
    auto const now = m_runtime.now();
    auto const until = [&](std::string_view name) { return now + std::chrono::milliseconds(integerMember(body, name, 86'400'000)); };
    EngineFaults faults;
    faults.stragglerFactor = numberMember(body, "stragglerFactor", 1);
    faults.stragglerUntil = until("stragglerForMs");
    if (booleanMember(body, "stalled"))
        faults.stalledUntil = until("stalledForMs");
    faults.crashToken = textMember(body, "crashToken");
    if (body.contains("restartMs"))
        faults.restartDelay = std::chrono::milliseconds(integerMember(body, "restartMs", 0));
    if (body.contains("truncateAfterTokens"))
        faults.truncateAfter = static_cast<std::size_t>(integerMember(body, "truncateAfterTokens", 0));
    faults.crossAttempts = booleanMember(body, "crossAttempts");
    faults.duplicateEvents = booleanMember(body, "duplicateEvents");
    faults.remainingAttempts = integerMember(body, "attempts", std::numeric_limits<std::int64_t>::max());
    m_leaving = m_leaving || booleanMember(body, "leaving");
    m_faults = std::move(faults);
    if (booleanMember(body, "crash"))
        // The delay lets the response be sent first.
        m_restartTimer = m_runtime.callAt(now + 10ms, [this] { crash(); });
}

void Engine::wakeUp()
{
    if (!m_stepping)
        runStep();
}

void Engine::runStep()
{
    auto const now = m_runtime.now();
    m_stepping = true;
    if (now < m_faults.stalledUntil) {
        m_stepTimer = m_runtime.callAt(std::min(m_faults.stalledUntil, now + 20ms), [this] { runStep(); });
        return;
    }
    auto duration = m_simulator.beginStep();
    if (!duration || crashOnCrashToken()) {
        m_stepping = false;
        return;
    }
    if (now < m_faults.stragglerUntil)
        duration = std::chrono::duration_cast<Core::Duration>(*duration * m_faults.stragglerFactor);
    m_stepTimer = m_runtime.callAt(now + *duration, [this] {
        m_simulator.finishStep(m_runtime.now());
        runStep();
    });
}

bool Engine::crashOnCrashToken()
{
    for (auto const& sequence : m_simulator.running()) {
        for (auto const& token : sequence->prompt) {
            bool const isCrashToken = (!m_settings.crashToken.empty() && token == m_settings.crashToken) || (!m_faults.crashToken.empty() && token == m_faults.crashToken);
            if (!isCrashToken)
                continue;
            Core::logEvent(Core::LogLevel::Warning, "engine_crashed", { { "endpoint", m_endpoint.toString() }, { "request", sequence->requestId } });
            crash();
            return true;
        }
    }
    return false;
}

void Engine::crash()
{
    static constexpr int crashExitCode = 70;
    if (m_settings.crashScope == CrashScope::Process)
        std::_Exit(crashExitCode);
    ++m_crashes;
    m_server->closeAllConnections();
    m_stepTimer.cancel();
    m_stepping = false;
    m_simulator.crash();
    m_importedStates.clear();
    m_loadReports.clear();
    m_loadTimer.cancel();
    m_highestFencingToken = 0;
    m_adapters.clear();
    m_version.clear();
    m_role.clear();
    m_restartTimer = m_runtime.callAt(m_runtime.now() + m_faults.restartDelay.value_or(m_settings.restartDelay), [this] { restart(); });
}

void Engine::restart()
{
    m_incarnation = std::max(m_incarnation + 1, unixMilliseconds(m_runtime.wallNow()));
    m_leaving = false;
    Core::Error error;
    if (!listen(m_endpoint, error)) {
        m_restartTimer = m_runtime.callAt(m_runtime.now() + 50ms, [this] { restart(); });
        return;
    }
    Core::logEvent(Core::LogLevel::Info, "engine_restarted", { { "endpoint", m_endpoint.toString() }, { "incarnation", m_incarnation } });
}

void Engine::sampleLoad()
{
    auto const now = m_runtime.now();
    auto const computed = m_simulator.tokensComputed();
    auto const tokensPerSecond = static_cast<double>(computed - m_tokensAtLastSample) / std::chrono::duration<double>(loadSampleInterval).count();
    m_tokensAtLastSample = computed;
    auto const running = m_simulator.running().size();
    json::object body { { "running", running }, { "waiting", m_simulator.waiting().size() }, { "tokensPerSecond", tokensPerSecond }, { "freeSlots", m_settings.simulator.slots - running }, { "leaving", m_leaving }, { "incarnation", m_incarnation }, { "asOfMs", unixMilliseconds(m_runtime.wallNow()) } };
    m_loadReports.push_back({ now, std::move(body) });
    // The oldest report is kept until the next one has reached the configured age.
    while (m_loadReports.size() > 1 && m_loadReports[1].sampledAt + m_settings.loadLag <= now)
        m_loadReports.pop_front();
    m_loadTimer = m_runtime.callAt(now + loadSampleInterval, [this] { sampleLoad(); });
}

json::object Engine::currentLoad() const
{
    return m_loadReports.front().body;
}

json::object Engine::cacheEvents(std::uint64_t after) const
{
    json::array events;
    auto next = after;
    for (auto const& event : m_simulator.cache().eventsAfter(after, m_runtime.now())) {
        next = event.sequence;
        events.push_back({ { "sequence", event.sequence }, { "type", event.type == CacheEvent::Type::Stored ? "stored" : "evicted" }, { "prefixHash", tokenFromHash(event.prefixHash) }, { "tokens", event.tokens } });
    }
    return { { "events", std::move(events) }, { "next", next } };
}

json::object Engine::record() const
{
    json::object requests;
    std::uint64_t attempts = 0;
    std::uint64_t computed = 0;
    std::uint64_t prefilled = 0;
    std::uint64_t cached = 0;
    for (auto const& [requestId, sequences] : m_attemptsByRequest) {
        json::array list;
        for (auto const& sequence : sequences) {
            ++attempts;
            computed += sequence->computedTokens;
            prefilled += sequence->prefilledTokens;
            cached += sequence->cachedTokens;
            list.push_back({ { "attemptId", sequence->attemptId }, { "outcome", outcomeName(sequence->outcome) }, { "computed", sequence->computedTokens }, { "prefilled", sequence->prefilledTokens }, { "cached", sequence->cachedTokens }, { "resumedFrom", sequence->resumedFrom }, { "priority", sequence->priority }, { "firstToken", sequence->firstToken }, { "startedAtMs", sequence->startedAtMs } });
        }
        requests[requestId] = json::object { { "attempts", std::move(list) } };
    }
    json::object totals { { "attempts", attempts }, { "computed", computed }, { "prefilled", prefilled }, { "cached", cached }, { "refused", m_refused }, { "crashes", m_crashes }, { "preemptions", m_simulator.preemptions() }, { "staleCommands", m_staleCommands } };
    json::array adapters;
    for (auto const& adapter : m_adapters)
        adapters.emplace_back(adapter);
    return { { "requests", std::move(requests) }, { "totals", std::move(totals) }, { "commands", m_commands }, { "version", m_version }, { "adapters", std::move(adapters) }, { "role", m_role }, { "incarnation", m_incarnation }, { "leaving", m_leaving } };
}

}
