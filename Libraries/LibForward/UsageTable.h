#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Forward {

/// Requests of each team that began to run, by team name.
using TeamCounts = std::map<std::string, std::uint64_t>;

/// Counts by window; a window is numbered by the Unix time of its start, divided by its length.
using CountsByWindow = std::map<std::int64_t, TeamCounts>;

/// What every node counted. A node that restarts counts anew, so its earlier counts are kept apart by its incarnation. Counts
/// only grow, so that reports may be lost or repeated. Not thread safe.
struct UsageTable {
    /// By node id and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, CountsByWindow> nodes;

    bool operator==(UsageTable const&) const = default;
};

/// The window of a moment. Precondition: length > 0.
[[nodiscard]] std::int64_t usageWindow(std::int64_t unixMilliseconds, std::int64_t lengthMilliseconds);

/// Counts one request of this node.
void recordRequestStart(UsageTable&, std::string const& nodeId, std::uint64_t incarnation, std::string const& team, std::int64_t window);

/// Merges the counts that another node reported.
void mergeCounts(UsageTable&, std::string const& nodeId, std::uint64_t incarnation, CountsByWindow const&);

/// The sum over all nodes.
[[nodiscard]] TeamCounts totalCounts(UsageTable const&, std::int64_t window);

/// Drops the windows before the given one.
void dropWindowsBefore(UsageTable&, std::int64_t window);

}
