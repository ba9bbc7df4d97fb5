#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Forward {

/// Number of requests whose execution started, by team name.
using TeamCounts = std::map<std::string, std::uint64_t>;

/// Counts by window. A window's number is the Unix time of its start divided by its length.
using CountsByWindow = std::map<std::int64_t, TeamCounts>;

/// Usage counts of every node. A node that restarts counts from zero, so the counts of each incarnation are kept separately. Counts
/// only grow, so reports may be lost or repeated. Not thread safe.
struct UsageTable {
    /// By node id and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, CountsByWindow> nodes;
    /// The data centre of each node, if it is known.
    std::map<std::string, std::string> dataCentres;
    /// Sums that aggregating nodes reported, by data centre. The key of a sum over all nodes is empty.
    std::map<std::string, CountsByWindow> sums;

    bool operator==(UsageTable const&) const = default;
};

/// Returns the window that contains a time. Precondition: lengthMilliseconds > 0.
[[nodiscard]] std::int64_t usageWindow(std::int64_t unixMilliseconds, std::int64_t lengthMilliseconds);

/// Counts one request that this node forwarded and whose execution started.
void recordRequestStart(UsageTable&, std::string const& nodeId, std::uint64_t incarnation, std::string const& team, std::int64_t window);

/// Merges the counts that another node reported; the larger count wins.
void mergeCounts(UsageTable&, std::string const& nodeId, std::uint64_t incarnation, CountsByWindow const&, std::string const& dataCentre = {});

/// Merges the sum that an aggregating node reported for a data centre, or for all nodes if the name is empty. Every sum is at most the
/// truth, so the larger count wins.
void mergeSums(UsageTable&, std::string const& dataCentre, CountsByWindow const&);

/// Returns the recent windows of a data centre: the larger of what its nodes and its aggregating nodes reported.
[[nodiscard]] CountsByWindow countsOfDataCentre(UsageTable const&, std::string const& dataCentre);

/// Returns the counts of recent windows over all nodes.
[[nodiscard]] CountsByWindow totalCountsByWindow(UsageTable const&);

/// Returns the sum over all nodes and incarnations.
[[nodiscard]] TeamCounts totalCounts(UsageTable const&, std::int64_t window);

/// Drops the windows before the first and after the last one.
void dropWindowsOutside(UsageTable&, std::int64_t first, std::int64_t last);

}
