#include <LibRollout/RolloutFixture.h>
#include <algorithm>
#include <set>

using namespace RolloutTests;

static constexpr Core::MonotonicTime now {};
static constexpr double toCandidate = 0;
static constexpr double toIncumbent = 0.9;

static RolloutTable tableWith(std::optional<Order> const& known, Routing::ServerTable const& servers, Core::StoreRevision ordersRevision = { 1, 11 })
{
    RolloutTable table;
    table.ordersRevision = ordersRevision;
    observeVersions(table, servers);
    if (known)
        mergeState(table, *known);
    return table;
}

static std::set<std::string> permittedVersions(RolloutTable const& table, Routing::ServerTable const& servers, double random)
{
    std::set<std::string> versions;
    auto const choice = chooseVersionGroup(table, servers, "app", 0.1, random, now);
    for (auto const& row : servers.rows) {
        if (Routing::isPermitted(choice.filter, row))
            versions.insert(row.version);
    }
    return versions;
}

using Versions = std::set<std::string>;

TEST(VersionGroupTest, CandidateGetsLessThanTheShareOnAsManyServersAsItsLoadNeeds)
{
    auto const servers = twoVersions();
    auto const table = tableWith(order(), servers);
    Core::Random random(3);
    int candidates = 0;
    for (int i = 0; i < 10000; ++i)
        candidates += chooseVersionGroup(table, servers, "app", 0.1, random.unit(), now).group == Group::Candidate ? 1 : 0;
    EXPECT_NEAR(candidates, 800, 120);
    auto const choice = chooseVersionGroup(table, servers, "app", 0.1, toCandidate, now);
    EXPECT_EQ(choice.filter.servers.size(), 1U);
    EXPECT_EQ(permittedVersions(table, servers, toIncumbent), Versions { "v1" });
}

TEST(VersionGroupTest, RejectedVersionNeverServesEvenIfNoOtherIsLeft)
{
    auto servers = twoVersions();
    auto bad = order();
    bad.isFoundBad = true;
    for (auto const& known : { bad, order(State::RolledBack) })
        EXPECT_EQ(permittedVersions(tableWith(known, servers), servers, toCandidate), Versions { "v1" });
    std::erase_if(servers.rows, [](auto const& row) { return row.version == "v1"; });
    EXPECT_EQ(permittedVersions(tableWith(order(State::RolledBack), servers), servers, toCandidate), Versions {});
}

TEST(VersionGroupTest, CandidateServesIfNoIncumbentIsLeft)
{
    auto servers = twoVersions();
    auto const table = tableWith(order(), servers);
    for (auto& row : servers.rows) {
        if (row.version == "v1")
            row.lifecycle = Routing::Lifecycle::Leaving;
    }
    EXPECT_TRUE(permittedVersions(table, servers, toIncumbent).contains("v2"));
}

TEST(VersionGroupTest, CandidateGetsAllRequestsFromTheGoodVerdictOn)
{
    auto const servers = twoVersions();
    for (auto state : { State::Completing, State::Completed })
        EXPECT_EQ(permittedVersions(tableWith(order(state), servers), servers, toIncumbent), Versions { "v2" });
}

// Guards against full traffic for a version whose order has not arrived, and against any for one after a restart.
TEST(VersionGroupTest, VersionThatAnUnreadOrderMayNameGetsTheShareOrNothing)
{
    auto const servers = twoVersions();
    auto const unread = tableWith(std::nullopt, servers);
    EXPECT_EQ(permittedVersions(unread, servers, toIncumbent), Versions { "v1" });
    EXPECT_EQ(permittedVersions(unread, servers, toCandidate), Versions { "v2" });
    auto const read = tableWith(std::nullopt, servers, { 1, 12 });
    EXPECT_EQ(permittedVersions(read, servers, toIncumbent), (Versions { "v1", "v2" }));
    auto restartedServers = servers;
    for (auto& row : restartedServers.rows)
        row.incarnation = row.version == "v1" ? 100 : 200;
    // More of the new servers are left than of the old ones.
    restartedServers.rows.erase(restartedServers.rows.begin());
    auto const restarted = tableWith(std::nullopt, restartedServers, {});
    EXPECT_EQ(permittedVersions(restarted, restartedServers, toCandidate), Versions { "v1" });
}

TEST(VersionGroupTest, WithoutAShareAllVersionsServe)
{
    auto const servers = twoVersions();
    EXPECT_EQ(chooseVersionGroup(tableWith(order(State::RolledBack), servers), servers, "app", 0, toCandidate, now), GroupChoice {});
}

TEST(RolloutTableTest, LaterRevisionWinsAndABadFindingStays)
{
    RolloutTable table;
    EXPECT_TRUE(mergeState(table, order()));
    EXPECT_FALSE(mergeState(table, order()));
    auto bad = order();
    bad.isFoundBad = true;
    EXPECT_TRUE(mergeState(table, bad));
    EXPECT_FALSE(mergeState(table, order()));
    EXPECT_TRUE(isRejected(table.rows.at("app").order));
    // The store was restored from a copy without the verdict.
    EXPECT_TRUE(mergeState(table, order(State::RolledBack, { 1, 20 })));
    mergeState(table, order(State::Running, { 2, 12 }));
    EXPECT_EQ(table.rows.at("app").order.state, State::RolledBack);
    EXPECT_EQ(table.rows.at("app").order.revision, (Core::StoreRevision { 2, 12 }));
}

TEST(RolloutTableTest, SecondOrderReplacesTheFirstWhoseVersionIsRejected)
{
    RolloutTable table;
    mergeState(table, order());
    mergeState(table, order(State::Running, { 1, 15 }, "v3"));
    EXPECT_EQ(table.rows.at("app").order.id.to, "v3");
    EXPECT_EQ(table.rows.at("app").order.rejectedVersions, std::vector<std::string> { "v2" });
    EXPECT_FALSE(mergeState(table, order(State::Running, { 1, 11 })));
    mergeState(table, order(State::Running, { 1, 18 }));
    EXPECT_EQ(table.rows.at("app").order.rejectedVersions, std::vector<std::string> { "v3" });
}

TEST(RolloutTableTest, EvidenceOfNodesIsAdded)
{
    RolloutTable table;
    mergeState(table, order());
    recordResponse(table, "app", "v2", "call", ResponseKind::Failure, 20ms);
    recordResponse(table, "app", "v1", "call", ResponseKind::Sound, 20ms);
    recordResponse(table, "other", "v1", "call", ResponseKind::Sound, 20ms);
    auto const& own = table.rows.at("app").own;
    auto sum = own;
    mergeEvidence(sum, own);
    EXPECT_EQ((sum.at({ Group::Candidate, "call" }).failures), 2U);
    EXPECT_EQ(countResponses(sum, Group::Incumbent), 2U);
    EXPECT_EQ(evidenceSince(sum, own), own);
}

TEST(StoredOrderTest, StatusOfAnotherOrderMeansANewOne)
{
    RolloutTable table;
    StoredOrder stored { .id = orderId("v3"), .revision = { 1, 30 }, .status = StoredStatus { .id = orderId("v2"), .state = State::RolledBack, .startedAt = 5, .reason = {}, .rejectedVersions = {} }, .fault = {} };
    auto const adopted = adoptOrder(table, stored, {}, 1000);
    EXPECT_EQ(adopted.state, State::Running);
    EXPECT_EQ(adopted.startedAt, 1000);
    EXPECT_EQ(adopted.rejectedVersions, std::vector<std::string> { "v2" });
    EXPECT_TRUE(needsStatusWrite(adopted, stored));
}

// Guards against a second evaluation of a bad version after the store lost its status.
TEST(StoredOrderTest, RestoredOrderKeepsTheKnownVerdict)
{
    RolloutTable table;
    mergeState(table, order(State::RolledBack, { 1, 20 }));
    StoredOrder const stored { .id = orderId(), .revision = { 2, 10 }, .status = std::nullopt, .fault = {} };
    auto const adopted = adoptOrder(table, stored, {}, 0);
    EXPECT_EQ(adopted.state, State::RolledBack);
    EXPECT_TRUE(needsStatusWrite(adopted, stored));
    mergeState(table, order(State::Running, { 2, 15 }, "v3"));
    EXPECT_TRUE(isRejected(adoptOrder(table, { .id = orderId(), .revision = { 3, 10 }, .status = std::nullopt, .fault = {} }, {}, 0)));
}

// Guards against an outage by an order with a mistake that names the version which serves.
TEST(StoredOrderTest, OrderWithAFaultStopsOnlyAVersionThatIsNew)
{
    RolloutTable table;
    observeVersions(table, twoVersions());
    StoredOrder stored { .id = orderId("v2"), .revision = { 1, 10 }, .status = std::nullopt, .fault = "no period" };
    EXPECT_TRUE(mayTakeEffect(table, stored, "app"));
    EXPECT_FALSE(mayTakeEffect(table, stored, "other"));
    EXPECT_TRUE(isRejected(adoptOrder(table, stored, twoVersions(), 0)));
    stored.id.to = "v1";
    EXPECT_FALSE(mayTakeEffect(table, stored, "app"));
}

TEST(StoredOrderTest, OrderForWhatAllServersRunIsCompletedAtOnce)
{
    StoredOrder const stored { .id = orderId(), .revision = { 1, 10 }, .status = std::nullopt, .fault = {} };
    Routing::ServerTable servers;
    servers.rows.push_back(server("s1", "v2", 5));
    EXPECT_EQ(adoptOrder({}, stored, servers, 1).state, State::Completing);
    servers.rows.push_back(server("s2", "v1", 5));
    EXPECT_EQ(adoptOrder({}, stored, servers, 1).state, State::Running);
    // An order back to the version before, while the other one is under evaluation.
    RolloutTable table;
    mergeState(table, order(State::Running, { 1, 9 }));
    StoredOrder const back { .id = orderId("v1"), .revision = { 1, 10 }, .status = std::nullopt, .fault = {} };
    EXPECT_EQ(adoptOrder(table, back, servers, 1).state, State::Completing);
}
