#include <LibMembership/GossipState.h>
#include <LibMembership/NodeTable.h>

#include <gtest/gtest.h>
#include <set>

using namespace std::chrono_literals;
using namespace Membership;

namespace {

Core::MonotonicTime const start { 1000s };

NodeRow row(std::string const& id, std::string const& dataCentre = "dc1", std::uint64_t incarnation = 1, std::uint64_t heartbeat = 1)
{
    auto const port = static_cast<std::uint16_t>(1 + std::hash<std::string> {}(id) % 60000);
    return { id, { "127.0.0.1", port }, { "127.0.0.2", port }, dataCentre, "r1", incarnation, heartbeat };
}

NodeTable tableWith(std::vector<NodeRow> const& rows, std::string const& ownId = "own")
{
    NodeTable table { ownId, "dc1" };
    table.rows.emplace(ownId, row(ownId));
    table.idsByKey.emplace(rowKey(ownId, 1), ownId);
    for (auto const& entry : rows)
        mergeRow(table, entry, start);
    return table;
}

}

// Guards against a configuration or state of an earlier process being taken for the current one's.
TEST(NodeTableTest, HigherIncarnationReplacesTheRow)
{
    auto first = row("a", "dc1", 1, 50);
    first.state = NodeState::Leaving;
    auto table = tableWith({ first });
    EXPECT_TRUE(mergeRow(table, row("a", "dc1", 2, 1), start));
    EXPECT_EQ(table.find("a")->state, NodeState::Live);
    EXPECT_EQ(table.find("a")->heartbeat, 1U);
    EXPECT_FALSE(table.idsByKey.contains(rowKey("a", 1)));
    EXPECT_FALSE(mergeRow(table, first, start));
    EXPECT_EQ(table.find("a")->incarnation, 2U);
}

// Guards against an old message that makes a leaving node receive new work.
TEST(NodeTableTest, LeavingIsFinalWithinAnIncarnation)
{
    auto table = tableWith({ row("a") });
    auto const key = rowKey("a", 1);
    static_cast<void>(mergeDigest(table, { packHeartbeat(key, 2) }, { key }, start));
    EXPECT_EQ(table.find("a")->state, NodeState::Leaving);
    mergeRow(table, row("a", "dc1", 1, 9), start);
    EXPECT_EQ(table.find("a")->state, NodeState::Leaving);
    EXPECT_EQ(table.find("a")->heartbeat, 9U);
}

// Guards against old heartbeats that renew a row, and against unknown rows that are skipped.
TEST(NodeTableTest, DigestReportsProgressAndUnknownKeys)
{
    auto table = tableWith({ row("a", "dc1", 1, 5), row("b", "dc1", 1, 5) });
    auto const difference = mergeDigest(table, { packHeartbeat(rowKey("a", 1), 6), packHeartbeat(rowKey("b", 1), 5), packHeartbeat(rowKey("c", 1), 1) }, {}, start + 1s);
    EXPECT_EQ(difference.advancedIds, std::vector<std::string> { "a" });
    EXPECT_EQ(difference.unknownKeys, std::vector { rowKey("c", 1) });
    EXPECT_EQ(table.find("b")->lastHeartbeatAt, start);
    auto const word = packHeartbeat(rowKey("a", 1), 123);
    EXPECT_EQ(unpackRowKey(word), rowKey("a", 1));
    EXPECT_EQ(unpackHeartbeat(word), 123U);
}

// Guards against wrong times of suspicion, death and removal, and against a dead row that does not recover.
TEST(NodeTableTest, ExpiryFollowsTheTimeouts)
{
    ExpirySettings const settings;
    auto table = tableWith({ row("a"), row("far", "dc2") });
    EXPECT_TRUE(expireNodes(table, settings, start + 2999ms).empty());
    EXPECT_EQ(expireNodes(table, settings, start + 3s), (std::vector<LivenessChange> { { "a", Liveness::Suspected, false } }));
    EXPECT_TRUE(expireNodes(table, settings, start + 5999ms).empty());
    EXPECT_EQ(expireNodes(table, settings, start + 6s), (std::vector<LivenessChange> { { "a", Liveness::Dead, false } }));
    auto returned = table;
    mergeRow(returned, row("a", "dc1", 1, 2), start + 7s);
    EXPECT_EQ(returned.find("a")->liveness, Liveness::Live);
    EXPECT_EQ(expireNodes(table, settings, start + 66s).back(), (LivenessChange { "far", Liveness::Dead, false }));
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_EQ(table.formerEndpoints.at("dc1").size(), 1U);
    EXPECT_EQ(table.own().liveness, Liveness::Live);
}

// Guards against a node that declares all others dead after it was itself paused.
TEST(NodeTableTest, PauseCompensationKeepsRowsLive)
{
    auto table = tableWith({ row("a") });
    compensateForPause(table, 30s);
    EXPECT_TRUE(expireNodes(table, {}, start + 31s).empty());
}

// Guards against ranks that differ between nodes or change for other nodes when one leaves.
TEST(NodeTableTest, RendezvousRankIsStable)
{
    auto const table = tableWith({ row("a"), row("b"), row("c"), row("d") });
    auto nodes = nodesOf(table, "dc1", NodeFilter::NotDead);
    auto const ranked = rendezvousRank("key", nodes);
    std::reverse(nodes.begin(), nodes.end());
    EXPECT_EQ(rendezvousRank("key", nodes), ranked);
    std::erase(nodes, ranked.front());
    EXPECT_EQ(rendezvousRank("key", nodes), std::vector(ranked.begin() + 1, ranked.end()));
    std::set<std::string> firsts;
    for (int i = 0; i < 100; ++i)
        firsts.insert(rendezvousRank(std::to_string(i), nodes).front()->id);
    EXPECT_EQ(firsts.size(), nodes.size());
}

// Guards against exchanges of non-relays with other data centres, and against an isolated node that stops retrying.
TEST(NodeTableTest, PartnersDependOnTheRole)
{
    Core::Random random(1);
    std::vector<Core::Endpoint> const seeds { { "127.0.0.9", 9 } };
    EXPECT_EQ(chooseExchangePartners(tableWith({}), seeds, ExchangeRound::Local, random).local, seeds);
    std::vector<NodeRow> rows { row("a"), row("b"), row("c"), row("far", "dc2") };
    for (auto const* own : { "own1", "own2", "own3", "own4", "own5" }) {
        auto const table = tableWith(rows, own);
        auto const partners = chooseExchangePartners(table, {}, ExchangeRound::LocalAndRemote, random);
        EXPECT_EQ(partners.local.size(), 1U);
        EXPECT_EQ(partners.remote.size(), isRelay(table) ? 1U : 0U);
        EXPECT_EQ(relaysOf(table, "dc1").size(), 2U);
    }
}

// Guards against replies that repeat what the partner already has according to its digest.
TEST(GossipStateTest, ReplyContainsOnlyDifferences)
{
    Core::Random random(1);
    GossipLimits const limits;
    GossipState state;
    auto sender = tableWith({ row("a", "dc1", 1, 5), row("b", "dc1", 1, 9), row("mine", "dc1", 1, 1) }, "sender");
    auto receiver = tableWith({ row("a", "dc1", 1, 7), row("b", "dc1", 1, 9), row("sender"), row("new") }, "mine");
    GossipState otherState;
    auto const opened = createExchangeMessage(sender, state, limits, PartnerLocation::SameDataCentre, random);
    auto const merged = mergeMessage(receiver, otherState, limits, opened, start + 1s, 0);
    EXPECT_TRUE(merged.unknownKeys.empty());
    auto const reply = createReplyMessage(receiver, otherState, limits, opened, merged, 10000, random);
    EXPECT_EQ(reply.heartbeats, std::vector { packHeartbeat(rowKey("a", 1), 7) });
    ASSERT_EQ(reply.rows.size(), 1U);
    EXPECT_EQ(reply.rows.front().id, "new");
    auto const back = mergeMessage(sender, state, limits, reply, start + 1s, 0);
    EXPECT_FALSE(createFollowUpMessage(sender, state, limits, reply, back, 10000));
    EXPECT_TRUE(createReplyMessage(receiver, otherState, limits, createExchangeMessage(sender, state, limits, PartnerLocation::SameDataCentre, random), {}, 0, random).rows.empty());
    EXPECT_TRUE(createReplyMessage(receiver, otherState, limits, opened, merged, 50, random).rows.empty()) << "over the byte limit";
}

// Guards against marks that two nodes keep renewing for each other, and against lifetimes set by a faulty peer.
TEST(GossipStateTest, MarksExpireAtTheSameTimeEverywhere)
{
    GossipLimits const limits;
    GossipState state;
    auto const lifetime = limits.markLifetime.count();
    EXPECT_TRUE(addLeavingMark(state, limits, { "s", 1, 1000 + 2 * lifetime }, 1000));
    EXPECT_FALSE(addLeavingMark(state, limits, { "s", 1, 500 }, 1000));
    expireGossipState(tableWith({}), state, limits, 1000 + lifetime);
    EXPECT_TRUE(state.leavingMarks.empty());
    EXPECT_FALSE(addLeavingMark(state, limits, { "s", 1, 1000 + lifetime }, 1000 + lifetime));
}
