#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <LibRouting/ServerChoice.h>
#include <LibStream/StreamReplicator.h>
#include <Node/DecisionLog.h>
#include <Node/EngineClient.h>
#include <Node/NodeTables.h>
#include <functional>

namespace Node {

/// How generation continues at another engine.
enum class AttentionStatePolicy {
    /// With the attention state exported from the previous engine.
    Move,
    /// By prefilling the prompt and the generated tokens again; a baseline for measurements.
    Recompute,
};

struct ModelRunnerSettings {
    std::string nodeId;
    std::string dataCentre;
    Routing::RoutingPolicy policy { Routing::RoutingPolicy::PredictedTime };
    Routing::Scheduling scheduling { Routing::Scheduling::ShortestFirst };
    AttentionStatePolicy attentionState { AttentionStatePolicy::Move };
    /// How long an engine may send no token before the attempt fails.
    Core::Duration stallTimeout { std::chrono::seconds(5) };
    /// Delay between two attempts when no server accepts the request or the retry budget is exhausted.
    Core::Duration retryDelay { std::chrono::milliseconds(100) };
    /// Timeout of an export or import of attention state, and of other short calls to an engine.
    Core::Duration stateCallTimeout { std::chrono::milliseconds(500) };
};

/// Generates the output of the streams that this node serves, and continues at another engine when one fails, leaves or is slow.
/// Used from the runtime's thread only.
class ModelRunner {
public:
    /// Precondition: all references outlive the runner, which outlives its tasks on the runtime.
    ModelRunner(Core::Runtime&, EngineClient&, NodeTables&, Stream::StreamTable&, Stream::StreamReplicator&, DecisionLog&, Core::Random&, Core::Metrics&, ModelRunnerSettings);

    /// Starts or continues generation for a stream that this node serves.
    void start(std::string requestId);

    /// Sets the function that is called for each request that is quarantined here for crashing backend servers.
    void setQuarantineListener(std::function<void(Limits::RequestFingerprint)> listener) { m_onQuarantined = std::move(listener); }

    /// Sets the function that tells whether another node has quarantined a request.
    void setPeerQuarantineCheck(std::function<bool(Limits::RequestFingerprint)> isQuarantined) { m_isQuarantinedByPeers = std::move(isQuarantined); }

    /// The fingerprint by which a request is quarantined. Thread safe.
    [[nodiscard]] static Limits::RequestFingerprint fingerprintOf(ModelRequest const&);

private:
    enum class AttemptOutcome {
        /// The stream finished, failed or continues at another node.
        Ended,
        /// The server is leaving or slow; the rest is generated at another one.
        Moved,
        /// No server accepted the attempt.
        Refused,
        Failed,
    };
    struct Attempt;

    [[nodiscard]] Core::Awaitable<void> run(std::string requestId);
    [[nodiscard]] Core::Awaitable<AttemptOutcome> runAttempt(Attempt&);
    [[nodiscard]] Core::Awaitable<AttemptOutcome> readCompletion(Attempt&, CompletionStream&);
    [[nodiscard]] Core::Awaitable<AttemptOutcome> moveState(Attempt&, CompletionStream&);
    [[nodiscard]] Core::Awaitable<void> checkCrash(Attempt&);
    [[nodiscard]] Core::Awaitable<void> correctEstimateAndPriority(Attempt&);
    [[nodiscard]] Stream::Stream* servedStream(Attempt const&);
    [[nodiscard]] std::optional<Routing::ServerChoice> choose(Attempt const&, Core::Error&);
    [[nodiscard]] bool tryTakeRetry(Attempt&, AttemptOutcome);
    [[nodiscard]] bool shouldMove(Attempt const&) const;
    [[nodiscard]] bool tryAbandonLateAttempt(Attempt const&);
    void recordTokens(Attempt&, CompletionProgress const&);
    void recordEnd(Attempt&, CompletionEnd const&);
    void recordAttemptFailure(Attempt&, Core::Error const&);
    void recordCrash(Attempt const&);
    [[nodiscard]] bool applyProgress(Attempt&, CompletionProgress const&);
    void failStream(Attempt const&, Core::Error const&);
    [[nodiscard]] std::vector<std::string> serversWithOtherSuspects(Attempt const&) const;
    [[nodiscard]] std::string newAttemptId();

    Core::Runtime& m_runtime;
    EngineClient& m_engines;
    NodeTables& m_tables;
    Stream::StreamTable& m_streams;
    Stream::StreamReplicator& m_replicator;
    DecisionLog& m_decisions;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    ModelRunnerSettings m_settings;
    std::function<void(Limits::RequestFingerprint)> m_onQuarantined;
    std::function<bool(Limits::RequestFingerprint)> m_isQuarantinedByPeers;
};

}
