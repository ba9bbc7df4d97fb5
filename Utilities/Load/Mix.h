#pragma once

#include <LibCore/ErrorKind.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Load {

/// An inclusive range of numbers, drawn log-uniformly: each factor of two is equally likely.
struct Range {
    std::uint32_t minimum { 0 };
    std::uint32_t maximum { 0 };

    bool operator==(Range const&) const = default;
};

struct Team {
    std::string name;
    /// The bearer key; the value of --key if empty.
    std::string key;
    /// The team's weight in the draw of the team of a request.
    double weight { 1 };

    bool operator==(Team const&) const = default;
};

/// Bursts of arrivals, which affect all classes at the same time.
struct Bursts {
    /// The mean time between the starts of two bursts; 0 for no bursts.
    double everySeconds { 0 };
    double lengthSeconds { 0 };
    /// The ratio of the arrival rates during and outside a burst.
    double factor { 1 };

    bool operator==(Bursts const&) const = default;
};

enum class ClassKind {
    Chat,
    Completion,
    Service,
};

enum class ResponseMode {
    Buffered,
    Streamed,
};

enum class IdempotencyKeyUse {
    None,
    Send,
};

/// A class of similar requests.
struct RequestClass {
    std::string name;
    ClassKind kind { ClassKind::Chat };
    /// The model, or the non-model service.
    std::string service;
    /// The names of the teams that send these requests; empty for all.
    std::vector<std::string> teams;
    /// The mean arrival rate outside bursts, over all teams.
    double ratePerSecond { 0 };
    /// The deadline of a request, counted from its intended arrival; 0 for none.
    std::uint32_t deadlineMs { 0 };

    /// The lengths of the prompt, without its shared prefix, and of the output, in tokens.
    Range promptTokens;
    Range answerTokens;
    /// The number of shared prefixes of each team, and their length in tokens; 0 for none.
    std::uint32_t prefixGroups { 0 };
    std::uint32_t prefixTokens { 0 };
    ResponseMode responseMode { ResponseMode::Buffered };

    /// Only for non-model services.
    std::string method { "POST" };
    std::string path;
    Range bodyBytes;
    IdempotencyKeyUse idempotencyKey { IdempotencyKeyUse::None };

    bool operator==(RequestClass const&) const = default;
};

/// The requests of one run.
struct Mix {
    std::string name;
    std::vector<Team> teams;
    Bursts bursts;
    std::vector<RequestClass> classes;

    bool operator==(Mix const&) const = default;
};

/// Parses the YAML format that docs/load.md describes. Fails with InvalidConfiguration and a message that names the field. Thread safe.
[[nodiscard]] std::optional<Mix> parseMix(std::string const& yaml, Core::Error&);

/// Reads and parses a file; errors are those of parseMix(), also if the file cannot be read.
[[nodiscard]] std::optional<Mix> readMixFile(std::string const& path, Core::Error&);

}
