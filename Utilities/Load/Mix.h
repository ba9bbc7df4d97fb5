#pragma once

#include <LibCore/ErrorKind.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Load {

/// Numbers from minimum to maximum; drawn so that each factor of two is equally likely (log-uniform).
struct Range {
    std::uint32_t minimum { 0 };
    std::uint32_t maximum { 0 };

    bool operator==(Range const&) const = default;
};

struct Team {
    std::string name;
    /// The bearer key; empty for that of --key.
    std::string key;
    /// The team's share of the requests, relative to the other teams.
    double weight { 1 };

    bool operator==(Team const&) const = default;
};

/// Times of a higher arrival rate, the same for all classes.
struct Bursts {
    /// Mean time between the starts of two bursts; 0 for no bursts.
    double everySeconds { 0 };
    double lengthSeconds { 0 };
    /// The rate during a burst relative to that outside.
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

/// Requests of one kind.
struct RequestClass {
    std::string name;
    ClassKind kind { ClassKind::Chat };
    /// The model, or the non-model service.
    std::string service;
    /// The names of the teams that send these requests; empty for all.
    std::vector<std::string> teams;
    /// The mean arrival rate outside bursts.
    double ratePerSecond { 0 };
    /// The time from the intended arrival in which the response is wanted; 0 for no deadline.
    std::uint32_t deadlineMs { 0 };

    /// The length of the prompt after the shared prefix, and of the response, in tokens.
    Range promptTokens;
    Range answerTokens;
    /// The number of shared prefixes of each team, and their length; 0 for none.
    std::uint32_t prefixGroups { 0 };
    std::uint32_t prefixTokens { 0 };
    ResponseMode responseMode { ResponseMode::Buffered };

    /// For non-model services.
    std::string method { "POST" };
    std::string path;
    Range bodyBytes;
    IdempotencyKeyUse idempotencyKey { IdempotencyKeyUse::None };

    bool operator==(RequestClass const&) const = default;
};

/// The requests of one experiment.
struct Mix {
    std::string name;
    std::vector<Team> teams;
    Bursts bursts;
    std::vector<RequestClass> classes;

    bool operator==(Mix const&) const = default;
};

/// Reads the YAML form that docs/load.md describes. Fails with InvalidConfiguration and a message that names the field. Thread safe.
[[nodiscard]] std::optional<Mix> parseMix(std::string const& yaml, Core::Error&);

/// Reads a mix from a file.
[[nodiscard]] std::optional<Mix> readMixFile(std::string const& path, Core::Error&);

}
