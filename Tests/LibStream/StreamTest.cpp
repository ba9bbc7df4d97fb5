#include <LibStream/StreamReplicator.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Peer::StreamDecision;
using Stream::StreamPhase;
using Stream::StreamRole;

namespace {

// Holds the replicas in its own tables; the nodes in `unreachable` do not answer calls.
class FakePeers final : public Stream::ReplicaPeers {
public:
    explicit FakePeers(Core::Runtime& runtime)
        : m_runtime(runtime)
    {
        for (auto const* name : { "b", "c" })
            tables.emplace(name, std::make_unique<Stream::StreamTable>(runtime, 100, 600s));
    }

    std::optional<std::string> chooseReplica(std::string_view, std::set<std::string> const& excluded) const override
    {
        for (auto const& [name, table] : tables) {
            if (!excluded.contains(name))
                return name;
        }
        return std::nullopt;
    }

    Core::Awaitable<std::optional<Peer::ReplicateReply>> replicate(std::string nodeId, Peer::ReplicateRequest request, Core::MonotonicTime deadline, Core::Error& error) override
    {
        ++calls;
        if (unreachable.contains(nodeId)) {
            co_await m_runtime.sleepUntil(deadline);
            co_return Core::fail(error, Core::ErrorKind::PeerUnreachable, "unreachable");
        }
        co_await m_runtime.sleepFor(1ms);
        Peer::ReplicateReply reply;
        for (auto const& record : request.records)
            reply.results.push_back(tables.at(nodeId)->apply(record));
        co_return reply;
    }

    std::map<std::string, std::unique_ptr<Stream::StreamTable>> tables;
    std::set<std::string> unreachable;
    int calls { 0 };

private:
    Core::Runtime& m_runtime;
};

class StreamTest : public testing::Test {
protected:
    StreamTest() { m_runtime.pause(); }

    void advance(Core::Duration duration)
    {
        for (auto passed = Core::Duration {}; passed <= duration; passed += 1ms) {
            m_runtime.advance(passed == Core::Duration {} ? 0ms : 1ms);
            m_context.restart();
            m_context.poll();
        }
    }

    Stream::Stream& addServed()
    {
        Stream::Stream stream;
        stream.requestId = "r";
        stream.originNodeId = "a";
        stream.requestJson = "{}";
        auto* added = m_table.add(std::move(stream), m_error);
        m_replicator.start(*added);
        return *added;
    }

    void appendTokens(Stream::Stream& stream, int count)
    {
        for (int index = 0; index < count; ++index) {
            m_table.appendToken(stream, "t" + std::to_string(stream.tokens.size()));
            m_replicator.streamChanged(stream);
        }
    }

    boost::asio::io_context m_context;
    Core::Runtime m_runtime { m_context };
    Core::Metrics m_metrics;
    Core::Error m_error;
    Stream::StreamTable m_table { m_runtime, 100, 600s };
    FakePeers m_peers { m_runtime };
    Stream::StreamReplicator m_replicator { m_runtime, m_table, m_peers, m_metrics, { "a" } };
};

}

// Guards against sending a client tokens that no other node has if the node crashes.
TEST_F(StreamTest, TokensAreVisibleAfterReplication)
{
    auto& stream = addServed();
    appendTokens(stream, 50);
    EXPECT_EQ(Stream::visibleTokens(stream), 0u);
    advance(20ms);
    EXPECT_EQ(Stream::visibleTokens(stream), 50u);
    EXPECT_EQ(m_peers.tables.at("b")->find("r")->tokens, stream.tokens);
    // One call for the record, and one for all tokens appended in the meantime.
    EXPECT_LE(m_peers.calls, 2);
    m_table.finish(stream, "stop");
    EXPECT_FALSE(Stream::isEndVisible(stream));
    m_replicator.streamChanged(stream);
    advance(20ms);
    EXPECT_TRUE(Stream::isEndVisible(stream));
    EXPECT_EQ(m_peers.tables.at("b")->find("r")->phase, StreamPhase::Finished);
}

// Guards against a stream that stalls indefinitely or stays without a replica after its replica failed.
TEST_F(StreamTest, AnotherReplicaIsChosenAfterAFailure)
{
    auto& stream = addServed();
    appendTokens(stream, 5);
    advance(20ms);
    m_peers.unreachable = { "b" };
    appendTokens(stream, 5);
    advance(600ms);
    EXPECT_EQ(stream.replicaNodeId, "c");
    EXPECT_EQ(Stream::visibleTokens(stream), 10u);
    EXPECT_EQ(m_peers.tables.at("c")->find("r")->tokens, stream.tokens);
    m_peers.unreachable = { "b", "c" };
    appendTokens(stream, 5);
    advance(600ms);
    EXPECT_EQ(stream.replicaNodeId, "");
    EXPECT_EQ(Stream::visibleTokens(stream), 15u);
    m_peers.unreachable.clear();
    advance(3s);
    m_replicator.assignMissingReplicas();
    advance(20ms);
    EXPECT_EQ(stream.replicaNodeId, "b");
    EXPECT_EQ(m_peers.tables.at("b")->find("r")->tokens, stream.tokens);
}

// Guards against a node that was paused and then chooses another replica, which does not know that the first replica has taken
// the stream over.
TEST_F(StreamTest, PauseDoesNotMoveTheReplica)
{
    auto& stream = addServed();
    appendTokens(stream, 5);
    advance(20ms);
    m_peers.unreachable = { "b" };
    appendTokens(stream, 5);
    advance(20ms);
    auto& replica = *m_peers.tables.at("b")->find("r");
    m_peers.tables.at("b")->startServing(replica, 2, "b");
    // The call in flight fails long after its deadline; the replica is reachable again.
    m_peers.unreachable.clear();
    m_runtime.advance(8s);
    m_context.restart();
    m_context.poll();
    EXPECT_EQ(stream.replicaNodeId, "b");
    EXPECT_EQ(Stream::visibleTokens(stream), 5u);
    advance(20ms);
    EXPECT_EQ(stream.role, StreamRole::TakenOver);
    EXPECT_EQ(Stream::visibleTokens(stream), 5u);
}

// Guards against a node that takes a stream over and then abandons the output because the former origin, which it chose as its
// replica, refuses the record.
TEST_F(StreamTest, FormerOriginAcceptsTheCopyOfItsSuccessor)
{
    auto& stream = addServed();
    appendTokens(stream, 8);
    m_table.markTakenOver(stream, 3, "b");
    Peer::StreamRecord record { "r", 3, "b", "team", "advisor", "{}", 0, { "t0", "t1" }, false, "" };
    EXPECT_EQ(m_table.apply(record).decision, StreamDecision::Accepted);
    EXPECT_EQ(stream.role, StreamRole::Replica);
    record.finished = true;
    EXPECT_EQ(m_table.apply(record).decision, StreamDecision::Accepted);
    EXPECT_EQ(stream.tokens, (std::vector<std::string> { "t0", "t1" }));
}

// Guards against two nodes that take a stream over in the same epoch and both stop serving it.
TEST_F(StreamTest, OneOfTwoServingNodesContinues)
{
    auto& stream = addServed();
    Peer::StreamRecord const record { "r", 1, "b", "team", "advisor", "{}", 0, { "x" }, false, "" };
    auto& other = *m_peers.tables.at("b");
    EXPECT_EQ(other.apply(record).decision, StreamDecision::Accepted);
    other.startServing(*other.find("r"), 1, "b");
    EXPECT_EQ(other.apply(Stream::fullRecord(stream)).decision, StreamDecision::EpochTooOld);
    EXPECT_EQ(m_table.apply(Stream::fullRecord(*other.find("r"))).decision, StreamDecision::Accepted);
    EXPECT_EQ(stream.role, StreamRole::Replica);
    EXPECT_EQ(stream.originNodeId, "b");
}

// Guards against two nodes sending different continuations: a node that was paused while its replica took the stream over must
// not send any more tokens to its client.
TEST_F(StreamTest, PausedOriginIsFencedByTheHigherEpoch)
{
    auto& stream = addServed();
    appendTokens(stream, 5);
    advance(20ms);
    auto& replica = *m_peers.tables.at("b")->find("r");
    EXPECT_EQ(Stream::decideTakeOver(replica, Stream::OriginLiveness::Suspected), Stream::TakeOverDecision::NoAction);
    EXPECT_EQ(Stream::decideTakeOver(replica, Stream::OriginLiveness::Dead), Stream::TakeOverDecision::TakeOver);
    m_peers.tables.at("b")->startServing(replica, 2, "b");
    appendTokens(stream, 5);
    advance(20ms);
    EXPECT_EQ(stream.role, StreamRole::TakenOver);
    EXPECT_EQ(Stream::visibleTokens(stream), 5u);
    EXPECT_EQ(replica.tokens.size(), 5u);
}

// Guards against a fencing record that truncates the output, and against two nodes that take over in the same epoch.
TEST_F(StreamTest, FencingRecordKeepsTokensAndOneNodeWins)
{
    auto& table = *m_peers.tables.at("b");
    Peer::StreamRecord record { "r", 1, "a", "team", "advisor", "{}", 0, { "x", "y" }, false, "" };
    EXPECT_EQ(table.apply(record).decision, StreamDecision::Accepted);
    Peer::StreamRecord const fence { "r", 2, "c", "team", "advisor", "{}", 0, {}, false, "" };
    EXPECT_EQ(table.apply(fence).decision, StreamDecision::Accepted);
    EXPECT_EQ(table.find("r")->tokens.size(), 2u);
    auto competingFence = fence;
    competingFence.originNodeId = "d";
    EXPECT_EQ(table.apply(competingFence).decision, StreamDecision::EpochTooOld);
    record.firstIndex = 2;
    EXPECT_EQ(table.apply(record).decision, StreamDecision::EpochTooOld);
    Peer::StreamRecord const gap { "r", 2, "c", "team", "advisor", "", 3, { "z" }, false, "" };
    auto const result = table.apply(gap);
    EXPECT_EQ(result.decision, StreamDecision::Gap);
    EXPECT_EQ(result.firstMissingIndex, 2u);
}

// Guards against sending a client the rest of a different output.
TEST_F(StreamTest, PositionDependsOnTheTokensBeforeIt)
{
    std::vector<std::string> const tokens { "a", "b", "c" };
    std::vector<std::string> const other { "a", "x", "c" };
    auto const position = Stream::formatPosition(Stream::positionAfter(tokens, 2));
    EXPECT_EQ(Stream::parsePosition(tokens, position, m_error), Stream::positionAfter(tokens, 2));
    EXPECT_FALSE(Stream::parsePosition(other, position, m_error));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::StreamDiverged);
    EXPECT_FALSE(Stream::parsePosition({ "a" }, position, m_error));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::StreamNotFound);
    for (auto const* text : { "", "2", "x-1", "-", "2-zz" })
        EXPECT_FALSE(Stream::parsePosition(tokens, text, m_error)) << text;
}

// Guards against continuing from a copy with a higher epoch that lacks tokens that the client has received.
TEST_F(StreamTest, CopyWithoutTheClientsPositionIsNotUsable)
{
    std::vector<std::string> const seen { "a", "b" };
    auto const eventId = Stream::formatPosition(Stream::positionAfter(seen, 2));
    EXPECT_TRUE(Stream::containsPosition({ "a", "b", "c" }, eventId));
    EXPECT_FALSE(Stream::containsPosition({ "a" }, eventId));
    EXPECT_FALSE(Stream::containsPosition({ "a", "x", "c" }, eventId));
    EXPECT_TRUE(Stream::containsPosition({}, ""));
    Peer::StreamRecord shortCopy;
    shortCopy.epoch = 3;
    Peer::StreamRecord longCopy;
    longCopy.epoch = 2;
    longCopy.tokens = seen;
    EXPECT_TRUE(Stream::isNewerCopy(shortCopy, longCopy));
    longCopy.epoch = 3;
    EXPECT_TRUE(Stream::isNewerCopy(longCopy, shortCopy));
}

// Guards against losing the error of a failed stream at the replica.
TEST_F(StreamTest, FailureIsReplicated)
{
    auto& stream = addServed();
    Core::Error failure;
    Core::fail(failure, Core::ErrorKind::NoServerAvailable, "none: left", Core::RunState::Unknown);
    m_table.fail(stream, failure);
    m_replicator.streamChanged(stream);
    advance(20ms);
    EXPECT_EQ(m_peers.tables.at("b")->find("r")->failure, failure);
    EXPECT_EQ(m_peers.tables.at("b")->find("r")->phase, StreamPhase::Failed);
}

// Guards against a table that grows without bound or evicts running streams.
TEST_F(StreamTest, TableIsBounded)
{
    Stream::StreamTable table(m_runtime, 2, 600s);
    for (auto const* id : { "1", "2" }) {
        Stream::Stream stream;
        stream.requestId = id;
        EXPECT_TRUE(table.add(std::move(stream), m_error));
    }
    Stream::Stream third;
    third.requestId = "3";
    EXPECT_FALSE(table.add(third, m_error));
    EXPECT_EQ(m_error.kind, Core::ErrorKind::Overloaded);
    table.finish(*table.find("1"), "stop");
    advance(6s);
    EXPECT_TRUE(table.add(third, m_error));
    EXPECT_FALSE(table.find("1"));
}
