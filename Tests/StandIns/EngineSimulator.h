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
    /// Sequences that are computed at the same time.
    std::size_t slots { 8 };
    /// Sequences that may wait for a slot; more are refused.
    std::size_t queueLimit { 64 };
    /// A step takes base + perSequence * batch + perPrefillToken * tokens prefilled in it.
    std::chrono::microseconds stepBase { 8'000 };
    std::chrono::microseconds stepPerSequence { 1'000 };
    std::chrono::microseconds stepPerPrefillToken { 100 };
    /// Prompt tokens that one step prefills at most, over all sequences.
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

/// One attempt at a request. Not thread safe.
struct Sequence {
    explicit Sequence(Core::Runtime& runtime)
        : progress(runtime)
    {
    }

    std::string requestId;
    std::string attemptId;
    std::vector<std::string> prompt;
    /// The whole answer so far, with the tokens that an earlier attempt generated.
    std::vector<std::string> generated;
    std::size_t resumedFrom { 0 };
    std::size_t length { 0 };
    /// The number of tokens at which the answer ends, over the whole answer.
    std::size_t maximumTokens { 0 };
    unsigned priority { 0 };
    std::uint64_t seed { 0 };
    /// Tokens whose attention state was imported.
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

/// A continuous batching engine as a state machine: the owner calls beginStep(), lets the step's time pass and calls
/// finishStep(). Not thread safe.
class EngineSimulator {
public:
    explicit EngineSimulator(SimulatorSettings const&);

    /// Queues a sequence. Returns false if the queue is full.
    [[nodiscard]] bool submit(SequencePointer);

    /// Fills the slots by priority and returns the time the step takes, or nothing if there is no work.
    [[nodiscard]] std::optional<Core::Duration> beginStep();

    /// Computes the step: prefill, and one token for each sequence that is prefilled.
    void finishStep(Core::MonotonicTime now);

    /// Takes a sequence out of the engine. Precondition: the caller holds its own reference.
    void end(SequencePointer const&, Outcome);

    /// Changes a sequence's priority. Afterwards it may preempt, or be preempted by, a sequence of another priority.
    void changePriority(Sequence&, unsigned priority);

    /// The sequence of an attempt that is running or waiting.
    [[nodiscard]] SequencePointer find(std::string_view attemptId) const;

    /// Ends every sequence and forgets the cache, as a crash does.
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
    /// In the order of priority, then arrival.
    std::vector<SequencePointer> m_waiting;
    std::uint64_t m_nextOrder { 0 };
    std::uint64_t m_tokensComputed { 0 };
    std::uint64_t m_preemptions { 0 };
    std::size_t m_stepPrefill { 0 };
};

}
