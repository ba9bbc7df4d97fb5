#pragma once

#include <LibForward/PeerTable.h>
#include <chrono>
#include <cstddef>
#include <string>

namespace Forward {

/// How many arrivals beyond the first of each request a service may get in a window, over all nodes.
struct RetryTolerance {
    /// Part of the requests for the service.
    double ratio { 0 };
    /// Number of arrivals in addition.
    double slack { 0 };
    std::chrono::milliseconds window { 0 };

    bool operator==(RetryTolerance const&) const = default;
};

/// What one node may spend of it; see Limits::RetryBudget.
struct RetryShare {
    double perRequest { 0 };
    double perSecond { 0 };
    double capacity { 0 };

    bool operator==(RetryShare const&) const = default;
};

/// Returns the share of one of so many nodes, which spend less than the tolerance together. Precondition: nodes and the window are not zero.
/// Thread safe.
[[nodiscard]] RetryShare retryShare(RetryTolerance const&, std::size_t nodes);

/// Returns the number of nodes by which this node divides what all may spend together. A node that started behind a partition knows only
/// those on its side; it assumes as many in each data centre as it knows in its own. Precondition: dataCentres is the number of those that have
/// backend servers. Thread safe.
[[nodiscard]] std::size_t assumedNodes(PeerTable const&, std::string const& ownDataCentre, std::size_t dataCentres);

}
