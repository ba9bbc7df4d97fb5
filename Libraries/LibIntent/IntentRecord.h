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

/// The back end's answer as it is returned to repeated keys.
struct RecordedAnswer {
    unsigned status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    bool operator==(RecordedAnswer const&) const = default;
};

enum class IntentState {
    /// The writer may call the back end, or has called it.
    Started,
    /// The answer of the back end is recorded.
    Finished,
    /// The writer gave up without an answer; the call may have run.
    Abandoned,
};

/// Where the answer of a finished record is.
enum class AnswerLocation {
    Inline,
    /// In the object intentanswers/<answerName>.
    OwnObject,
    /// Too large to be kept.
    Omitted,
};

/// One recorded call. Times are in milliseconds since the Unix epoch, by the clock of the writer.
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

/// The value of one shard object. A sealed object takes no new records, but those in it are finished and removed as usual.
struct ShardContent {
    bool sealed { false };
    /// By key digest.
    std::map<std::string, IntentRecord, std::less<>> records;

    bool operator==(ShardContent const&) const = default;
};

/// The JSON text of a shard object. Thread safe.
[[nodiscard]] std::string encodeShard(ShardContent const&);

/// Parses what encodeShard() returns. Internal for anything else: a shard that cannot be read must not be replaced.
/// Thread safe.
[[nodiscard]] std::optional<ShardContent> decodeShard(std::string_view text, Core::Error&);

/// The JSON text of an answer in an object of its own. Thread safe.
[[nodiscard]] std::string encodeAnswer(RecordedAnswer const&);

/// Parses what encodeAnswer() returns. Internal for anything else. Thread safe.
[[nodiscard]] std::optional<RecordedAnswer> decodeAnswer(std::string_view text, Core::Error&);

}
