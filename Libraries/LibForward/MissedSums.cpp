#include <LibForward/PeerTable.h>

#include <algorithm>

namespace Forward {

using namespace std::chrono_literals;

double missedSums(PeerTable const& table, Core::MonotonicTime now)
{
    // Of the first sums, and of those that two datagrams bring shortly after each other.
    static constexpr Core::Duration minimumInterval = 230ms;
    auto const sums = table.deploymentRows.find(table.aggregator);
    if (sums == table.deploymentRows.end())
        return 0;
    std::chrono::duration<double> const silence = now - sums->second.lastReportAt;
    return silence / std::max(sums->second.meanInterval, minimumInterval);
}

}
