#pragma once

#include <LibCore/ErrorKind.h>
#include <Load/LatencyHistogram.h>
#include <boost/json/object.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

/// What one failed request is counted under.
struct Failure {
    /// "answer" for an error response of a node, "transport" for one that the load tool observed.
    std::string source;
    /// The name of the error kind, or "http_<status>" for a response without problem details.
    std::string kind;
    std::string runState;

    auto operator<=>(Failure const&) const = default;
};

/// The results of one request class. Every intended request is in exactly one of succeeded, failures, and openAtEnd.
/// Latencies are in microseconds and count from the intended arrival time, except betweenTokens.
struct ClassStatistics {
    std::string name;
    std::uint64_t intended { 0 };
    std::uint64_t succeeded { 0 };
    std::uint64_t openAtEnd { 0 };
    std::map<Failure, std::uint64_t> failures;
    /// Requests that succeeded after their deadline.
    std::uint64_t late { 0 };
    /// Connections that a node refused, after which the request went to the next target.
    std::uint64_t redirected { 0 };
    /// Streamed answers that were continued at another target, and events out of sequence.
    std::uint64_t resumed { 0 };
    std::uint64_t sequenceErrors { 0 };
    std::uint64_t tokens { 0 };
    /// Of the requests that succeeded.
    std::uint64_t promptTokens { 0 };
    std::uint64_t sharedPrefixTokens { 0 };

    /// Total time of the requests that succeeded, and of those that failed.
    LatencyHistogram total;
    LatencyHistogram failedTotal;
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    /// How late the load tool itself sent the requests; if this is large, the tool was the bottleneck.
    LatencyHistogram sendDelay;
    /// The age of the requests that were open at the end.
    LatencyHistogram openAge;

    [[nodiscard]] std::uint64_t failed() const;
    void merge(ClassStatistics const&);
};

/// The results of one run.
struct RunStatistics {
    std::string mix;
    std::uint64_t seed { 0 };
    /// The time in which requests arrived.
    double durationSeconds { 0 };
    std::vector<std::string> targets;
    std::vector<ClassStatistics> classes;

    /// The sum over all classes, named "all".
    [[nodiscard]] ClassStatistics total() const;
};

/// The whole results as JSON; docs/load.md describes the fields.
[[nodiscard]] boost::json::object toJson(RunStatistics const&);

/// The results as a table for people; times in milliseconds.
[[nodiscard]] std::string toTable(RunStatistics const&);

}
