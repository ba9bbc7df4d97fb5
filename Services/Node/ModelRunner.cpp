#include <Node/ModelRunner.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace Node {

using Core::ErrorKind;
using Core::RunState;
using namespace std::chrono_literals;

/// One request while it is run, and its current attempt.
struct ModelRunner::Attempt {
    std::string requestId;
    std::uint64_t epoch { 0 };
    ModelRequest model;
    Limits::RequestFingerprint fingerprint { 0 };
    Core::MonotonicTime deadline;
    std::uint32_t expectedTokens { 0 };
    std::uint32_t priority { 0 };
    Routing::WorkLength length { Routing::WorkLength::Ordinary };
    /// Of failed attempts; cleared when no other server is left.
    std::vector<std::string> excludedServers;
    unsigned attempts { 0 };
    unsigned moves { 0 };
    Core::LastReason lastReason;

    std::string attemptId;
    std::string serverId;
    std::uint64_t serverIncarnation { 0 };
    Core::Endpoint endpoint;
    Core::MonotonicTime lastTokenAt;
    std::size_t tokensOfAttempt { 0 };
    double firstTokenSeconds { 0 };
    /// Exported from the previous server and imported at one that must then be used.
    std::string stateHandle;
    std::optional<Routing::ServerChoice> importedAt;
};

ModelRunner::ModelRunner(Core::Runtime& runtime, EngineClient& engines, NodeTables& tables, Stream::StreamTable& streams, Stream::StreamReplicator& replicator, DecisionLog& decisions, Core::Random& random, Core::Metrics& metrics, ModelRunnerSettings settings)
    : m_runtime(runtime)
    , m_engines(engines)
    , m_tables(tables)
    , m_streams(streams)
    , m_replicator(replicator)
    , m_decisions(decisions)
    , m_random(random)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
{
}

Limits::RequestFingerprint ModelRunner::fingerprintOf(ModelRequest const& request)
{
    auto hash = XXH3_64bits(request.service.data(), request.service.size());
    for (auto const& token : request.promptTokens)
        hash = XXH3_64bits_withSeed(token.data(), token.size(), hash);
    return hash;
}

void ModelRunner::start(std::string requestId)
{
    m_runtime.spawn(run(std::move(requestId)));
}

Stream::Stream* ModelRunner::servedStream(Attempt const& attempt)
{
    auto* stream = m_streams.find(attempt.requestId);
    if (!stream || stream->role != Stream::StreamRole::Serving || stream->epoch != attempt.epoch || stream->phase != Stream::StreamPhase::Running)
        return nullptr;
    return stream;
}

std::string ModelRunner::newAttemptId()
{
    char buffer[20];
    std::snprintf(buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(m_random.bits()));
    return m_settings.nodeId + "-" + buffer;
}

static Routing::LengthHint lengthHint(std::string const& team, ModelRequest const& model)
{
    return { team, model.service, static_cast<std::uint32_t>(model.promptTokens.size()), model.maximumTokens };
}

static std::uint32_t priorityOf(Routing::Scheduling scheduling, std::uint32_t expectedTokens, std::size_t generatedTokens)
{
    static constexpr std::uint32_t onlyPriority = 4;
    if (scheduling == Routing::Scheduling::ArrivalOrder)
        return onlyPriority;
    auto const remaining = expectedTokens > generatedTokens ? expectedTokens - generatedTokens : 0;
    return Routing::priorityForRemaining(static_cast<std::uint32_t>(remaining));
}

void ModelRunner::failStream(Attempt const& attempt, Core::LastReason const& reason)
{
    auto* stream = servedStream(attempt);
    if (!stream)
        return;
    Core::logEvent(Core::LogLevel::Warning, "request_failed", { { "request_id", attempt.requestId }, { "kind", Core::answerFor(reason.kind).name }, { "attempts", attempt.attempts }, { "detail", reason.message } });
    m_decisions.add(attempt.requestId, "failed: " + reason.message);
    m_streams.fail(*stream, reason);
    m_replicator.streamChanged(*stream);
}

Core::Awaitable<void> ModelRunner::run(std::string requestId)
{
    auto* const stream = m_streams.find(requestId);
    if (!stream)
        co_return;
    Attempt attempt;
    attempt.requestId = requestId;
    attempt.epoch = stream->epoch;
    auto model = decodeModelRequest(stream->requestJson);
    if (!model) {
        Core::LastReason reason;
        Core::fail(reason, ErrorKind::Internal, "the recorded request cannot be read", RunState::Unknown);
        failStream(attempt, reason);
        co_return;
    }
    attempt.model = std::move(*model);
    attempt.fingerprint = fingerprintOf(attempt.model);
    auto const deadlineWall = Core::WallTime(std::chrono::milliseconds(attempt.model.deadlineMilliseconds));
    attempt.deadline = m_runtime.now() + std::chrono::duration_cast<Core::Duration>(deadlineWall - m_runtime.wallNow());
    attempt.expectedTokens = m_tables.lengths.estimate(lengthHint(stream->team, attempt.model));
    auto const work = Routing::workSeconds(m_tables.servers, attempt.model.service, static_cast<std::uint32_t>(attempt.model.promptTokens.size()), attempt.expectedTokens);
    attempt.length = Routing::recordWork(m_tables.workMixes[attempt.model.service], work, m_runtime.now());
    retryBudgetFor(m_tables, attempt.model.service).recordRequest(m_runtime.now());

    while (servedStream(attempt)) {
        auto const outcome = co_await runAttempt(attempt);
        if (outcome == AttemptOutcome::Ended)
            co_return;
        if (m_runtime.now() >= attempt.deadline) {
            Core::LastReason reason;
            auto const runState = attempt.attempts > 0 ? RunState::Unknown : RunState::NotRun;
            Core::fail(reason, ErrorKind::DeadlineExceeded, "the deadline passed; last: " + attempt.lastReason.message, runState);
            failStream(attempt, reason);
            co_return;
        }
        if (Limits::isQuarantined(m_tables.quarantine, attempt.fingerprint, m_runtime.now())) {
            Core::LastReason reason;
            Core::fail(reason, ErrorKind::RequestQuarantined, "the request crashed several backend servers", RunState::Unknown);
            failStream(attempt, reason);
            co_return;
        }
        if (!mayRetry(attempt, outcome))
            co_await m_runtime.sleepFor(m_settings.retryDelay);
    }
}

// An accepted request is never given up for lack of budget; it waits until the budget allows the retry.
bool ModelRunner::mayRetry(Attempt& attempt, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Moved)
        return true;
    if (outcome == AttemptOutcome::Refused)
        return false;
    m_metrics.counter("hyssopstep_retries_total", { { "service", attempt.model.service } }).add();
    return retryBudgetFor(m_tables, attempt.model.service).tryTake(m_runtime.now());
}

std::vector<std::string> ModelRunner::serversWithOtherSuspects(Attempt const& attempt) const
{
    std::vector<std::string> servers;
    if (!Limits::isSuspect(m_tables.quarantine, attempt.fingerprint))
        return servers;
    for (auto const& [serverId, batch] : m_tables.batches) {
        bool const hasSuspect = std::any_of(batch.begin(), batch.end(), [&](auto const& entry) {
            return entry.second != attempt.fingerprint && Limits::isSuspect(m_tables.quarantine, entry.second);
        });
        if (hasSuspect)
            servers.push_back(serverId);
    }
    return servers;
}

std::optional<Routing::ServerChoice> ModelRunner::choose(Attempt const& attempt, Core::LastReason& reason)
{
    auto const* stream = m_streams.find(attempt.requestId);
    Routing::RoutingRequest request;
    request.service = attempt.model.service;
    request.dataCentre = m_settings.dataCentre;
    request.promptTokens = static_cast<std::uint32_t>(attempt.model.promptTokens.size());
    request.generatedTokens = stream ? static_cast<std::uint32_t>(stream->tokens.size()) : 0;
    request.expectedTokens = attempt.expectedTokens;
    request.prefixHashes = Routing::prefixHashes(attempt.model.promptTokens);
    request.excludedServers = attempt.excludedServers;
    request.policy = m_settings.policy;
    request.length = attempt.length;
    // First come, first served knows no lengths.
    if (m_settings.scheduling == Routing::Scheduling::ShortestFirst)
        request.longShare = Routing::longShare(m_tables.workMixes[attempt.model.service]);
    auto apart = request;
    auto const others = serversWithOtherSuspects(attempt);
    apart.excludedServers.insert(apart.excludedServers.end(), others.begin(), others.end());
    auto choice = Routing::chooseServer(m_tables.servers, m_tables.prefixes, apart, m_runtime.now(), m_random, reason);
    if (choice || others.empty())
        return choice;
    return Routing::chooseServer(m_tables.servers, m_tables.prefixes, request, m_runtime.now(), m_random, reason);
}

Core::Awaitable<ModelRunner::AttemptOutcome> ModelRunner::runAttempt(Attempt& attempt)
{
    auto choice = std::exchange(attempt.importedAt, std::nullopt);
    if (!choice)
        choice = choose(attempt, attempt.lastReason);
    if (!choice) {
        attempt.excludedServers.clear();
        co_return AttemptOutcome::Refused;
    }
    attempt.attemptId = newAttemptId();
    attempt.serverId = choice->serverId;
    attempt.serverIncarnation = choice->incarnation;
    attempt.endpoint = choice->endpoint;
    m_decisions.add(attempt.requestId, "attempt " + std::to_string(++attempt.attempts) + " at " + choice->serverId + ": " + choice->explanation);

    auto const* stream = servedStream(attempt);
    CompletionCall call;
    call.requestId = attempt.requestId;
    call.attemptId = attempt.attemptId;
    call.generatedTokens = stream->tokens;
    attempt.priority = priorityOf(m_settings.scheduling, attempt.expectedTokens, stream->tokens.size());
    call.priority = attempt.priority;
    call.stateHandle = std::exchange(attempt.stateHandle, "");

    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId))
        ++row->outstanding;
    m_tables.batches[attempt.serverId][attempt.attemptId] = attempt.fingerprint;
    attempt.lastTokenAt = m_runtime.now();
    attempt.tokensOfAttempt = 0;
    auto outcome = AttemptOutcome::Refused;
    auto completion = co_await m_engines.complete(attempt.endpoint, attempt.model, call, attempt.deadline, attempt.lastReason);
    if (completion) {
        outcome = co_await readCompletion(attempt, *completion);
    } else if (attempt.lastReason.kind == ErrorKind::Overloaded) {
        attempt.excludedServers.push_back(attempt.serverId);
    } else {
        recordBroken(attempt, attempt.lastReason);
        outcome = AttemptOutcome::Broken;
    }
    if (outcome == AttemptOutcome::Moved)
        co_await moveState(attempt);
    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId); row && row->outstanding > 0)
        --row->outstanding;
    m_tables.batches[attempt.serverId].erase(attempt.attemptId);
    co_return outcome;
}

Core::Awaitable<ModelRunner::AttemptOutcome> ModelRunner::readCompletion(Attempt& attempt, CompletionStream& completion)
{
    while (true) {
        // The first token may wait in the engine's queue; later ones may not.
        auto const stallDeadline = attempt.lastTokenAt + m_settings.stallTimeout * (attempt.tokensOfAttempt > 0 ? 1 : 4);
        auto const progress = co_await completion.read(std::min(attempt.deadline, stallDeadline), attempt.lastReason);
        auto* stream = servedStream(attempt);
        if (!stream)
            co_return AttemptOutcome::Ended;
        if (!progress) {
            recordBroken(attempt, attempt.lastReason);
            co_return AttemptOutcome::Broken;
        }
        recordTokens(attempt, *progress);
        if (progress->end) {
            recordEnd(attempt, *progress->end);
            m_streams.finish(*stream, progress->end->finishReason);
            m_replicator.streamChanged(*stream);
            co_return AttemptOutcome::Ended;
        }
        if (!progress->tokens.empty())
            m_replicator.streamChanged(*stream);
        if (shouldMove(attempt) || givesUpFirstToken(attempt))
            co_return AttemptOutcome::Moved;
        co_await demoteIfOverdue(attempt);
    }
}

void ModelRunner::recordTokens(Attempt& attempt, CompletionProgress const& progress)
{
    auto* stream = servedStream(attempt);
    if (!stream || progress.tokens.empty())
        return;
    auto const now = m_runtime.now();
    for (auto const& token : progress.tokens)
        m_streams.appendToken(*stream, token);
    auto* row = Routing::findServer(m_tables.servers, attempt.serverId);
    auto const elapsed = std::chrono::duration<double>(now - attempt.lastTokenAt).count();
    if (attempt.tokensOfAttempt == 0) {
        attempt.firstTokenSeconds = elapsed;
        if (attempt.length == Routing::WorkLength::Ordinary)
            Routing::recordDelay(m_tables.servers.firstTokenDelays[attempt.model.service], elapsed);
        // The prompt is cached once it is prefilled; the end of a long answer would be much later.
        for (auto const hash : Routing::prefixHashes(attempt.model.promptTokens))
            m_tables.prefixes.recordStored(attempt.serverId, hash);
    }
    if (row && attempt.tokensOfAttempt > 0) {
        auto const seconds = elapsed / static_cast<double>(progress.tokens.size());
        Routing::recordObservation(*row, seconds, now);
    }
    if (row)
        Routing::recordSuccess(*row);
    attempt.lastTokenAt = now;
    attempt.tokensOfAttempt += progress.tokens.size();
    m_metrics.counter("hyssopstep_tokens_total", { { "service", attempt.model.service } }).add(progress.tokens.size());
}

void ModelRunner::recordEnd(Attempt& attempt, CompletionEnd const& end)
{
    auto const* stream = m_streams.find(attempt.requestId);
    m_tables.lengths.recordFinished(lengthHint(stream->team, attempt.model), static_cast<std::uint32_t>(stream->tokens.size()));
    if (auto const* row = Routing::findServer(m_tables.servers, attempt.serverId); row && row->pace == Routing::Pace::Normal)
        Routing::recordPrefill(m_tables.servers, attempt.model.service, end.prefilledTokens, attempt.firstTokenSeconds - row->observation.secondsPerUnit);
    Limits::recordFinished(m_tables.quarantine, attempt.fingerprint);
    m_metrics.counter("hyssopstep_cached_tokens_total", { { "service", attempt.model.service } }).add(end.cachedTokens);
    m_metrics.counter("hyssopstep_prefilled_tokens_total", { { "service", attempt.model.service } }).add(end.prefilledTokens);
    m_decisions.add(attempt.requestId, "finished at " + attempt.serverId + ": cached=" + std::to_string(end.cachedTokens) + " prefilled=" + std::to_string(end.prefilledTokens));
}

void ModelRunner::recordBroken(Attempt& attempt, Core::LastReason const& reason)
{
    auto const now = m_runtime.now();
    m_decisions.add(attempt.requestId, "attempt at " + attempt.serverId + " failed: " + reason.message);
    Core::logEvent(Core::LogLevel::Info, "attempt_failed", { { "request_id", attempt.requestId }, { "server", attempt.serverId }, { "kind", Core::answerFor(reason.kind).name }, { "detail", reason.message } });
    attempt.excludedServers.push_back(attempt.serverId);
    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId))
        Routing::recordFailure(*row, now);
    // Only an answer that broke off is a crash; a refused connection or a stall says nothing about the request.
    bool const brokeOff = reason.kind == ErrorKind::BackendFailed || reason.kind == ErrorKind::BackendAnswerInvalid;
    if (!brokeOff)
        return;
    auto const& crashes = m_tables.quarantine.crashes;
    bool const known = std::any_of(crashes.begin(), crashes.end(), [&](auto const& crash) { return crash.serverId == attempt.serverId && now - crash.at < 1s; });
    if (known)
        return;
    Limits::ServerCrash crash { now, attempt.serverId, {} };
    for (auto const& [attemptId, fingerprint] : m_tables.batches[attempt.serverId])
        crash.batch.push_back(fingerprint);
    for (auto const fingerprint : Limits::recordCrash(m_tables.quarantine, std::move(crash))) {
        Core::logEvent(Core::LogLevel::Warning, "request_quarantined", { { "fingerprint", fingerprint }, { "server", attempt.serverId } });
        if (m_onQuarantined)
            m_onQuarantined(fingerprint);
    }
}

bool ModelRunner::shouldMove(Attempt const& attempt) const
{
    static constexpr unsigned maximumMoves = 8;
    static constexpr std::uint32_t tokensWorthMoving = 32;
    auto const* row = Routing::findServer(m_tables.servers, attempt.serverId);
    if (!row || attempt.moves >= maximumMoves)
        return false;
    if (row->lifecycle == Routing::Lifecycle::Leaving || row->incarnation != attempt.serverIncarnation)
        return true;
    if (m_settings.policy != Routing::RoutingPolicy::PredictedTime)
        return false;
    auto const* stream = m_streams.find(attempt.requestId);
    bool const longRest = stream && attempt.expectedTokens > stream->tokens.size() + tokensWorthMoving;
    return row->pace == Routing::Pace::Straggler && longRest && attempt.moves == 0;
}

// A short request whose first token is unusually late is sent to another server, within the retry budget. The first server is
// probably a straggler that the load reports do not show yet, or busy with a long prompt.
bool ModelRunner::givesUpFirstToken(Attempt const& attempt)
{
    if (m_settings.policy != Routing::RoutingPolicy::PredictedTime || attempt.length == Routing::WorkLength::Long)
        return false;
    if (attempt.tokensOfAttempt > 0 || attempt.moves > 0)
        return false;
    auto const now = m_runtime.now();
    auto& delays = m_tables.servers.firstTokenDelays[attempt.model.service];
    auto const unusual = Routing::unusualDelay(delays);
    auto const elapsed = std::chrono::duration<double>(now - attempt.lastTokenAt).count();
    if (!unusual || elapsed < *unusual || !retryBudgetFor(m_tables, attempt.model.service).tryTake(now))
        return false;
    Routing::recordDelay(delays, elapsed);
    m_metrics.counter("hyssopstep_first_tokens_given_up_total", { { "service", attempt.model.service } }).add();
    return true;
}

// On failure the rest is generated from the prompt and the tokens so far, at any server.
Core::Awaitable<void> ModelRunner::moveState(Attempt& attempt)
{
    ++attempt.moves;
    attempt.excludedServers = { attempt.serverId };
    if (m_settings.attentionState == AttentionState::Recompute || attempt.tokensOfAttempt == 0)
        co_return;
    Core::LastReason reason;
    auto state = co_await m_engines.exportState(attempt.endpoint, attempt.attemptId, m_runtime.now() + m_settings.stateCallTimeout, reason);
    m_decisions.add(attempt.requestId, "moves away from " + attempt.serverId + (state ? " with its attention state" : " without its attention state: " + reason.message));
    if (!state)
        co_return;
    auto const choice = choose(attempt, reason);
    if (!choice)
        co_return;
    auto handle = co_await m_engines.importState(choice->endpoint, std::move(*state), m_runtime.now() + m_settings.stateCallTimeout, reason);
    if (!handle)
        co_return;
    attempt.stateHandle = std::move(*handle);
    attempt.importedAt = choice;
    m_metrics.counter("hyssopstep_state_moves_total", { { "service", attempt.model.service } }).add();
}

Core::Awaitable<void> ModelRunner::demoteIfOverdue(Attempt& attempt)
{
    auto const* stream = servedStream(attempt);
    if (!stream)
        co_return;
    auto const generated = static_cast<std::uint32_t>(stream->tokens.size());
    if (generated < attempt.expectedTokens)
        co_return;
    attempt.expectedTokens = Routing::correctedEstimate(attempt.expectedTokens, generated, attempt.model.maximumTokens);
    auto const priority = priorityOf(m_settings.scheduling, attempt.expectedTokens, generated);
    if (priority <= attempt.priority)
        co_return;
    attempt.priority = priority;
    Core::LastReason reason;
    auto const demoted = co_await m_engines.setPriority(attempt.endpoint, attempt.attemptId, priority, m_runtime.now() + m_settings.stateCallTimeout, reason);
    m_decisions.add(attempt.requestId, "runs longer than estimated; priority " + std::to_string(priority) + (demoted ? "" : " not set: " + reason.message));
}

}
