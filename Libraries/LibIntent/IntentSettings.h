#pragma once

#include <LibCore/Runtime.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace Intent {

/// Liveness of the node that wrote a record.
enum class WriterState {
    Live,
    Unknown,
    Dead,
};

/// retention, clockSkewBound, bucketDuration and shardsPerBucket must be the same on all nodes: they determine where a key is
/// recorded and for how long.
struct IntentSettings {
    /// Keys older than this are refused, which allows their records to be removed.
    std::chrono::milliseconds retention { std::chrono::hours(24) };
    /// Upper bound on the difference between any two clocks of nodes and clients.
    std::chrono::milliseconds clockSkewBound { std::chrono::minutes(5) };
    /// Time range of the keys in one bucket. A short range keeps the number of continuation objects per shard small.
    std::chrono::milliseconds bucketDuration { std::chrono::minutes(1) };
    std::uint32_t shardsPerBucket { 8 };
    /// Minimum time between the starts of two writes of a shard.
    Core::Duration writeInterval { std::chrono::milliseconds(50) };
    /// Deadline of one call of the object API.
    Core::Duration storeCallTimeout { std::chrono::seconds(2) };
    /// Initial delay before a failed call of the object API is retried; it doubles with each failure up to the maximum.
    Core::Duration retryDelay { std::chrono::milliseconds(50) };
    Core::Duration maximumRetryDelay { std::chrono::seconds(2) };
    /// How long the writes of finish(), release() and abandon() are retried.
    Core::Duration completionRetryPeriod { std::chrono::minutes(10) };
    /// Initial delay before rereading a record whose attempt is in progress at another node; it doubles with each read up to
    /// the maximum.
    Core::Duration pollDelay { std::chrono::milliseconds(250) };
    Core::Duration maximumPollDelay { std::chrono::seconds(2) };
    /// Shards unused for this long are evicted from memory.
    Core::Duration cacheIdlePeriod { std::chrono::minutes(2) };
    /// A write that makes a shard object larger than this also seals it. Each write sends the whole object, so a low
    /// threshold limits the bytes per write.
    std::size_t sealThresholdBytes { 64 * 1024 };
    /// Larger answers are stored in a separate object.
    std::size_t maximumInlineAnswerBytes { 16 * 1024 };
    /// An answer that would make the shard object larger than this is stored in a separate object.
    std::size_t maximumObjectBytes { 768 * 1024 };
    /// Larger answers are not stored; a request that repeats the key gets OutcomeUnknown (Ran).
    std::size_t maximumAnswerBytes { 640 * 1024 };
    /// Returns the state of a node from the node table. If not set, every other node is Unknown.
    std::function<WriterState(std::string const& nodeId)> writerState;
};

}
