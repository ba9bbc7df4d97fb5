#pragma once

#include <LibCore/Runtime.h>
#include <StandIns/EnginePrefixCache.h>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace StandIns {

struct SimulatorSettings {
    /// The number of sequences that are computed concurrently.
    std::size_t slots { 8 };
    /// The maximum number of sequences that wait for a slot; further ones are refused.
    std::size_t queueLimit { 64 };
    /// A step takes stepBase + stepPerSequence * batch size + stepPerPrefillToken * tokens prefilled in the step.
    std::chrono::microseconds stepBase { 8'000 };
    std::chrono::microseconds stepPerSequence { 1'000 };
    std::chrono::microseconds stepPerPrefillToken { 100 };
    /// The maximum number of tokens that one step prefills over all sequences.
    std::size_t prefillTokensPerStep { 256 };
    CacheSettings cache;
    std::uint64_t seed { 1 };
};

/// How the work on a sequence ended.
enum class Outcome {
    Running,
    Finished,
    Cancelled,
    Disconnected,
    Crashed,
    Truncated,
};

/// An attempt at a request. Not thread safe.
struct Sequence {
    explicit Sequence(Core::Runtime& runtime)
        : progress(runtime)
    {
    }

    std::string requestId;
    std::string attemptId;
    std::vector<std::string> prompt;
    /// The output so far, including the tokens that an earlier attempt generated.
    std::vector<std::string> generated;
    std::size_t resumedFrom { 0 };
    std::size_t length { 0 };
    /// The maximum length of the output, including the tokens of earlier attempts.
    std::size_t maximumTokens { 0 };
    unsigned priority { 0 };
    std::uint64_t seed { 0 };
    /// The number of tokens whose attention state was imported.
    std::size_t importedTokens { 0 };

    /// When the attempt arrived, in milliseconds since the Unix epoch.
    std::int64_t startedAtMs { 0 };
    std::uint64_t order { 0 };
    bool priorityChanged { false };
    std::size_t remainingPrefill { 0 };
    std::size_t cachedTokens { 0 };
    std::size_t prefilledTokens { 0 };
    std::size_t computedTokens { 0 };
    std::string firstToken;
    Outcome outcome { Outcome::Running };
    /// Notified after each token and at the end.
    Core::AsyncEvent progress;
};

using SequencePointer = std::shared_ptr<Sequence>;

/// An engine with continuous batching as a state machine: the owner calls beginStep(), waits for the duration that it returns
/// and calls finishStep(). Not thread safe.
class EngineSimulator {
public:
    explicit EngineSimulator(SimulatorSettings const&);

    /// Queues a sequence. Returns false if the queue is full.
    [[nodiscard]] bool submit(SequencePointer);

    /// Fills the slots by priority and returns the duration of the step, or nothing if there is no work.
    [[nodiscard]] std::optional<Core::Duration> beginStep();

    /// Computes the step: prefills, and generates one token for each sequence whose prefill is complete.
    void finishStep(Core::MonotonicTime now);

    /// Removes a sequence from the engine. Precondition: the caller holds its own reference.
    void end(SequencePointer const&, Outcome);

    /// Changes the priority of a sequence. Afterwards the sequence may preempt a sequence of lower priority and may be preempted
    /// by one of higher priority; other sequences are not preempted.
    void changePriority(Sequence&, unsigned priority);

    /// Returns the running or waiting sequence of an attempt, or null.
    [[nodiscard]] SequencePointer find(std::string_view attemptId) const;

    /// Ends all sequences and clears the cache.
    void crash();

    [[nodiscard]] std::vector<SequencePointer> const& running() const { return m_running; }
    [[nodiscard]] std::vector<SequencePointer> const& waiting() const { return m_waiting; }
    [[nodiscard]] EnginePrefixCache const& cache() const { return m_cache; }
    [[nodiscard]] std::uint64_t tokensComputed() const { return m_tokensComputed; }
    [[nodiscard]] std::uint64_t preemptions() const { return m_preemptions; }
    [[nodiscard]] SimulatorSettings const& settings() const { return m_settings; }

private:
    void start(SequencePointer const&);
    void preempt();
    void computeToken(Sequence&);

    SimulatorSettings m_settings;
    EnginePrefixCache m_cache;
    std::vector<SequencePointer> m_running;
    /// Ordered by priority, then arrival.
    std::vector<SequencePointer> m_waiting;
    std::uint64_t m_nextOrder { 0 };
    std::uint64_t m_tokensComputed { 0 };
    std::uint64_t m_preemptions { 0 };
    std::size_t m_stepPrefill { 0 };
};

}
