#include <LibForward/UsageTable.h>

#include <algorithm>

namespace Forward {

std::int64_t usageWindow(std::int64_t unixMilliseconds, std::int64_t lengthMilliseconds)
{
    return unixMilliseconds / lengthMilliseconds;
}

void recordRequestStart(UsageTable& table, std::string const& nodeId, std::uint64_t incarnation, std::string const& team, std::int64_t window)
{
    ++table.nodes[{ nodeId, incarnation }][window][team];
}

void mergeCounts(UsageTable& table, std::string const& nodeId, std::uint64_t incarnation, CountsByWindow const& windows)
{
    auto& nodeWindows = table.nodes[{ nodeId, incarnation }];
    for (auto const& [window, counts] : windows) {
        for (auto const& [team, count] : counts) {
            auto& known = nodeWindows[window][team];
            known = std::max(known, count);
        }
    }
}

TeamCounts totalCounts(UsageTable const& table, std::int64_t window)
{
    TeamCounts total;
    for (auto const& [node, windows] : table.nodes) {
        auto const found = windows.find(window);
        if (found == windows.end())
            continue;
        for (auto const& [team, count] : found->second)
            total[team] += count;
    }
    return total;
}

void dropWindowsBefore(UsageTable& table, std::int64_t window)
{
    for (auto& [node, windows] : table.nodes)
        windows.erase(windows.begin(), windows.lower_bound(window));
    std::erase_if(table.nodes, [](auto const& item) { return item.second.empty(); });
}

}
