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
    Core::Error error;
    Core::Random random(1);
    auto const placement = Routing::placeRequest(servers, request, {}, random, now, error);
    return placement ? placement->serverId : "none";
}

// Simulates nodes that place requests by each other's load reports, sent four times a second. Each request occupies an engine slot,
// longer if its shared prefix is not cached there, and waits while no slot is free.
class PlacementSimulation {
public:
    PlacementSimulation(std::uint64_t seed, Routing::PlacementCosts costs)
        : m_random(seed)
        , m_costs(costs)
        , m_nodeTables(nodeCount)
        , m_engines(serverCount)
    {
        Routing::ServerTable servers;
        for (std::size_t i = 0; i < serverCount; ++i) {
            Routing::ServerRow row;
            row.id = "s" + std::to_string(i);
            row.service = "model";
            row.dataCentre = dataCentreOf(i);
            row.slots = slots;
            servers.rows.push_back(row);
        }
        for (auto& nodeTable : m_nodeTables)
            nodeTable = servers;
    }

    /// Returns the mean wait for a slot in seconds, measured after the caches have warmed up.
    double meanWait()
    {
        static constexpr double arrivalsPerSecond = 720;
        static constexpr double warmUpSeconds = 8;
        static constexpr double endSeconds = 16;
        double time = 0;
        double nextReport = 0;
        double totalWait = 0;
        std::size_t measured = 0;
        while (time < endSeconds) {
            time += 2 * m_random.unit() / arrivalsPerSecond;
            finishUntil(time);
            if (time >= nextReport) {
                report();
                nextReport = time + 0.25;
            }
            auto const wait = arrive(time);
            if (time >= warmUpSeconds) {
                totalWait += wait;
                ++measured;
            }
        }
        return totalWait / static_cast<double>(measured);
    }

private:
    static constexpr std::size_t nodeCount = 60;
    static constexpr std::size_t serverCount = 64;
    static constexpr std::uint32_t slots = 24;

    struct Engine {
        /// The end times of the requests in progress.
        std::multiset<double> ends;
        std::set<std::uint64_t> cached;
    };

    struct RunningRequest {
        std::size_t node;
        std::size_t server;
    };

    static std::string dataCentreOf(std::size_t index) { return std::string(1, static_cast<char>('a' + index % 4)); }

    void finishUntil(double time)
    {
        while (!m_runningRequests.empty() && m_runningRequests.begin()->first <= time) {
            auto const& request = m_runningRequests.begin()->second;
            --m_nodeTables[request.node].rows[request.server].outstanding;
            m_engines[request.server].ends.erase(m_engines[request.server].ends.begin());
            m_runningRequests.erase(m_runningRequests.begin());
        }
    }

    void report()
    {
        for (std::size_t server = 0; server < serverCount; ++server) {
            std::uint32_t all = 0;
            for (auto const& nodeTable : m_nodeTables)
                all += nodeTable.rows[server].outstanding;
            for (auto& nodeTable : m_nodeTables)
                nodeTable.rows[server].peerOutstanding = all - nodeTable.rows[server].outstanding;
        }
    }

    double arrive(double time)
    {
        static constexpr double prefillSecondsPerToken = 1.0 / 157'000;
        auto const node = m_random.below(nodeCount);
        bool const isLong = m_random.unit() < 0.6;
        auto const prefix = isLong ? 1 + m_random.below(1400) : 10'000 + m_random.below(1700);
        std::uint32_t const sharedTokens = isLong ? 13'300 : 350;
        Routing::PlacementRequest const request { .service = "model", .dataCentre = dataCentreOf(node), .sharedPrefixHash = prefix, .sharedTokens = sharedTokens };
        Core::Error error;
        auto const placement = Routing::placeRequest(m_nodeTables[node], request, m_costs, m_random, now, error);
        auto const server = static_cast<std::size_t>(std::stoul(placement->serverId.substr(1)));
        auto& engine = m_engines[server];
        double start = time;
        if (engine.ends.size() >= slots)
            start = *std::next(engine.ends.begin(), static_cast<std::ptrdiff_t>(engine.ends.size() - slots));
        double seconds = 0.5 + 1.4 * m_random.unit();
        if (engine.cached.insert(prefix).second)
            seconds += sharedTokens * prefillSecondsPerToken;
        engine.ends.insert(start + seconds);
        ++m_nodeTables[node].rows[server].outstanding;
        m_runningRequests.emplace(start + seconds, RunningRequest { node, server });
        return start - time;
    }

    Core::Random m_random;
    Routing::PlacementCosts m_costs;
    std::vector<Routing::ServerTable> m_nodeTables;
    std::vector<Engine> m_engines;
    std::multimap<double, RunningRequest> m_runningRequests;
};

}

// Guards against late first tokens when most slots are taken and many nodes place requests by the same reports (seen on
// cypress-grow-grown).
TEST(PlacementTest, NodesWithTheSameReportsDoNotChooseTheSameServer)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Routing::PlacementCosts costs;
        auto const withoutSpreading = PlacementSimulation(seed, costs).meanWait();
        costs.unreportedRequests = 15;
        auto const withSpreading = PlacementSimulation(seed, costs).meanWait();
        EXPECT_LT(withSpreading, withoutSpreading / 2) << "seed " << seed;
        EXPECT_LT(withSpreading, 0.015) << "seed " << seed;
    }
}

// Requests with a long common prefix arrive at different nodes, which must choose the same few servers without coordination.
TEST(PlacementTest, RequestsWithACommonPrefixUseFewServersFromAllNodes)
{
    auto servers = table(9);
    std::set<std::string> all;
    for (std::uint64_t prefix = 1; prefix <= 100; ++prefix) {
        std::set<std::string> homes;
        for (auto const* dataCentre : { "a", "b" })
            homes.insert(place(servers, { .service = "model", .dataCentre = dataCentre, .sharedPrefixHash = prefix, .sharedTokens = 13300 }));
        EXPECT_LE(homes.size(), 2u);
        all.insert(homes.begin(), homes.end());
    }
    EXPECT_EQ(all.size(), 9u);
}

// Requests with a hot prefix go to other servers once waiting at its homes costs more than prefilling the prefix again.
TEST(PlacementTest, HotPrefixSpreadsWhenItsHomesAreLoaded)
{
    auto servers = table(9);
    std::map<std::string, int> counts;
    for (int i = 0; i < 600; ++i) {
        auto const id = place(servers, { .service = "model", .dataCentre = "a", .sharedPrefixHash = 7, .sharedTokens = 13300 });
        ++Routing::findServer(servers, id)->outstanding;
        ++counts[id];
    }
    EXPECT_EQ(counts.size(), 9u);
}

// Load pattern: engines with 12 or 16 slots, whose homes of hot prefixes fill up (tcdrb-hyssop-grown and cypress-grow-large). A request
// that would wait for a slot is placed at another server, as with engines of many slots.
TEST(PlacementTest, RequestsDoNotWaitAtAFullEngineWithFewSlots)
{
    for (std::uint32_t const slots : { 12U, 16U, 24U }) {
        auto servers = table(9, slots);
        Routing::PlacementRequest const request { .service = "model", .dataCentre = "a", .sharedPrefixHash = 7, .sharedTokens = 13300 };
        auto const home = place(servers, request);
        Routing::findServer(servers, home)->outstanding = slots / 2;
        EXPECT_EQ(place(servers, request), home) << slots;
        Routing::findServer(servers, home)->outstanding = slots + 4;
        EXPECT_NE(place(servers, request), home) << slots;
    }
}

// Servers without the prefix are chosen when the home of a prefix moves to a server that joined, or when the home is overloaded.
TEST(PlacementTest, ServerWithoutThePrefixGetsACacheSource)
{
    auto servers = table(6);
    std::uint16_t port = 1;
    for (auto& row : servers.rows)
        row.endpoint = { "10.0.0.1", port++ };
    Routing::PlacementRequest const request { .service = "model", .dataCentre = "a", .sharedPrefixHash = 7, .sharedTokens = 13300 };
    Core::Error error;
    Core::Random random(1);
    auto const home = *Routing::placeRequest(servers, request, {}, random, now, error);
    EXPECT_EQ(home.homeRank, 0u);
    EXPECT_FALSE(home.cacheSource);
    // The home was first listed a second ago: the server ranked second was the home before.
    auto* row = Routing::findServer(servers, home.serverId);
    row->firstListedAt = now - 1s;
    auto const source = Routing::placeRequest(servers, request, {}, random, now, error)->cacheSource;
    ASSERT_TRUE(source);
    EXPECT_NE(*source, home.endpoint);
    // The home is loaded, so another server is chosen.
    row->firstListedAt = {};
    row->outstanding = 100;
    auto const other = *Routing::placeRequest(servers, request, {}, random, now, error);
    EXPECT_NE(other.serverId, home.serverId);
    EXPECT_EQ(other.cacheSource, home.endpoint);
    // A short prefix is prefilled as fast as it is copied.
    auto const shortRequest = Routing::PlacementRequest { .service = "model", .dataCentre = "a", .sharedPrefixHash = 7, .sharedTokens = 350 };
    EXPECT_FALSE(Routing::placeRequest(servers, shortRequest, {}, random, now, error)->cacheSource);
}

TEST(PlacementTest, LoadOfOtherNodesIsIncluded)
{
    auto servers = table(2, 6);
    servers.rows[0].peerOutstanding = 4;
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .work = Routing::WorkKind::Call }), "s1");
}

// Load pattern: all slots of a plain service are taken. A refused client is told when a place is expected, not a constant.
TEST(PlacementTest, PredictedWaitFollowsTheShortestQueue)
{
    auto servers = table(2, 6);
    EXPECT_FALSE(Routing::predictedWait(servers, "model", now));
    for (auto& row : servers.rows)
        Routing::recordServiceTime(row, 0.06, now);
    EXPECT_EQ(Routing::predictedWait(servers, "model", now), Core::Duration::zero());
    servers.rows[0].outstanding = 29;
    servers.rows[1].peerOutstanding = 17;
    EXPECT_NEAR(std::chrono::duration<double>(*Routing::predictedWait(servers, "model", now)).count(), 12 * 0.06 / 6, 1e-6);
    EXPECT_FALSE(Routing::predictedWait(servers, "other", now));
}

// Guards against requests for a server in a pause that it asked for, and against a wait that ends before the pause (BUDGET).
TEST(PlacementTest, PausedServerGetsNoRequestUntilItsPauseEndsOrItStartsAgain)
{
    Routing::ListedServer entry { .id = "s0", .service = "model", .incarnation = 1 };
    Routing::ServerTable servers;
    Routing::mergeHostList(servers, { entry }, now);
    EXPECT_FALSE(Routing::firstEndOfPause(servers, "model", now));
    EXPECT_TRUE(Routing::recordPause(servers, "s0", 1, now + 3s, now));
    // The latest end counts, whichever response is read last.
    EXPECT_FALSE(Routing::recordPause(servers, "s0", 1, now + 2s, now));
    EXPECT_EQ(place(servers, { .service = "model" }), "none");
    EXPECT_EQ(Routing::predictedWait(servers, "model", now), 3s);
    EXPECT_FALSE(Routing::isPaused(servers, servers.rows[0], now + 3s));
    // A late response of an earlier process, and another server that could be asked.
    EXPECT_FALSE(Routing::recordPause(servers, "s0", 0, now + 9s, now));
    EXPECT_EQ(Routing::firstEndOfPause(servers, "model", now), now + 3s);
    servers.rows.push_back({ .id = "s1", .service = "model" });
    EXPECT_FALSE(Routing::predictedWait(servers, "model", now));
    servers.rows.pop_back();
    // The entry is missing for a moment.
    Routing::mergeHostList(servers, {}, now);
    Routing::mergeHostList(servers, { entry }, now);
    EXPECT_EQ(place(servers, { .service = "model" }), "none");
    entry.incarnation = 2;
    Routing::mergeHostList(servers, { entry }, now);
    EXPECT_EQ(place(servers, { .service = "model" }), "s0");
    EXPECT_TRUE(Routing::recordPause(servers, "s0", 2, now + 1s, now));
    // Pauses that have ended are dropped.
    EXPECT_TRUE(Routing::recordPause(servers, "s1", 1, now + 9s, now + 1s));
    EXPECT_EQ(servers.pauses.size(), 1u);
}

// Guards against requests for an address that belongs to another process, and against a server that stays unused when it is there again.
TEST(PlacementTest, AbsentServerGetsOneProbeAtATimeUntilItsEntryChanges)
{
    Routing::ListedServer entry { .id = "s0", .service = "model", .revision = { 1, 10 } };
    Routing::ServerTable servers;
    Routing::mergeHostList(servers, { entry }, now);
    auto& row = servers.rows.at(0);
    EXPECT_TRUE(Routing::recordAbsence(row, { 1, 10 }, now - 1s));
    EXPECT_EQ(place(servers, { .service = "model" }), "s0");
    row.outstanding = 1;
    EXPECT_EQ(place(servers, { .service = "model" }), "none");
    row.outstanding = 0;
    // Refusals of requests that were sent together count once, and a probe that fails delays the next one.
    for (int i = 0; i < 2; ++i)
        EXPECT_FALSE(Routing::recordAbsence(row, { 1, 10 }, now));
    EXPECT_TRUE(Routing::isAbsent(row, now + 1999ms));
    EXPECT_FALSE(Routing::isAbsent(row, now + 2s));
    Routing::recordFailure(row, now + 2s);
    EXPECT_TRUE(Routing::isAbsent(row, now + 3999ms));
    Routing::mergeHostList(servers, { entry }, now);
    EXPECT_TRUE(row.absence);
    entry.revision = { 1, 11 };
    Routing::mergeHostList(servers, { entry }, now);
    // A refusal by the entry before comes late.
    EXPECT_FALSE(Routing::recordAbsence(row, { 1, 10 }, now));
    EXPECT_FALSE(row.absence);
}

// Guards against new requests for servers that are leaving, failed recently, or were tried before.
TEST(PlacementTest, UnusableServersAreExcluded)
{
    auto servers = table(4);
    servers.rows[0].lifecycle = Routing::Lifecycle::Leaving;
    servers.rows[1].backoffUntil = now + 1s;
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s2" } }), "s3");
    // A server that failed recently is chosen if there is no other.
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s2", "s3" } }), "s1");
    EXPECT_EQ(place(servers, { .service = "model", .dataCentre = "a", .excludedServers = { "s1", "s2", "s3" } }), "none");
    EXPECT_EQ(place(servers, { .service = "other", .dataCentre = "a" }), "none");
}
