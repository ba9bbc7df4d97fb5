#include <Integration/Cluster.h>

#include <LibConfiguration/Codec.h>
#include <LibCore/Random.h>
#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ClusterNode;
using TestSupport::waitUntil;
namespace json = boost::json;

namespace {

// The time within which an accepted configuration has to be in force on every node (docs/design.md, section 1).
constexpr std::chrono::seconds propagationBound { 13 };
constexpr std::uint64_t seed = 20261204;

struct ApplyResponse {
    unsigned status { 0 };
    json::value body;

    [[nodiscard]] std::uint64_t generation() const { return body.is_object() && body.get_object().contains("generation") ? body.at("generation").to_number<std::uint64_t>() : 0; }
    [[nodiscard]] std::string text(char const* name) const { return body.is_object() && body.get_object().contains(name) && body.at(name).is_string() ? std::string(body.at(name).as_string()) : std::string(); }
};

// Polls /operator/status of every node in one thread for each node, until the poller is destroyed.
class GenerationPoller {
public:
    explicit GenerationPoller(Cluster& cluster)
        : m_cluster(cluster)
    {
        for (auto const& node : cluster.nodes())
            add(*node);
    }

    ~GenerationPoller()
    {
        m_stopped = true;
    }

    GenerationPoller(GenerationPoller const&) = delete;
    GenerationPoller& operator=(GenerationPoller const&) = delete;

    void add(ClusterNode const& node)
    {
        std::scoped_lock const lock(m_mutex);
        m_threads.emplace_back([this, &node] { poll(node); });
    }

    [[nodiscard]] std::uint64_t generationOf(std::string const& nodeId) const
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_generations.find(nodeId);
        return found == m_generations.end() ? 0 : found->second;
    }

    // Waits until all nodes report the generation. Returns the time since `since`, or nothing if the bound has passed.
    std::optional<std::chrono::milliseconds> waitFor(std::vector<std::string> const& nodeIds, std::uint64_t generation, std::chrono::steady_clock::time_point since, std::chrono::milliseconds bound = propagationBound)
    {
        auto const hasReached = [&] { return std::all_of(nodeIds.begin(), nodeIds.end(), [&](auto const& id) { return generationOf(id) >= generation; }); };
        if (!waitUntil(hasReached, bound))
            return std::nullopt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since);
    }

    [[nodiscard]] std::size_t polls() const { return m_polls; }
    [[nodiscard]] std::size_t reverts() const { return m_reverts; }

private:
    void poll(ClusterNode const& node)
    {
        while (!m_stopped) {
            auto const status = m_cluster.status(node);
            if (status.is_object()) {
                auto const generation = status.at("generation").to_number<std::uint64_t>();
                std::scoped_lock const lock(m_mutex);
                auto& highest = m_generations[node.id];
                m_reverts += generation < highest ? 1 : 0;
                highest = std::max(highest, generation);
                ++m_polls;
            }
            // Limits the polling rate; the test does not depend on this delay.
            std::this_thread::sleep_for(20ms);
        }
    }

    Cluster& m_cluster;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_generations;
    std::atomic<std::size_t> m_polls { 0 };
    std::atomic<std::size_t> m_reverts { 0 };
    std::atomic<bool> m_stopped { false };
    std::vector<std::jthread> m_threads;
};

Integration::ClusterOptions clusterOptions()
{
    Integration::ClusterOptions options;
    options.enginesPerDataCentre = 0;
    return options;
}

class ConfigurationPromise : public testing::Test {
protected:
    explicit ConfigurationPromise(Integration::ClusterOptions options = clusterOptions())
        : m_cluster(std::move(options))
    {
        m_cluster.start();
        m_poller.emplace(m_cluster);
    }

    void TearDown() override
    {
        auto const* test = testing::UnitTest::GetInstance()->current_test_info();
        std::printf("promise=configuration test=%s seed=%llu applies=%zu faults=%zu polls=%zu reverts=%zu longest_spread_ms=%lld\n", test->name(), static_cast<unsigned long long>(seed),
            m_applies, m_faults, m_poller->polls(), m_poller->reverts(), static_cast<long long>(m_longestPropagation.count()));
        EXPECT_EQ(m_poller->reverts(), 0u);
        EXPECT_GT(m_poller->polls(), 0u);
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    // Returns testState() with another number of servers, so that successive applies differ.
    static Configuration::DesiredState stateWithMaximumServers(unsigned maximumServers)
    {
        auto state = Integration::testState();
        state.services.front().maximumServers = maximumServers;
        return state;
    }

    static HTTP::Request applyRequest(std::string const& author, unsigned maximumServers, std::uint64_t basedOn, std::string const& applyId)
    {
        json::object body { { "basedOnGeneration", basedOn }, { "applyId", applyId }, { "appliedBy", author }, { "comment", "" }, { "desired", Configuration::toJson(stateWithMaximumServers(maximumServers)) } };
        return { "PUT", "/operator/desired-state", { { "Content-Type", "application/json" } }, json::serialize(body) };
    }

    static ApplyResponse send(Core::Endpoint const& endpoint, HTTP::Request request)
    {
        Core::Error error;
        auto const response = TestSupport::blockingCall(endpoint, std::move(request), error);
        if (!response)
            return {};
        json::error_code errorCode;
        return { response->status, json::parse(response->body, errorCode) };
    }

    ApplyResponse apply(std::size_t node, unsigned maximumServers, std::uint64_t basedOn, std::string const& applyId, std::string const& author = "ada")
    {
        ++m_applies;
        return send(m_cluster.node(node).operatorEndpoint, applyRequest(author, maximumServers, basedOn, applyId));
    }

    std::vector<std::string> nodeIds(std::string const& dataCentre = "")
    {
        std::vector<std::string> ids;
        for (auto const& node : m_cluster.nodes()) {
            if (dataCentre.empty() || node->dataCentre == dataCentre)
                ids.push_back(node->id);
        }
        return ids;
    }

    void expectPropagated(std::vector<std::string> const& ids, std::uint64_t generation, std::chrono::steady_clock::time_point since)
    {
        auto const time = m_poller->waitFor(ids, generation, since);
        ASSERT_TRUE(time) << "generation " << generation;
        m_longestPropagation = std::max(m_longestPropagation, *time);
        EXPECT_LE(*time, propagationBound);
    }

    static std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }

    Cluster m_cluster;
    std::optional<GenerationPoller> m_poller;
    std::size_t m_applies { 1 };
    std::size_t m_faults { 0 };
    std::chrono::milliseconds m_longestPropagation { 0 };
};

class IsolatedDataCentre : public ConfigurationPromise {
protected:
    IsolatedDataCentre()
        : ConfigurationPromise(options())
    {
    }

    static Integration::ClusterOptions options()
    {
        auto options = clusterOptions();
        options.peerLinks = Integration::PeerLinks::ThroughProxy;
        return options;
    }
};

}

// Guards against a lost update: two operators apply changes to the same generation, and both applies are accepted.
TEST_F(ConfigurationPromise, OneOfTwoOperatorsWins)
{
    Core::Random random(seed);
    std::uint64_t generation = 1;
    for (unsigned round = 0; round < 8; ++round, ++generation) {
        auto const firstNode = random.below(m_cluster.nodes().size());
        auto const secondNode = (firstNode + 1 + random.below(m_cluster.nodes().size() - 1)) % m_cluster.nodes().size();
        // The delayed link to the platform lets both nodes read the same generation before either writes.
        TestSupport::ProxyFaults linkFaults;
        linkFaults.delayMs = 10 + 10 * random.below(3);
        m_cluster.platformProxy().setFaults(linkFaults);
        std::array<ApplyResponse, 2> responses;
        {
            std::jthread const ada([&] { responses[0] = apply(firstNode, 30 + 2 * round, generation, "ada-" + std::to_string(round), "ada"); });
            std::jthread const ben([&] { responses[1] = apply(secondNode, 31 + 2 * round, generation, "ben-" + std::to_string(round), "ben"); });
        }
        ++m_faults;
        auto const winner = responses[0].status == 200 ? 0u : 1u;
        auto const& lost = responses[1 - winner];
        ASSERT_EQ(responses[winner].status, 200u) << json::serialize(responses[winner].body);
        EXPECT_EQ(responses[winner].generation(), generation + 1);
        ASSERT_EQ(lost.status, 409u) << json::serialize(lost.body);
        EXPECT_EQ(lost.text("kind"), "apply_conflict");
        auto const& entries = lost.body.at("entriesSince").as_array();
        ASSERT_EQ(entries.size(), 1u);
        EXPECT_EQ(entries[0].at("appliedBy"), json::string(winner == 0 ? "ada" : "ben"));
        EXPECT_FALSE(entries[0].at("changes").as_array().empty());
        expectPropagated(nodeIds(), generation + 1, now());
    }
}

// Guards against an apply that takes effect twice, or is reported as refused although it took effect, when the platform's response
// to the write is lost.
TEST_F(ConfigurationPromise, LostAnswerOfThePlatformIsResolved)
{
    std::uint64_t generation = 1;
    for (unsigned round = 0; round < 4; ++round, ++generation) {
        TestSupport::PlatformFaults faults;
        faults.dropWriteAnswers = 1 + round % 2;
        m_cluster.platform().setFaults(faults);
        m_faults += faults.dropWriteAnswers;
        auto const id = "apply-" + std::to_string(round);
        auto const response = apply(round, 40 + round, generation, id);
        ASSERT_EQ(response.status, 200u) << json::serialize(response.body);
        EXPECT_EQ(response.generation(), generation + 1);
        auto const repeated = apply((round + 1) % 4, 40 + round, generation, id);
        EXPECT_EQ(repeated.status, 200u);
        EXPECT_EQ(repeated.text("outcome"), "already_accepted");
        EXPECT_EQ(repeated.generation(), generation + 1);
        m_cluster.platform().setFaults({});
        expectPropagated(nodeIds(), generation + 1, now());
    }
}

// Guards against an apply that takes effect twice, or is reported as refused although it took effect, when the node's response is
// lost. The operator repeats the apply at another node, and once more after another operator's apply.
TEST_F(ConfigurationPromise, LostAnswerToTheOperatorIsResolved)
{
    TestSupport::ChildProcess proxy({ STAND_IN_BINARY, "proxy", "--listen=127.0.0.1:0", "--target=" + m_cluster.node(0).operatorEndpoint.toString() });
    TestSupport::ProxySwitches const switches(proxy.endpoint("control"));
    TestSupport::ProxyFaults drop;
    drop.dropAnswers = 1;
    switches.setFaults(drop);
    ++m_faults;
    ++m_applies;
    EXPECT_EQ(send(proxy.endpoint("proxy0"), applyRequest("ada", 50, 1, "lost")).status, 0u);
    auto const repeated = apply(2, 50, 1, "lost");
    ASSERT_EQ(repeated.status, 200u) << json::serialize(repeated.body);
    EXPECT_EQ(repeated.generation(), 2u);
    ASSERT_EQ(apply(1, 51, 2, "other", "ben").generation(), 3u);
    auto const late = apply(3, 50, 1, "lost");
    EXPECT_EQ(late.status, 200u);
    EXPECT_EQ(late.text("outcome"), "already_accepted");
    EXPECT_EQ(late.generation(), 2u);
    expectPropagated(nodeIds(), 3, now());
}

// Guards against a command that reports an apply as refused although it took effect: the node's response was lost, and the next
// node that the command tries cannot reach the platform.
TEST_F(ConfigurationPromise, CommandReportsALostAnswerAsUnknown)
{
    TestSupport::ChildProcess proxy({ STAND_IN_BINARY, "proxy", "--listen=127.0.0.1:0", "--target=" + m_cluster.node(0).operatorEndpoint.toString() });
    TestSupport::ProxySwitches const switches(proxy.endpoint("control"));
    TestSupport::ProxyFaults faults;
    faults.dropAnswers = 1000;
    switches.setFaults(faults);
    faults = {};
    faults.cut = true;
    m_cluster.platformProxy().setFaults(faults, 1);
    m_faults += 2;
    ++m_applies;
    auto const operators = proxy.endpoint("proxy0").toString() + "," + m_cluster.node(2).operatorEndpoint.toString();
    auto const directory = std::string(EXAMPLES_DIRECTORY) + "/cypress-hollow";
    TestSupport::ChildProcess command({ HYSSOPSTEP_BINARY, "apply", "-f", directory, "--yes", "--author=ada", "--operator=" + operators, "--operator_timeout_ms=8000" });
    EXPECT_EQ(command.waitForExit(), 1);
    EXPECT_NE(command.log().find("it is not known whether it took effect"), std::string::npos) << command.log();
    expectPropagated({ m_cluster.node(0).id, m_cluster.node(1).id }, 2, now());
}

// Guards against an apply during a platform outage that is reported as not run but takes effect later, or that blocks the node.
TEST_F(ConfigurationPromise, ApplyInAnOutageChangesNothing)
{
    TestSupport::PlatformFaults down;
    down.down = true;
    m_cluster.platform().setFaults(down);
    ++m_faults;
    auto const refused = apply(0, 60, 1, "outage");
    EXPECT_EQ(refused.status, 503u);
    EXPECT_EQ(refused.text("kind"), "store_unavailable");
    // The node cannot know whether an earlier request with this apply id took effect.
    EXPECT_EQ(refused.text("run_state"), "unknown");
    m_cluster.platform().setFaults({});
    auto const since = now();
    ASSERT_EQ(apply(1, 61, 1, "after").generation(), 2u);
    expectPropagated(nodeIds(), 2, since);
}

// Guards against a node that starts during a platform outage and serves without a configuration or with an outdated one.
TEST_F(ConfigurationPromise, StartingNodeTakesItFromPeersInAnOutage)
{
    auto since = now();
    ASSERT_EQ(apply(0, 70, 1, "before").generation(), 2u);
    expectPropagated(nodeIds(), 2, since);
    TestSupport::PlatformFaults down;
    down.down = true;
    m_cluster.platform().setFaults(down);
    ++m_faults;
    since = now();
    auto& node = m_cluster.addNode("late", "dc2");
    m_poller->add(node);
    expectPropagated({ "late" }, 2, since);
    EXPECT_EQ(m_cluster.status(node).at("phase"), "serving");
}

// Guards against a data centre that keeps an outdated configuration because its relays cannot reach the platform.
TEST_F(ConfigurationPromise, CutDataCentreLearnsItFromAnother)
{
    TestSupport::ProxyFaults cut;
    cut.cut = true;
    for (unsigned round = 0; round < 3; ++round) {
        auto const cutDataCentre = round % 2;
        m_cluster.platformProxy().clearFaults();
        m_cluster.platformProxy().setFaults(cut, cutDataCentre);
        ++m_faults;
        auto const since = now();
        ASSERT_EQ(apply(cutDataCentre == 0 ? 2 : 0, 80 + round, 1 + round, "cut-" + std::to_string(round)).generation(), 2 + round);
        expectPropagated(nodeIds(), 2 + round, since);
    }
}

// Guards against a node that was paused during an apply and reverts to an older generation, or does not catch up.
TEST_F(ConfigurationPromise, PausedNodesCatchUp)
{
    std::vector<std::size_t> const paused { 0, 3 };
    for (auto const index : paused)
        m_cluster.node(index).process->sendSignal(SIGSTOP);
    m_faults += paused.size();
    auto since = now();
    ASSERT_EQ(apply(1, 90, 1, "paused-1").generation(), 2u);
    expectPropagated({ m_cluster.node(1).id, m_cluster.node(2).id }, 2, since);
    since = now();
    ASSERT_EQ(apply(2, 91, 2, "paused-2").generation(), 3u);
    expectPropagated({ m_cluster.node(1).id, m_cluster.node(2).id }, 3, since);
    since = now();
    for (auto const index : paused)
        m_cluster.node(index).process->sendSignal(SIGCONT);
    expectPropagated(nodeIds(), 3, since);
}

// Guards against a node that reverts when the platform's watch delivers an older generation than a peer has already sent.
TEST_F(ConfigurationPromise, LateWatchEventsDoNotRevert)
{
    TestSupport::ProxyFaults late;
    late.delayMs = 400;
    m_cluster.platformProxy().setFaults(late, 0);
    ++m_faults;
    for (unsigned round = 0; round < 6; ++round) {
        ASSERT_EQ(apply(2 + round % 2, 110 + round, 1 + round, "late-" + std::to_string(round)).generation(), 2 + round);
        expectPropagated(nodeIds(), 2 + round, now());
    }
    // Once an apply in data centre 0 has been written and read back, its watch has delivered all earlier events.
    ASSERT_EQ(apply(0, 120, 7, "last").generation(), 8u);
    expectPropagated(nodeIds(), 8, now());
}

// Guards against propagation that exceeds the bound when the platform responds slowly.
TEST_F(ConfigurationPromise, SlowPlatformKeepsTheBound)
{
    TestSupport::PlatformFaults slow;
    slow.slowMs = 600;
    m_cluster.platform().setFaults(slow);
    ++m_faults;
    for (unsigned round = 0; round < 2; ++round) {
        auto const response = apply(round, 100 + round, 1 + round, "slow-" + std::to_string(round));
        ASSERT_EQ(response.status, 200u) << json::serialize(response.body);
        expectPropagated(nodeIds(), 2 + round, now());
    }
}

// Guards against a lost change when faults overlap: seeded applies at random nodes while responses are lost, the platform is slow,
// and nodes are paused. Every apply takes effect exactly once, and the last generation reaches every node.
TEST_F(ConfigurationPromise, SeededFaultsLoseNoAcceptedChange)
{
    Core::Random random(seed);
    std::uint64_t generation = 1;
    for (unsigned round = 0; round < 12; ++round) {
        auto const node = random.below(m_cluster.nodes().size());
        auto const neighbour = (node + 1) % m_cluster.nodes().size();
        bool const isPaused = random.below(2) == 0;
        TestSupport::PlatformFaults faults;
        faults.dropWriteAnswers = random.below(2);
        faults.slowMs = random.below(2) * 200;
        m_cluster.platform().setFaults(faults);
        TestSupport::ProxyFaults linkFaults;
        linkFaults.dropAnswers = random.below(3);
        m_cluster.platformProxy().setFaults(linkFaults, random.below(2));
        if (isPaused)
            m_cluster.node(neighbour).process->sendSignal(SIGSTOP);
        m_faults += faults.dropWriteAnswers + linkFaults.dropAnswers + (faults.slowMs > 0 ? 1 : 0) + (isPaused ? 1 : 0);
        auto const id = "seeded-" + std::to_string(round);
        auto response = apply(node, 200 + round, generation, id);
        if (response.status != 200)
            response = apply((node + 2) % m_cluster.nodes().size(), 200 + round, generation, id);
        if (isPaused)
            m_cluster.node(neighbour).process->sendSignal(SIGCONT);
        m_cluster.platform().setFaults({});
        m_cluster.platformProxy().clearFaults();
        ASSERT_EQ(response.status, 200u) << json::serialize(response.body);
        EXPECT_EQ(response.generation(), generation + 1);
        generation = response.generation();
    }
    expectPropagated(nodeIds(), generation, now());
    auto const state = send(m_cluster.node(0).operatorEndpoint, { "GET", "/operator/desired-state", {}, "" });
    EXPECT_EQ(state.generation(), generation);
    EXPECT_EQ(state.body.at("desired").at("services").at(0).at("maximumServers"), 211);
}

// Guards against a data centre that loses its configuration while it is partitioned from platform and peers, or does not catch up.
TEST_F(IsolatedDataCentre, KeepsItsConfigurationAndCatchesUp)
{
    TestSupport::ProxyFaults cut;
    cut.cut = true;
    m_cluster.platformProxy().setFaults(cut, 1);
    m_cluster.setPeerFaults(cut);
    m_faults += 2;
    auto since = now();
    ASSERT_EQ(apply(0, 130, 1, "isolated-1").generation(), 2u);
    ASSERT_EQ(apply(1, 131, 2, "isolated-2").generation(), 3u);
    expectPropagated(nodeIds("dc1"), 3, since);
    EXPECT_EQ(apply(2, 132, 1, "isolated-3").status, 503u);
    for (auto const& id : nodeIds("dc2"))
        EXPECT_EQ(m_poller->generationOf(id), 1u);
    since = now();
    m_cluster.platformProxy().clearFaults();
    m_cluster.setPeerFaults({});
    expectPropagated(nodeIds(), 3, since);
}
