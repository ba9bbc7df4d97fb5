#include <LibForward/RouteTable.h>
#include <gtest/gtest.h>

namespace {

Forward::Route route(std::string name, std::string host, std::string prefix)
{
    Forward::Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    return result;
}

Forward::RouteTable table()
{
    Forward::RouteTable result;
    result.routes = { route("root", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("middle", "a.example", "/x/"), route("other", "b.example", "/x/y/z/") };
    return result;
}

std::string nameOf(Forward::Route const* found)
{
    return found ? found->name : "none";
}

}

// Guards against routing by a shorter prefix or by another host's route.
TEST(RouteTableTest, LongestPrefixOfTheHostWins)
{
    auto const routes = table();
    EXPECT_EQ(nameOf(Forward::findRoute(routes, "a.example", "/x/y/z/1")), "deep");
    EXPECT_EQ(nameOf(Forward::findRoute(routes, "A.Example:8080", "/x/1?p=/x/y/")), "middle");
    EXPECT_EQ(nameOf(Forward::findRoute(routes, "a.example", "/xy")), "root");
    EXPECT_EQ(nameOf(Forward::findRoute(routes, "b.example", "/x/y/")), "none");
    EXPECT_EQ(nameOf(Forward::findRoute(routes, "", "/x/")), "none");
}

TEST(RouteTableTest, ServicesAreChosenByWeight)
{
    Forward::Route split;
    split.services = { { "a", 90 }, { "b", 0 }, { "c", 10 } };
    EXPECT_EQ(Forward::chooseService(split, 0.0), "a");
    EXPECT_EQ(Forward::chooseService(split, 0.89), "a");
    EXPECT_EQ(Forward::chooseService(split, 0.91), "c");
    EXPECT_EQ(Forward::chooseService({}, 0.5), "");
}

TEST(RouteTableTest, KeysNameTheirTeam)
{
    Forward::RouteTable routes;
    routes.teams = { { .name = "one", .keys = { "k1", "k2" } }, { .name = "two", .keys = {} } };
    ASSERT_NE(Forward::findTeamByKey(routes, "k2"), nullptr);
    EXPECT_EQ(Forward::findTeamByKey(routes, "k2")->name, "one");
    // A request without a key must not match a team without keys.
    EXPECT_EQ(Forward::findTeamByKey(routes, ""), nullptr);
}

// Guards against waiting in deployments whose short objectives or timeouts leave no time for it.
TEST(RouteTableTest, QueueingIsToleratedOnlyWhereAllStreamsHaveTimeToWait)
{
    using namespace std::chrono_literals;
    Forward::Route const patient { .kind = Forward::RequestKind::Stream, .timeout = 6000ms, .targetLatency = 800ms, .services = { { "model", 1 } } };
    Forward::Route const plain { .kind = Forward::RequestKind::Idempotent, .timeout = 800ms, .targetLatency = 300ms, .services = { { "plain", 1 }, { "model", 1 } } };
    Forward::RouteTable routes { .routes = { patient, plain } };
    EXPECT_TRUE(Forward::toleratesQueueing(routes, "model"));
    EXPECT_FALSE(Forward::toleratesQueueing(routes, "plain"));
    EXPECT_FALSE(Forward::toleratesQueueing(routes, "unknown"));
    auto shortTimeout = patient;
    shortTimeout.timeout = 5000ms;
    routes.routes.push_back(shortTimeout);
    EXPECT_FALSE(Forward::toleratesQueueing(routes, "model"));
    auto shortObjective = patient;
    shortObjective.targetLatency = 700ms;
    routes.routes.back() = shortObjective;
    EXPECT_FALSE(Forward::toleratesQueueing(routes, "model"));
}
