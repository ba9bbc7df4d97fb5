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

/// The key under which failed requests are counted.
struct Failure {
    /// "answer" for an error response of a node, "transport" for an error that the load tool detected.
    std::string source;
    /// The name of the error kind, or "http_<status>" for a response without problem details.
    std::string kind;
    std::string runState;

    auto operator<=>(Failure const&) const = default;
};

/// The results of one request class. Every intended request is in exactly one of succeeded, failures, and openAtEnd.
/// Latencies are in microseconds and, except betweenTokens, are measured from the intended arrival time.
struct ClassStatistics {
    std::string name;
    std::uint64_t intended { 0 };
    std::uint64_t succeeded { 0 };
    std::uint64_t openAtEnd { 0 };
    std::map<Failure, std::uint64_t> failures;
    /// Requests that succeeded after their deadline.
    std::uint64_t late { 0 };
    /// Refused connections after which the request was sent to the next target.
    std::uint64_t redirected { 0 };
    /// Resumptions of interrupted streamed responses.
    std::uint64_t resumed { 0 };
    /// Events out of sequence.
    std::uint64_t sequenceErrors { 0 };
    std::uint64_t tokens { 0 };
    /// Prompt tokens of the requests that succeeded, and the part of them in shared prefixes.
    std::uint64_t promptTokens { 0 };
    std::uint64_t sharedPrefixTokens { 0 };

    /// Total latency of the requests that succeeded, and of those that failed.
    LatencyHistogram total;
    LatencyHistogram failedTotal;
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    /// The delay between intended arrival and sending; if it is large, the load tool was the bottleneck.
    LatencyHistogram sendDelay;
    /// The age of the requests that were open at the end of the run.
    LatencyHistogram openAge;

    [[nodiscard]] std::uint64_t failed() const;
    void merge(ClassStatistics const&);
};

/// The results of one run.
struct RunStatistics {
    std::string mix;
    std::uint64_t seed { 0 };
    /// The time during which requests arrived.
    double durationSeconds { 0 };
    std::vector<std::string> targets;
    std::vector<ClassStatistics> classes;

    /// Returns the sum over all classes, named "all".
    [[nodiscard]] ClassStatistics total() const;
};

/// Converts the results to JSON; docs/load.md describes the fields.
[[nodiscard]] boost::json::object toJson(RunStatistics const&);

/// Formats the results as a human-readable table; times are in milliseconds.
[[nodiscard]] std::string toTable(RunStatistics const&);

}
