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

// Windows that the holder of the duties may not have reported yet.
static constexpr std::size_t reportedWindows = 3;

static void keepLarger(TeamCounts& known, TeamCounts const& counts)
{
    for (auto const& [team, count] : counts) {
        auto& largest = known[team];
        largest = std::max(largest, count);
    }
}

void mergeCounts(UsageTable& table, std::string const& nodeId, std::uint64_t incarnation, CountsByWindow const& windows, std::string const& dataCentre)
{
    if (!dataCentre.empty())
        table.dataCentres[nodeId] = dataCentre;
    auto& nodeWindows = table.nodes[{ nodeId, incarnation }];
    for (auto const& [window, counts] : windows)
        keepLarger(nodeWindows[window], counts);
}

void mergeSums(UsageTable& table, std::string const& dataCentre, CountsByWindow const& windows)
{
    for (auto const& [window, counts] : windows)
        keepLarger(table.sums[dataCentre][window], counts);
}

static std::string dataCentreOf(UsageTable const& table, std::string const& node)
{
    auto const found = table.dataCentres.find(node);
    return found == table.dataCentres.end() ? std::string() : found->second;
}

// Adds up the nodes' counts by data centre and replaces those that an aggregating node has more of.
static std::map<std::string, CountsByWindow> countsByDataCentre(UsageTable const& table)
{
    std::map<std::string, CountsByWindow> byDataCentre;
    for (auto const& [node, windows] : table.nodes) {
        auto& sums = byDataCentre[dataCentreOf(table, node.first)];
        for (auto const& [window, counts] : windows) {
            for (auto const& [team, count] : counts)
                sums[window][team] += count;
        }
    }
    for (auto const& [dataCentre, windows] : table.sums) {
        if (dataCentre.empty())
            continue;
        for (auto const& [window, counts] : windows)
            keepLarger(byDataCentre[dataCentre][window], counts);
    }
    return byDataCentre;
}

static CountsByWindow newest(CountsByWindow windows)
{
    while (windows.size() > reportedWindows)
        windows.erase(windows.begin());
    return windows;
}

CountsByWindow countsOfDataCentre(UsageTable const& table, std::string const& dataCentre)
{
    return newest(countsByDataCentre(table)[dataCentre]);
}

static CountsByWindow allCounts(UsageTable const& table)
{
    CountsByWindow total;
    for (auto const& [dataCentre, windows] : countsByDataCentre(table)) {
        for (auto const& [window, counts] : windows) {
            for (auto const& [team, count] : counts)
                total[window][team] += count;
        }
    }
    auto const sums = table.sums.find({});
    if (sums != table.sums.end()) {
        for (auto const& [window, counts] : sums->second)
            keepLarger(total[window], counts);
    }
    return total;
}

CountsByWindow totalCountsByWindow(UsageTable const& table)
{
    return newest(allCounts(table));
}

TeamCounts totalCounts(UsageTable const& table, std::int64_t window)
{
    return allCounts(table)[window];
}

void dropWindowsOutside(UsageTable& table, std::int64_t first, std::int64_t last)
{
    auto const drop = [&](CountsByWindow& windows) {
        windows.erase(windows.begin(), windows.lower_bound(first));
        windows.erase(windows.upper_bound(last), windows.end());
    };
    for (auto& [node, windows] : table.nodes)
        drop(windows);
    for (auto& [dataCentre, windows] : table.sums)
        drop(windows);
    std::erase_if(table.nodes, [](auto const& item) { return item.second.empty(); });
    std::erase_if(table.sums, [](auto const& item) { return item.second.empty(); });
    std::erase_if(table.dataCentres, [&](auto const& item) {
        auto const found = table.nodes.lower_bound({ item.first, 0 });
        return found == table.nodes.end() || found->first.first != item.first;
    });
}

}
