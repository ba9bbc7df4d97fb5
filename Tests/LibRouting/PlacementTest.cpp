#include <LibRouting/Placement.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace std::chrono_literals;

namespace {

constexpr Core::MonotonicTime now { 100s };

Routing::ServerTable table(std::size_t count, std::uint32_t slots = 128)
{
    Routing::ServerTable result;
    for (std::size_t i = 0; i < count; ++i) {
        Routing::ServerRow row;
        row.id = "s" + std::to_string(i);
        row.service = "model";
        row.dataCentre = i % 2 == 0 ? "a" : "b";
        row.slots = slots;
        result.rows.push_back(row);
    }
    return result;
}

std::string place(Routing::ServerTable const& servers, Routing::PlacementRequest const& request)
{
    Core::LastReason reason;
    auto const placement = Routing::placeRequest(servers, request, {}, now, reason);
    return placement ? placement->serverId : "none";
}

}

// Load pattern: requests with long common beginnings, each seen by another node. Without messages, they must meet at few servers.
TEST(PlacementTest, ACommonPrefixMeetsAtFewServersFromAllNodes)
{
    auto servers = table(9);
    std::set<std::string> all;
    for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
        std::set<std::string> homes;
        for (auto const* dataCentre : { "a", "b" })
            homes.insert(place(servers, { .service = "model", .dataCentre = dataCentre, .sharedPrefix = prefix, .sharedTokens = 13300 }));
        EXPECT_LE(homes.size(), 2u);
        all.insert(homes.begin(), homes.end());
    }
    EXPECT_EQ(all.size(), 9u);
}

// A hot prefix leaves its homes once waiting there costs more than reading the prefix again.
TEST(PlacementTest, AHotPrefixSpreadsWhenItsHomesAreLoaded)
{
    auto servers = table(9);
    std::map<std::string, int> counts;
    for (int i = 0; i < 600; ++i) {
        auto const id = place(servers, { .service = "model", .dataCentre = "a", .sharedPrefix = 7, .sharedTokens = 13300 });
        ++Routing::findServer(servers, id)->outstanding;
        ++counts[id];
    }
    EXPECT_EQ(counts.size(), 9u);
}

TEST(PlacementTest, LoadOfOtherNodesCounts)
{
    auto servers = table(2, 6);
    servers.rows[0].peerOutstanding = 4;
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a" }), "s1");
}

// Guards against new work for servers that leave, failed lately, or were tried before.
TEST(PlacementTest, UnusableServersAreLeftOut)
{
    auto servers = table(4);
    servers.rows[0].lifecycle = Routing::Lifecycle::Leaving;
    servers.rows[1].avoidUntil = now + 1s;
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s2" } }), "s3");
    // A server that failed is better than none.
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s2", "s3" } }), "s1");
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s1", "s2", "s3" } }), "none");
    EXPECT_EQ(place(servers, { .service = "other", .dataCentre = "a" }), "none");
}
