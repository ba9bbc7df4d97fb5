#pragma once

#include <LibForward/PeerTable.h>
#include <LibLimits/RetryBudget.h>
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

/// Returns the share of one of so many nodes, which spend less than the tolerance together while the slack is larger than their number: each
/// node can accumulate one retry, since it could never make any otherwise. Precondition: nodes and the window are not zero. Thread safe.
[[nodiscard]] RetryShare retryShare(RetryTolerance const&, std::size_t nodes);

/// Returns the level at which the budget of a service begins when it is first requested. An earlier process of the node may have spent its
/// share in the same window, unless this one is the first of the system or has run for a window itself. Thread safe.
[[nodiscard]] Limits::RetryBudget::InitialLevel initialRetryLevel(RetryTolerance const&, bool isFirstStart, Core::Duration sinceStart);

/// Returns the number of nodes by which this node divides what all may spend together. A node that started behind a partition knows only
/// those on its side; it assumes as many in each data centre as it knows in its own. dataCentres is the number of those that have
/// backend servers, or 0 if it is not known. Thread safe.
[[nodiscard]] std::size_t assumedNodes(PeerTable const&, std::string const& ownDataCentre, std::size_t dataCentres);

}
