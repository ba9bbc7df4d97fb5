#pragma once

#include <LibCore/Runtime.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace Intent {

/// What is known of the node that wrote a record.
enum class WriterState {
    Live,
    Unknown,
    Dead,
};

/// All nodes use the same retention, clockSkewBound, bucketDuration and shardsPerBucket; they decide where a key is recorded.
struct IntentSettings {
    /// Keys older than this are refused, so that their records can be removed.
    std::chrono::milliseconds retention { std::chrono::hours(24) };
    /// Bound on the difference of any two clocks of nodes and clients.
    std::chrono::milliseconds clockSkewBound { std::chrono::minutes(5) };
    /// The keys of one bucket share objects. Short buckets keep the number of continuation objects per shard small.
    std::chrono::milliseconds bucketDuration { std::chrono::minutes(1) };
    std::uint32_t shardsPerBucket { 8 };
    /// Minimum time from the start of one write of a shard to the start of the next.
    Core::Duration writeInterval { std::chrono::milliseconds(50) };
    /// Deadline of one call of the object API.
    Core::Duration storeCallTimeout { std::chrono::seconds(2) };
    /// First and longest delay before a failed call of the object API is repeated; it doubles in between.
    Core::Duration retryDelay { std::chrono::milliseconds(50) };
    Core::Duration maximumRetryDelay { std::chrono::seconds(2) };
    /// How long finish, release and abandon are retried.
    Core::Duration completionRetryPeriod { std::chrono::minutes(10) };
    /// First and longest delay between two reads of a record that another node has in progress; it doubles in between.
    Core::Duration pollDelay { std::chrono::milliseconds(250) };
    Core::Duration maximumPollDelay { std::chrono::seconds(2) };
    /// Shards that no call used for this long are dropped from memory.
    Core::Duration cacheIdlePeriod { std::chrono::minutes(2) };
    /// A shard object is sealed by the write that makes it larger than this. Each write sends the whole object, so a small
    /// bound keeps the bytes per write low.
    std::size_t sealThresholdBytes { 64 * 1024 };
    /// Answers larger than this go to an object of their own.
    std::size_t maximumInlineAnswerBytes { 16 * 1024 };
    /// Answers are moved to objects of their own rather than let a shard object become larger than this.
    std::size_t maximumObjectBytes { 768 * 1024 };
    /// Answers larger than this are not kept; a repeated key then learns only that the call ran.
    std::size_t maximumAnswerBytes { 640 * 1024 };
    /// Looks a node up in the node table; without it every other node counts as Unknown.
    std::function<WriterState(std::string const& nodeId)> writerState;
};

}
