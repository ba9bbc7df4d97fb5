#include <LibForward/RetryShare.h>

#include <algorithm>

namespace Forward {

// The remainder is reserved for nodes whose number this one underestimates, and for calls that servers repeat.
static constexpr double usableFraction = 0.6;

RetryShare retryShare(RetryTolerance const& tolerance, std::size_t nodes)
{
    // Within a window a node spends at most what it has accumulated and what it gets meanwhile.
    double const slack = usableFraction * tolerance.slack / static_cast<double>(nodes) / 2;
    return {
        .perRequest = usableFraction * tolerance.ratio,
        .perSecond = slack / std::chrono::duration<double>(tolerance.window).count(),
        .capacity = std::max(slack, 1.0),
    };
}

Limits::RetryBudget::InitialLevel initialRetryLevel(RetryTolerance const& tolerance, bool isFirstStart, Core::Duration sinceStart)
{
    bool const hasNoPredecessor = isFirstStart || sinceStart >= tolerance.window;
    return hasNoPredecessor ? Limits::RetryBudget::InitialLevel::Full : Limits::RetryBudget::InitialLevel::Empty;
}

std::size_t assumedNodes(PeerTable const& peers, std::string const& ownDataCentre, std::size_t dataCentres)
{
    auto const inOwnDataCentre = 1 + std::count_if(peers.rows.begin(), peers.rows.end(), [&](auto const& entry) { return entry.second.report.dataCentre == ownDataCentre; });
    auto const bySeeds = peers.isAggregated ? 0 : peers.candidates.size();
    return std::max({ peers.knownNodes, bySeeds, static_cast<std::size_t>(inOwnDataCentre) * dataCentres });
}

}
