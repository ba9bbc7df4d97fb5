#include <Node/IntentForwarder.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <cstdio>

namespace Node {

using Core::ErrorKind;
using Core::RunState;
using Intent::IntentDecision;
using Intent::IntentDecisionKind;
using namespace std::chrono_literals;

// Transit time of a writer's reply, which may be sent at the end of the writer's own timeout.
static constexpr auto replyMargin = 300ms;

IntentForwarder::IntentForwarder(Core::Runtime& runtime, Intent::IntentJournal& journal, IntentWriters& writers, Core::Random& random, Core::Metrics& metrics, IntentForwarderSettings settings)
    : m_runtime(runtime)
    , m_journal(journal)
    , m_writers(writers)
    , m_random(random)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
{
}

std::string IntentForwarder::newClaimId()
{
    char buffer[20];
    std::snprintf(buffer, sizeof(buffer), ".%016llx", static_cast<unsigned long long>(m_random.bits()));
    return m_settings.claimant + buffer;
}

std::set<std::string> IntentForwarder::writersInBackoff() const
{
    std::set<std::string> avoided;
    for (auto const& [nodeId, until] : m_writerBackoffUntil) {
        if (until > m_runtime.now())
            avoided.insert(nodeId);
    }
    return avoided;
}

// Whether the decision may still change before the caller's deadline.
static bool isProvisional(std::optional<IntentDecision> const& decision)
{
    return !decision || decision->kind == IntentDecisionKind::OutcomeUnknown || decision->kind == IntentDecisionKind::InProgress;
}

Core::Awaitable<std::optional<IntentDecision>> IntentForwarder::begin(std::string team, std::string service, std::string key, std::string fingerprint, Core::MonotonicTime deadline, Core::Error& error)
{
    Submission const submission { std::move(team), std::move(service), std::move(key), std::move(fingerprint) };
    Core::Error keyError;
    auto const parsed = Intent::parseIntentKey(submission.key, keyError);
    std::vector<std::string> writers;
    if (parsed) {
        auto const location = Intent::locationOf(submission.team, submission.service, *parsed, m_settings.journal);
        writers = m_writers.writersFor(Intent::shardObjectName(location, 0), writersInBackoff());
    }
    for (auto const& writer : writers) {
        auto const writerDeadline = m_runtime.now() + m_settings.writerTimeout;
        // The last attempt gets the remaining time, and only it may report that no decision was reached.
        if (writerDeadline + replyMargin >= deadline)
            break;
        std::optional<IntentDecision> decision;
        if (writer == m_settings.nodeId)
            decision = co_await beginLocally(submission, writerDeadline, error);
        else
            decision = co_await beginRemotely(writer, submission, writerDeadline, error);
        if (!isProvisional(decision))
            co_return decision;
    }
    co_return co_await beginLocally(submission, deadline, error);
}

Core::Awaitable<std::optional<IntentDecision>> IntentForwarder::beginLocally(Submission submission, Core::MonotonicTime deadline, Core::Error& error)
{
    return m_journal.begin(std::move(submission.team), std::move(submission.service), std::move(submission.key), std::move(submission.fingerprint), deadline, error);
}

Core::Awaitable<std::optional<IntentDecision>> IntentForwarder::beginRemotely(std::string writer, Submission submission, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const claimId = newClaimId();
    auto const timeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - m_runtime.now());
    Peer::BeginIntentRequest request { claimId, m_settings.claimant, submission.team, submission.service, submission.key, submission.fingerprint, static_cast<std::uint32_t>(timeout.count()) };
    auto const reply = co_await m_writers.beginIntent(writer, std::move(request), deadline + replyMargin, error);
    if (!reply) {
        // The intent may have been written. This node will not run the call, and withdraws the claim at the writer.
        if (error.runState != RunState::NotRun)
            m_runtime.spawn(withdraw(writer, claimId));
        m_writerBackoffUntil[writer] = m_runtime.now() + m_settings.failedWriterBackoff;
        m_metrics.counter("hyssopstep_intent_writer_failures_total").add();
        co_return std::nullopt;
    }
    if (reply->code == Peer::BeginIntentCode::Undecided)
        m_writerBackoffUntil[writer] = m_runtime.now() + m_settings.failedWriterBackoff;
    co_return decisionFrom(writer, claimId, *reply);
}

std::optional<IntentDecision> IntentForwarder::decisionFrom(std::string const& writer, std::string const& claimId, Peer::BeginIntentReply const& reply)
{
    IntentDecision decision;
    if (reply.code == Peer::BeginIntentCode::Run && reply.ticket) {
        decision.kind = IntentDecisionKind::Run;
        decision.ticket = Intent::IntentTicket { { reply.ticket->bucket, reply.ticket->shard }, reply.ticket->keyDigest, reply.ticket->attemptId };
        m_forwarded[decision.ticket->attemptId] = { writer, claimId };
        m_metrics.counter("hyssopstep_intents_forwarded_total").add();
        return decision;
    }
    if (reply.code == Peer::BeginIntentCode::Replay && reply.answer) {
        decision.kind = IntentDecisionKind::Replay;
        decision.answer = Intent::RecordedAnswer { reply.answer->status, { { "Content-Type", reply.answer->contentType } }, reply.answer->body };
        return decision;
    }
    if (reply.code != Peer::BeginIntentCode::Refused)
        return std::nullopt;
    decision.error.kind = Core::errorKindFromName(reply.errorKind).value_or(ErrorKind::OutcomeUnknown);
    decision.error.runState = Core::runStateFromName(reply.runState).value_or(RunState::Unknown);
    decision.error.message = reply.message;
    switch (decision.error.kind) {
    case ErrorKind::IdempotencyKeyReused:
        decision.kind = IntentDecisionKind::Mismatch;
        break;
    case ErrorKind::IdempotencyKeyExpired:
        decision.kind = IntentDecisionKind::Expired;
        break;
    case ErrorKind::IdempotencyKeyInvalid:
        decision.kind = IntentDecisionKind::Invalid;
        break;
    default:
        decision.kind = IntentDecisionKind::OutcomeUnknown;
        break;
    }
    return decision;
}

std::optional<IntentForwarder::Forwarded> IntentForwarder::takeForwarded(Intent::IntentTicket const& ticket)
{
    auto const found = m_forwarded.find(ticket.attemptId);
    if (found == m_forwarded.end())
        return std::nullopt;
    auto forwarded = std::move(found->second);
    m_forwarded.erase(found);
    return forwarded;
}

Core::Awaitable<bool> IntentForwarder::sendOutcome(Forwarded forwarded, Peer::IntentOutcome outcome, std::optional<Peer::RecordedAnswer> answer)
{
    Peer::FinishIntentRequest request { forwarded.claimId, outcome, std::move(answer) };
    Core::Error error;
    auto const deadline = m_runtime.now() + m_settings.finishTimeout;
    auto const reply = co_await m_writers.finishIntent(forwarded.writer, std::move(request), deadline, error);
    co_return reply && reply->code == Peer::FinishIntentCode::Recorded;
}

static std::string contentTypeOf(Intent::RecordedAnswer const& answer)
{
    static constexpr std::string_view contentType = "Content-Type";
    for (auto const& [name, value] : answer.headers) {
        if (name.size() == contentType.size() && std::equal(name.begin(), name.end(), contentType.begin(), [](unsigned char left, unsigned char right) { return std::tolower(left) == std::tolower(right); }))
            return value;
    }
    return "application/octet-stream";
}

Core::Awaitable<bool> IntentForwarder::finish(Intent::IntentTicket ticket, Intent::RecordedAnswer answer, Core::Error& error)
{
    if (auto const forwarded = takeForwarded(ticket)) {
        std::optional<Peer::RecordedAnswer> message = Peer::RecordedAnswer { static_cast<std::uint16_t>(answer.status), contentTypeOf(answer), answer.body };
        bool const recorded = co_await sendOutcome(*forwarded, Peer::IntentOutcome::Finish, std::move(message));
        if (recorded)
            co_return true;
        m_journal.importTicket(ticket);
    }
    co_return co_await m_journal.finish(std::move(ticket), std::move(answer), error);
}

Core::Awaitable<bool> IntentForwarder::release(Intent::IntentTicket ticket, Core::Error& error)
{
    if (auto const forwarded = takeForwarded(ticket)) {
        bool const recorded = co_await sendOutcome(*forwarded, Peer::IntentOutcome::Release, std::nullopt);
        if (recorded)
            co_return true;
        m_journal.importTicket(ticket);
    }
    co_return co_await m_journal.release(std::move(ticket), error);
}

Core::Awaitable<bool> IntentForwarder::abandon(Intent::IntentTicket ticket, Core::Error& error)
{
    if (auto const forwarded = takeForwarded(ticket)) {
        bool const recorded = co_await sendOutcome(*forwarded, Peer::IntentOutcome::Abandon, std::nullopt);
        if (recorded)
            co_return true;
        m_journal.importTicket(ticket);
    }
    co_return co_await m_journal.abandon(std::move(ticket), error);
}

// The record blocks the key until it is released, so the withdrawal is retried.
Core::Awaitable<void> IntentForwarder::withdraw(std::string writer, std::string claimId)
{
    static constexpr unsigned maximumTries = 5;
    Forwarded const forwarded { writer, claimId };
    for (unsigned tries = 0; tries < maximumTries; ++tries) {
        bool const released = co_await sendOutcome(forwarded, Peer::IntentOutcome::Withdraw, std::nullopt);
        if (released)
            co_return;
        co_await m_runtime.sleepFor(m_settings.finishTimeout);
    }
    Core::logEvent(Core::LogLevel::Warning, "claim_not_given_up", { { "claim", claimId }, { "writer", writer } });
}

Core::Awaitable<Peer::BeginIntentReply> IntentForwarder::handleBeginIntent(Peer::BeginIntentRequest request)
{
    Peer::BeginIntentReply reply;
    Core::Error error;
    auto const deadline = m_runtime.now() + std::chrono::milliseconds(request.timeoutMilliseconds);
    auto const decision = co_await m_journal.begin(request.team, request.service, request.key, request.fingerprint, deadline, error);
    if (!decision) {
        reply.message = error.message;
        co_return reply;
    }
    if (decision->kind == IntentDecisionKind::Run && decision->ticket) {
        // The calling node has withdrawn the claim meanwhile and will not run the call.
        if (m_withdrawnClaims.erase(request.claimId) > 0) {
            m_runtime.spawn(releaseClaim(*decision->ticket));
            co_return reply;
        }
        m_claims[request.claimId] = { *decision->ticket, request.nodeId, m_runtime.now() + m_settings.claimLifetime };
        reply.code = Peer::BeginIntentCode::Run;
        reply.ticket = Peer::IntentTicket { decision->ticket->location.bucket, decision->ticket->location.shard, decision->ticket->keyDigest, decision->ticket->attemptId };
        co_return reply;
    }
    if (decision->kind == IntentDecisionKind::Replay && decision->answer) {
        reply.code = Peer::BeginIntentCode::Replay;
        reply.answer = Peer::RecordedAnswer { static_cast<std::uint16_t>(decision->answer->status), contentTypeOf(*decision->answer), decision->answer->body };
        co_return reply;
    }
    reply.code = Peer::BeginIntentCode::Refused;
    reply.errorKind = Core::errorResponseFor(decision->error.kind).name;
    reply.runState = Core::runStateName(decision->error.runState);
    reply.message = decision->error.message;
    co_return reply;
}

Core::Awaitable<Peer::FinishIntentReply> IntentForwarder::handleFinishIntent(Peer::FinishIntentRequest request)
{
    Peer::FinishIntentReply reply;
    auto const found = m_claims.find(request.claimId);
    if (found == m_claims.end()) {
        reply.message = "unknown claim";
        if (request.outcome == Peer::IntentOutcome::Withdraw) {
            static constexpr auto withdrawalRetention = 1min;
            m_withdrawnClaims[request.claimId] = m_runtime.now() + withdrawalRetention;
            reply.code = Peer::FinishIntentCode::Recorded;
        }
        co_return reply;
    }
    auto const ticket = found->second.ticket;
    m_claims.erase(found);
    Core::Error error;
    bool recorded = false;
    switch (request.outcome) {
    case Peer::IntentOutcome::Finish: {
        auto const message = request.answer.value_or(Peer::RecordedAnswer {});
        Intent::RecordedAnswer answer { message.status, { { "Content-Type", message.contentType } }, message.body };
        recorded = co_await m_journal.finish(ticket, std::move(answer), error);
        break;
    }
    case Peer::IntentOutcome::Release:
    case Peer::IntentOutcome::Withdraw:
        recorded = co_await m_journal.release(ticket, error);
        break;
    case Peer::IntentOutcome::Abandon:
        recorded = co_await m_journal.abandon(ticket, error);
        break;
    }
    reply.code = recorded ? Peer::FinishIntentCode::Recorded : Peer::FinishIntentCode::NotRecorded;
    reply.message = error.message;
    co_return reply;
}

Core::Awaitable<void> IntentForwarder::abandonClaim(Intent::IntentTicket ticket)
{
    Core::Error error;
    bool const abandoned = co_await m_journal.abandon(ticket, error);
    if (!abandoned)
        Core::logEvent(Core::LogLevel::Warning, "claim_not_abandoned", { { "attempt_id", ticket.attemptId }, { "reason", error.message } });
}

Core::Awaitable<void> IntentForwarder::releaseClaim(Intent::IntentTicket ticket)
{
    Core::Error error;
    bool const released = co_await m_journal.release(ticket, error);
    if (!released)
        Core::logEvent(Core::LogLevel::Warning, "claim_not_released", { { "attempt_id", ticket.attemptId }, { "reason", error.message } });
}

void IntentForwarder::expireClaims()
{
    auto const now = m_runtime.now();
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        if (claim->second.expiresAt > now && !m_writers.isGone(claim->second.claimant)) {
            ++claim;
            continue;
        }
        // The claimant may have called the backend server, and may still record the response in its own journal.
        m_runtime.spawn(abandonClaim(claim->second.ticket));
        claim = m_claims.erase(claim);
    }
    std::erase_if(m_withdrawnClaims, [&](auto const& entry) { return entry.second <= now; });
    std::erase_if(m_writerBackoffUntil, [&](auto const& entry) { return entry.second <= now; });
}

}
