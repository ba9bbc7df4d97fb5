#pragma once

#include <LibCore/ErrorKind.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Intent {

/// The backend server's answer, as returned to requests that repeat the key.
struct RecordedAnswer {
    unsigned status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    bool operator==(RecordedAnswer const&) const = default;
};

enum class IntentState {
    /// The writer may call the backend server, or has called it.
    Started,
    /// The backend server's answer is recorded.
    Finished,
    /// The attempt ended without an answer; the call may have run.
    Abandoned,
};

/// Where the answer of a finished record is stored.
enum class AnswerLocation {
    Inline,
    /// In the object intentanswers/<answerName>.
    OwnObject,
    /// Not stored, because it was too large or could not be written.
    Omitted,
};

/// One recorded call. Times are in milliseconds since the Unix epoch by the writer's clock.
struct IntentRecord {
    std::string keyDigest;
    std::string fingerprint;
    /// Unique per call of IntentJournal::begin.
    std::string attemptId;
    std::string writer;
    IntentState state { IntentState::Started };
    std::uint64_t startedAt { 0 };
    /// The deadline of the writer's request.
    std::uint64_t deadlineAt { 0 };
    std::uint64_t finishedAt { 0 };
    AnswerLocation answerLocation { AnswerLocation::Inline };
    std::string answerName;
    std::optional<RecordedAnswer> answer;

    bool operator==(IntentRecord const&) const = default;
};

/// The value of one shard object. No records are inserted into a sealed object; those in it can still be changed and removed.
struct ShardContent {
    bool sealed { false };
    /// Keyed by key digest.
    std::map<std::string, IntentRecord, std::less<>> records;

    bool operator==(ShardContent const&) const = default;
};

/// Encodes the value of a shard object as JSON. Thread safe.
[[nodiscard]] std::string encodeShard(ShardContent const&);

/// Parses what encodeShard() returns. Fails with Internal for anything else, because overwriting an unreadable shard would
/// lose its records. Thread safe.
[[nodiscard]] std::optional<ShardContent> decodeShard(std::string_view text, Core::Error&);

/// Encodes the value of an answer object as JSON. Thread safe.
[[nodiscard]] std::string encodeAnswer(RecordedAnswer const&);

/// Parses what encodeAnswer() returns. Fails with Internal for anything else. Thread safe.
[[nodiscard]] std::optional<RecordedAnswer> decodeAnswer(std::string_view text, Core::Error&);

}
