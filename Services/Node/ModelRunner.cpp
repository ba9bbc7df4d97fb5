#include <Node/ModelRunner.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace Node {

using Core::ErrorKind;
using Core::RunState;
using namespace std::chrono_literals;

/// The state of a running request and of its current attempt.
struct ModelRunner::Attempt {
    std::string requestId;
    std::uint64_t epoch { 0 };
    ModelRequest model;
    Limits::RequestFingerprint fingerprint { 0 };
    Core::MonotonicTime deadline;
    std::uint32_t expectedTokens { 0 };
    std::uint32_t priority { 0 };
    Routing::WorkLength length { Routing::WorkLength::Ordinary };
    /// The servers of failed attempts; cleared when no other server is left.
    std::vector<std::string> excludedServers;
    unsigned attempts { 0 };
    unsigned moves { 0 };
    Core::Error lastError;

    std::string attemptId;
    std::string serverId;
    std::uint64_t serverIncarnation { 0 };
    /// The incarnation of the engine process in its load report; 0 if unknown.
    std::uint64_t processIncarnation { 0 };
    Core::Endpoint endpoint;
    Core::MonotonicTime lastTokenAt;
    std::size_t attemptTokens { 0 };
    double firstTokenSeconds { 0 };
    /// Attention state exported from the previous server and imported at importedServer, where the next attempt must run.
    std::string stateHandle;
    std::optional<Routing::ServerChoice> importedServer;
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
    static constexpr std::uint32_t defaultPriority = 4;
    if (scheduling == Routing::Scheduling::ArrivalOrder)
        return defaultPriority;
    auto const remaining = expectedTokens > generatedTokens ? expectedTokens - generatedTokens : 0;
    return Routing::priorityForRemaining(static_cast<std::uint32_t>(remaining));
}

void ModelRunner::failStream(Attempt const& attempt, Core::Error const& error)
{
    auto* stream = servedStream(attempt);
    if (!stream)
        return;
    Core::logEvent(Core::LogLevel::Warning, "request_failed", { { "request_id", attempt.requestId }, { "kind", Core::errorResponseFor(error.kind).name }, { "attempts", attempt.attempts }, { "detail", error.message } });
    m_decisions.add(attempt.requestId, "failed: " + error.message);
    m_streams.fail(*stream, error);
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
        Core::Error error;
        Core::fail(error, ErrorKind::Internal, "the recorded request cannot be decoded", RunState::Unknown);
        failStream(attempt, error);
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
            Core::Error error;
            auto const runState = attempt.attempts > 0 ? RunState::Unknown : RunState::NotRun;
            Core::fail(error, ErrorKind::DeadlineExceeded, "the deadline passed; last error: " + attempt.lastError.message, runState);
            failStream(attempt, error);
            co_return;
        }
        bool const byPeers = m_isQuarantinedByPeers && m_isQuarantinedByPeers(attempt.fingerprint);
        if (byPeers || Limits::isQuarantined(m_tables.quarantine, attempt.fingerprint, m_runtime.now())) {
            Core::Error error;
            Core::fail(error, ErrorKind::RequestQuarantined, "the request crashed several backend servers", RunState::Unknown);
            failStream(attempt, error);
            co_return;
        }
        bool const mayRetryNow = tryTakeRetry(attempt, outcome);
        // A random delay makes it unlikely that suspects of different nodes share the next server as well.
        auto const suspectDelay = outcome == AttemptOutcome::Failed && Limits::isSuspect(m_tables.quarantine, attempt.fingerprint)
            ? std::chrono::duration_cast<Core::Duration>(m_settings.retryDelay * 3 * m_random.unit())
            : Core::Duration {};
        auto const delay = std::max(suspectDelay, mayRetryNow ? Core::Duration {} : m_settings.retryDelay);
        if (delay > Core::Duration {})
            co_await m_runtime.sleepFor(delay);
    }
}

// Returns whether the request may be retried without delay. An exhausted retry budget delays an accepted request but never fails it.
bool ModelRunner::tryTakeRetry(Attempt& attempt, AttemptOutcome outcome)
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
            auto const fingerprint = entry.second.fingerprint;
            return fingerprint != attempt.fingerprint && Limits::isSuspect(m_tables.quarantine, fingerprint);
        });
        if (hasSuspect)
            servers.push_back(serverId);
    }
    return servers;
}

std::optional<Routing::ServerChoice> ModelRunner::choose(Attempt const& attempt, Core::Error& error)
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
    // First-come, first-served scheduling does not distinguish lengths.
    if (m_settings.scheduling == Routing::Scheduling::ShortestFirst)
        request.longShare = Routing::longShare(m_tables.workMixes[attempt.model.service]);
    auto isolatedRequest = request;
    auto const others = serversWithOtherSuspects(attempt);
    isolatedRequest.excludedServers.insert(isolatedRequest.excludedServers.end(), others.begin(), others.end());
    // A suspect waits until there is a server without other suspects.
    return Routing::chooseServer(m_tables.servers, m_tables.prefixes, isolatedRequest, m_runtime.now(), m_random, error);
}

Core::Awaitable<ModelRunner::AttemptOutcome> ModelRunner::runAttempt(Attempt& attempt)
{
    auto choice = std::exchange(attempt.importedServer, std::nullopt);
    if (!choice)
        choice = choose(attempt, attempt.lastError);
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

    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId)) {
        ++row->outstanding;
        attempt.processIncarnation = row->report ? row->report->processIncarnation : 0;
    }
    m_tables.batches[attempt.serverId][attempt.attemptId] = { attempt.fingerprint, false };
    attempt.lastTokenAt = m_runtime.now();
    attempt.attemptTokens = 0;
    auto outcome = AttemptOutcome::Refused;
    // A hung engine must not block the request until its deadline.
    auto const headDeadline = std::min(attempt.deadline, m_runtime.now() + m_settings.stallTimeout);
    auto completion = co_await m_engines.complete(attempt.endpoint, attempt.model, call, headDeadline, attempt.lastError);
    if (completion) {
        outcome = co_await readCompletion(attempt, *completion);
    } else if (attempt.lastError.kind == ErrorKind::Overloaded) {
        attempt.excludedServers.push_back(attempt.serverId);
    } else {
        recordAttemptFailure(attempt, attempt.lastError);
        outcome = AttemptOutcome::Failed;
    }
    if (outcome == AttemptOutcome::Moved)
        outcome = co_await moveState(attempt, *completion);
    if (outcome == AttemptOutcome::Failed)
        co_await checkCrash(attempt);
    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId); row && row->outstanding > 0)
        --row->outstanding;
    m_tables.batches[attempt.serverId].erase(attempt.attemptId);
    co_return outcome;
}

Core::Awaitable<ModelRunner::AttemptOutcome> ModelRunner::readCompletion(Attempt& attempt, CompletionStream& completion)
{
    while (true) {
        // The first token may be delayed by the engine's queue; later ones may not.
        auto const stallDeadline = attempt.lastTokenAt + m_settings.stallTimeout * (attempt.attemptTokens > 0 ? 1 : 4);
        auto const progress = co_await completion.read(std::min(attempt.deadline, stallDeadline), attempt.lastError);
        auto* stream = servedStream(attempt);
        if (!stream)
            co_return AttemptOutcome::Ended;
        if (!progress) {
            recordAttemptFailure(attempt, attempt.lastError);
            co_return AttemptOutcome::Failed;
        }
        if (applyProgress(attempt, *progress))
            co_return AttemptOutcome::Ended;
        if (shouldMove(attempt) || tryAbandonLateAttempt(attempt))
            co_return AttemptOutcome::Moved;
        co_await correctEstimateAndPriority(attempt);
    }
}

// Returns whether the output is complete. Precondition: this node serves the stream.
bool ModelRunner::applyProgress(Attempt& attempt, CompletionProgress const& progress)
{
    auto* stream = servedStream(attempt);
    recordTokens(attempt, progress);
    if (progress.end) {
        recordEnd(attempt, *progress.end);
        m_streams.finish(*stream, progress.end->finishReason);
    }
    if (progress.end || !progress.tokens.empty())
        m_replicator.streamChanged(*stream);
    return progress.end.has_value();
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
    if (attempt.attemptTokens == 0) {
        attempt.firstTokenSeconds = elapsed;
        if (attempt.length == Routing::WorkLength::Ordinary)
            Routing::recordDelay(m_tables.servers.firstTokenDelays[attempt.model.service], elapsed);
        // Recorded here because the prompt is cached once it is prefilled; a long output ends much later.
        for (auto const hash : Routing::prefixHashes(attempt.model.promptTokens))
            m_tables.prefixes.recordStored(attempt.serverId, hash);
    }
    if (row && attempt.attemptTokens > 0) {
        auto const seconds = elapsed / static_cast<double>(progress.tokens.size());
        Routing::recordServiceTime(*row, seconds, now);
    }
    if (row)
        Routing::recordSuccess(*row);
    attempt.lastTokenAt = now;
    attempt.attemptTokens += progress.tokens.size();
    m_tables.batches[attempt.serverId][attempt.attemptId].progressed = true;
    m_metrics.counter("hyssopstep_tokens_total", { { "service", attempt.model.service } }).add(progress.tokens.size());
}

void ModelRunner::recordEnd(Attempt& attempt, CompletionEnd const& end)
{
    auto const* stream = m_streams.find(attempt.requestId);
    m_tables.lengths.recordFinished(lengthHint(stream->team, attempt.model), static_cast<std::uint32_t>(stream->tokens.size()));
    if (auto const* row = Routing::findServer(m_tables.servers, attempt.serverId); row && row->stragglerState == Routing::StragglerState::Normal)
        Routing::recordPrefill(m_tables.servers, attempt.model.service, end.prefilledTokens, attempt.firstTokenSeconds - row->serviceTime.secondsPerUnit);
    Limits::recordFinished(m_tables.quarantine, attempt.fingerprint);
    m_metrics.counter("hyssopstep_cached_tokens_total", { { "service", attempt.model.service } }).add(end.cachedTokens);
    m_metrics.counter("hyssopstep_prefilled_tokens_total", { { "service", attempt.model.service } }).add(end.prefilledTokens);
    m_decisions.add(attempt.requestId, "finished at " + attempt.serverId + ": cached=" + std::to_string(end.cachedTokens) + " prefilled=" + std::to_string(end.prefilledTokens));
}

void ModelRunner::recordAttemptFailure(Attempt& attempt, Core::Error const& error)
{
    m_decisions.add(attempt.requestId, "attempt at " + attempt.serverId + " failed: " + error.message);
    Core::logEvent(Core::LogLevel::Info, "attempt_failed", { { "request_id", attempt.requestId }, { "server", attempt.serverId }, { "kind", Core::errorResponseFor(error.kind).name }, { "detail", error.message } });
    attempt.excludedServers.push_back(attempt.serverId);
    if (auto* row = Routing::findServer(m_tables.servers, attempt.serverId))
        Routing::recordFailure(*row, m_runtime.now());
}

// A truncated or invalid response counts as a crash only if the engine process has ended. A refused connection or a stall is not
// evidence against the request.
Core::Awaitable<void> ModelRunner::checkCrash(Attempt& attempt)
{
    bool const mayBeCrash = attempt.lastError.kind == ErrorKind::BackendFailed || attempt.lastError.kind == ErrorKind::BackendAnswerInvalid;
    if (!mayBeCrash)
        co_return;
    Core::Error error;
    auto const incarnation = co_await m_engines.incarnation(attempt.endpoint, m_runtime.now() + m_settings.stateCallTimeout, error);
    bool const isSameProcess = incarnation && (attempt.processIncarnation == 0 || *incarnation == attempt.processIncarnation);
    if (!isSameProcess)
        recordCrash(attempt);
}

void ModelRunner::recordCrash(Attempt const& attempt)
{
    auto const now = m_runtime.now();
    auto const& crashes = m_tables.quarantine.crashes;
    bool const known = std::any_of(crashes.begin(), crashes.end(), [&](auto const& crash) { return crash.serverId == attempt.serverId && now - crash.at < 1s; });
    if (known)
        return;
    Limits::ServerCrash crash { now, attempt.serverId, {} };
    for (auto const& [attemptId, entry] : m_tables.batches[attempt.serverId]) {
        crash.batch.push_back(entry.fingerprint);
        if (entry.progressed)
            crash.progressed.insert(entry.fingerprint);
    }
    for (auto const fingerprint : Limits::recordCrash(m_tables.quarantine, std::move(crash))) {
        Core::logEvent(Core::LogLevel::Warning, "request_quarantined", { { "fingerprint", fingerprint }, { "server", attempt.serverId } });
        if (m_onQuarantined)
            m_onQuarantined(fingerprint);
    }
}

bool ModelRunner::shouldMove(Attempt const& attempt) const
{
    static constexpr unsigned maximumMoves = 8;
    static constexpr std::uint32_t minimumTokensToMove = 32;
    auto const* row = Routing::findServer(m_tables.servers, attempt.serverId);
    if (!row || attempt.moves >= maximumMoves)
        return false;
    if (row->lifecycle == Routing::Lifecycle::Leaving || row->incarnation != attempt.serverIncarnation) {
        // If there is no other server, generation continues at this one until it ends.
        Routing::RoutingRequest others;
        others.service = attempt.model.service;
        others.dataCentre = m_settings.dataCentre;
        others.excludedServers = { attempt.serverId };
        return Routing::shortestPredictedWait(m_tables.servers, others, m_runtime.now()).has_value();
    }
    if (m_settings.policy != Routing::RoutingPolicy::PredictedTime)
        return false;
    auto const* stream = m_streams.find(attempt.requestId);
    bool const hasLongRemainder = stream && attempt.expectedTokens > stream->tokens.size() + minimumTokensToMove;
    return row->stragglerState == Routing::StragglerState::Straggler && hasLongRemainder && attempt.moves == 0;
}

// Returns whether to abandon an attempt of an ordinary request whose first token is unusually late; takes a retry from the budget if so.
// The server is probably a straggler that the load reports do not show yet, or busy with a long prompt.
bool ModelRunner::tryAbandonLateAttempt(Attempt const& attempt)
{
    if (m_settings.policy != Routing::RoutingPolicy::PredictedTime || attempt.length == Routing::WorkLength::Long)
        return false;
    if (attempt.attemptTokens > 0 || attempt.moves > 0)
        return false;
    auto const now = m_runtime.now();
    auto& delays = m_tables.servers.firstTokenDelays[attempt.model.service];
    auto const outlierThreshold = Routing::delayOutlierThreshold(delays);
    auto const elapsed = std::chrono::duration<double>(now - attempt.lastTokenAt).count();
    if (!outlierThreshold || elapsed < *outlierThreshold || !retryBudgetFor(m_tables, attempt.model.service).tryTake(now))
        return false;
    Routing::recordDelay(delays, elapsed);
    m_metrics.counter("hyssopstep_first_tokens_given_up_total", { { "service", attempt.model.service } }).add();
    return true;
}

// Transfers the attention state to another server. On failure the rest is generated from the prompt and the tokens so far, at any
// server.
Core::Awaitable<ModelRunner::AttemptOutcome> ModelRunner::moveState(Attempt& attempt, CompletionStream& completion)
{
    ++attempt.moves;
    attempt.excludedServers = { attempt.serverId };
    if (m_settings.attentionState == AttentionStatePolicy::Recompute || attempt.attemptTokens == 0)
        co_return AttemptOutcome::Moved;
    Core::Error error;
    auto state = co_await m_engines.exportState(attempt.endpoint, attempt.attemptId, m_runtime.now() + m_settings.stateCallTimeout, error);
    m_decisions.add(attempt.requestId, "moves from " + attempt.serverId + (state ? " with its attention state" : " without attention state: " + error.message));
    if (!state)
        co_return AttemptOutcome::Moved;
    auto const choice = choose(attempt, error);
    if (!choice)
        co_return AttemptOutcome::Moved;
    auto handle = co_await m_engines.importState(choice->endpoint, std::move(state->state), m_runtime.now() + m_settings.stateCallTimeout, error);
    if (!handle)
        co_return AttemptOutcome::Moved;
    // The exported state may cover tokens that have not been received yet; it can be used only once all of them have arrived.
    auto const readDeadline = m_runtime.now() + m_settings.stateCallTimeout;
    while (true) {
        auto const* stream = servedStream(attempt);
        if (!stream)
            co_return AttemptOutcome::Ended;
        if (attempt.model.promptTokens.size() + stream->tokens.size() >= state->tokens)
            break;
        auto const progress = co_await completion.read(readDeadline, error);
        if (!progress || !servedStream(attempt))
            break;
        if (applyProgress(attempt, *progress))
            co_return AttemptOutcome::Ended;
    }
    attempt.stateHandle = std::move(*handle);
    attempt.importedServer = choice;
    m_metrics.counter("hyssopstep_state_moves_total", { { "service", attempt.model.service } }).add();
    co_return AttemptOutcome::Moved;
}

Core::Awaitable<void> ModelRunner::correctEstimateAndPriority(Attempt& attempt)
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
    Core::Error error;
    auto const demoted = co_await m_engines.setPriority(attempt.endpoint, attempt.attemptId, priority, m_runtime.now() + m_settings.stateCallTimeout, error);
    m_decisions.add(attempt.requestId, "output longer than estimated; priority " + std::to_string(priority) + (demoted ? "" : " not set: " + error.message));
}

}
