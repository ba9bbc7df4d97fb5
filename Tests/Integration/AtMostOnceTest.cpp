#include <Integration/RefundClients.h>

#include <LibCore/Random.h>
#include <LibIntent/IntentKey.h>
#include <LibMembership/NodeTable.h>
#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <tuple>
#include <utility>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ClusterNode;
using Integration::RefundClients;
using TestSupport::PlatformFaults;
using TestSupport::ProxyFaults;
using TestSupport::waitUntil;

namespace {

// HYSSOPSTEP_TEST_SEED overrides the seed.
std::uint64_t const seed = std::getenv("HYSSOPSTEP_TEST_SEED") ? std::strtoull(std::getenv("HYSSOPSTEP_TEST_SEED"), nullptr, 10) : 4711;
constexpr unsigned keysPerScenario = 16;

Integration::ClusterOptions clusterOptions()
{
    Integration::ClusterOptions options;
    options.enginesPerDataCentre = 0;
    return options;
}

class AtMostOnce : public testing::Test {
protected:
    void SetUp() override { m_cluster.start(); }

    void TearDown() override
    {
        if (HasFailure())
            std::fputs(m_cluster.nodeLogs().c_str(), stderr);
    }

    void setServiceFaults(boost::json::object const& faults) const
    {
        for (auto const& service : m_cluster.services())
            TestSupport::callStandIn(service.endpoint, "PUT", "/stand-in/faults", faults);
    }

    void clearFaults()
    {
        m_cluster.platform().setFaults({});
        m_cluster.platformProxy().clearFaults();
        setServiceFaults({});
        for (auto const& node : m_cluster.nodes())
            node->process->sendSignal(SIGCONT);
    }

    std::size_t intentWrites() const
    {
        auto const writes = m_cluster.platform().acceptedWrites();
        return static_cast<std::size_t>(std::count_if(writes.begin(), writes.end(), [](auto const& write) { return write.kind == "intents"; }));
    }

    // Sends a refund up to three times, each time to a random node, until it is answered. A third of the clients send a concurrent
    // repeat too.
    void runClient(std::string const& key, std::uint64_t clientSeed)
    {
        Core::Random random(clientSeed);
        auto const pick = [&]() -> ClusterNode& { return m_cluster.node(random.below(m_cluster.nodes().size())); };
        std::optional<std::jthread> concurrent;
        if (random.below(3) == 0) {
            auto* node = &pick();
            concurrent.emplace([this, node, key] { m_clients.send(*node, key); });
        }
        for (unsigned attempt = 0; attempt < 3; ++attempt) {
            if (m_clients.send(pick(), key).isAnswer())
                return;
        }
    }

    // Starts a client for each key, and waits until there are at least half as many replies as keys and all clients have ended.
    void runClients(std::vector<std::string> const& keys)
    {
        std::vector<std::jthread> threads;
        auto const before = m_clients.replyCount();
        for (std::size_t index = 0; index < keys.size(); ++index) {
            threads.emplace_back([this, key = keys[index], index] { runClient(key, seed + index); });
            threads.emplace_back([this, index] { m_clients.sendQuery(m_cluster.node(index % m_cluster.nodes().size())); });
        }
        EXPECT_TRUE(waitUntil([&] { return m_clients.replyCount() >= before + keys.size() / 2; }));
    }

    // Repeats the refund of each key, each at one of the nodes, until the node returns an answer or "outcome_unknown".
    void resolveOutcomes(std::vector<std::string> const& keys)
    {
        for (std::size_t index = 0; index < keys.size(); ++index) {
            auto const isFinal = [&] {
                auto const reply = m_clients.send(m_cluster.node(index % m_cluster.nodes().size()), keys[index]);
                return reply.isAnswer() || reply.kind == "outcome_unknown";
            };
            EXPECT_TRUE(waitUntil(isFinal)) << keys[index];
        }
    }

    void checkOutcomes(std::string const& scenario, std::size_t faults, std::chrono::milliseconds faultDuration = 0ms)
    {
        auto const replies = m_clients.replies();
        auto counts = Integration::countOutcomes(replies, Integration::executionsByKey(m_cluster));
        counts.faults = faults;
        for (auto const& reply : replies) {
            bool const isLate = reply.endedAt - reply.sentAt > 3s + RefundClients::margin + faultDuration;
            counts.lost += isLate || (reply.status == 0 && !m_nodeKilled) ? 1 : 0;
        }
        std::printf("promise=at_most_once scenario=%s seed=%llu %s\n", scenario.c_str(), static_cast<unsigned long long>(seed), counts.toString().c_str());
        EXPECT_EQ(counts.executedTwice, 0u);
        EXPECT_EQ(counts.wronglyNotRun, 0u);
        EXPECT_EQ(counts.differentReplays, 0u);
        EXPECT_EQ(counts.lost, 0u);
        EXPECT_GT(counts.answered, 0u);
    }

    static std::vector<std::string> newKeys()
    {
        std::vector<std::string> keys(keysPerScenario);
        std::generate(keys.begin(), keys.end(), Integration::newKey);
        return keys;
    }

    Cluster m_cluster { clusterOptions() };
    RefundClients m_clients;
    bool m_nodeKilled { false };
};

struct FaultCase {
    char const* name;
    std::size_t faults;
    PlatformFaults platform {};
    /// Faults of the link from data centre 0 to the platform.
    ProxyFaults proxy {};
    /// Fault switches of the plain services, as JSON.
    char const* service { "{}" };
};

std::ostream& operator<<(std::ostream& stream, FaultCase const& fault)
{
    return stream << fault.name;
}

PlatformFaults platformFaults(std::uint64_t slowMs, bool down, std::uint64_t dropWriteAnswers)
{
    PlatformFaults faults;
    faults.slowMs = slowMs;
    faults.down = down;
    faults.dropWriteAnswers = dropWriteAnswers;
    return faults;
}

ProxyFaults proxyFaults(bool cut, std::uint64_t delayMs, std::uint64_t dropAnswers)
{
    ProxyFaults faults;
    faults.cut = cut;
    faults.delayMs = delayMs;
    faults.dropAnswers = dropAnswers;
    return faults;
}

class AtMostOnceFault : public AtMostOnce, public testing::WithParamInterface<FaultCase> { };

}

// Guards against a second execution, a false "not run", a lost request and a replay that differs from the original answer (I3, I4),
// when clients repeat refunds at other nodes and in another data centre, concurrently and afterwards.
TEST_P(AtMostOnceFault, HoldsForRepeatedRefunds)
{
    auto const& fault = GetParam();
    auto const keys = newKeys();
    auto const first = std::vector<std::string>(keys.begin(), keys.begin() + keysPerScenario / 4);
    auto const others = std::vector<std::string>(keys.begin() + keysPerScenario / 4, keys.end());
    runClients(first);
    m_cluster.platform().setFaults(fault.platform);
    m_cluster.platformProxy().setFaults(fault.proxy, 0);
    setServiceFaults(boost::json::parse(fault.service).as_object());
    runClients(others);
    // Repeats the keys that ran before the fault while the fault lasts.
    runClients(first);
    checkOutcomes(std::string(fault.name) + "/before_repair", fault.faults);
    clearFaults();
    resolveOutcomes(keys);
    checkOutcomes(fault.name, fault.faults);
}

INSTANTIATE_TEST_SUITE_P(Faults, AtMostOnceFault, testing::Values( //
                                                      FaultCase { "platform_down", 1, platformFaults(0, true, 0) }, FaultCase { "platform_slow", 1, platformFaults(700, false, 0) }, FaultCase { "platform_slower_than_timeouts", 1, platformFaults(2500, false, 0) }, FaultCase { "platform_loses_write_answers", 6, platformFaults(0, false, 6) }, FaultCase { "data_centre_cut_from_platform", 1, {}, proxyFaults(true, 0, 0) }, FaultCase { "proxy_drops_platform_answers", 10, {}, proxyFaults(false, 0, 10) }, FaultCase { "service_slow", 1, {}, {}, R"({"delayMs":1500})" }, FaultCase { "service_slower_than_deadline", 1, {}, {}, R"({"delayMs":4000})" }, FaultCase { "service_drops_answers", 12, {}, {}, R"({"dropAnswer":true,"requests":12})" }, FaultCase { "service_truncates_answers", 12, {}, {}, R"({"truncateAnswer":true,"requests":12})" }, FaultCase { "service_answers_twice", 1, {}, {}, R"({"answerTwice":true})" }, FaultCase { "service_answers_with_other_attempt", 12, {}, {}, R"({"crossAttempts":true,"requests":12})" }, FaultCase { "service_fails", 1, {}, {}, R"({"fail":true})" }, FaultCase { "platform_slow_and_service_drops_answers", 13, platformFaults(300, false, 0), {}, R"({"dropAnswer":true,"requests":12})" }),
    [](auto const& info) { return std::string(info.param.name); });

// Guards against violations of I3 and I4 when faults of several kinds overlap and a random node freezes in each round.
TEST_F(AtMostOnce, HoldsInASeededMixOfFaults)
{
    static constexpr unsigned rounds = 2;
    static constexpr std::array services { "{}", R"({"delayMs":800})", R"({"dropAnswer":true,"requests":4})", R"({"truncateAnswer":true,"requests":4})", R"({"crossAttempts":true,"requests":4})", R"({"fail":true,"requests":4})", R"({"answerTwice":true})" };
    Core::Random random(seed);
    std::vector<std::string> all;
    std::size_t faults = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        // One draw for each statement, because the order in which arguments are evaluated is unspecified.
        auto const slowMs = random.below(2) * 300;
        auto const isDown = round > 0 && random.below(3) == 0;
        auto const lostWriteAnswers = random.below(4);
        auto const isCut = random.below(3) == 0;
        auto const delayMs = random.below(2) * 100;
        auto const cutDataCentre = random.below(2);
        auto const* service = services[random.below(services.size())];
        m_cluster.platform().setFaults(platformFaults(slowMs, isDown, lostWriteAnswers));
        m_cluster.platformProxy().setFaults(proxyFaults(isCut, delayMs, 2), cutDataCentre);
        setServiceFaults(boost::json::parse(service).as_object());
        std::printf("round=%u slow_ms=%zu down=%d lost_write_answers=%zu cut=%d delay_ms=%zu data_centre=%zu service=%s\n", round, static_cast<std::size_t>(slowMs), isDown, static_cast<std::size_t>(lostWriteAnswers), isCut, static_cast<std::size_t>(delayMs), static_cast<std::size_t>(cutDataCentre), service);
        auto& frozen = m_cluster.node(random.below(m_cluster.nodes().size()));
        frozen.process->sendSignal(SIGSTOP);
        faults += 4;
        std::vector<std::jthread> threads;
        auto const before = m_clients.replyCount();
        for (auto const& key : newKeys()) {
            all.push_back(key);
            threads.emplace_back([this, key, clientSeed = seed + all.size()] { runClient(key, clientSeed); });
        }
        // The frozen node answers its requests after SIGCONT.
        EXPECT_TRUE(waitUntil([&] { return m_clients.replyCount() >= before + keysPerScenario / 2; }));
        frozen.process->sendSignal(SIGCONT);
        threads.clear();
        clearFaults();
    }
    checkOutcomes("seeded_mix/before_repair", faults, 10s);
    resolveOutcomes(all);
    checkOutcomes("seeded_mix", faults, 10s);
}

// Guards against a refusal with the run state "unknown", and against a lost key, when the connection to the back end is refused:
// the host is gone but still listed, and no byte was sent.
TEST_F(AtMostOnce, RefusedConnectionsRunNothing)
{
    auto const listed = m_cluster.services();
    std::vector<Platform::Host> hosts;
    hosts.reserve(listed.size());
    for (auto const& server : listed)
        hosts.push_back({ server.id, Platform::HostRole::Backend, { "127.0.0.1", 1 }, "storefront", "", server.dataCentre, server.dataCentre + "-zone", "small", true, Platform::HostState::Live, 2 });
    m_cluster.platform().registerHosts(hosts);
    auto const key = Integration::newKey();
    auto const isRefused = [&] { return m_clients.send(m_cluster.node(0), Integration::newKey()).runState == "not_run"; };
    ASSERT_TRUE(waitUntil(isRefused));
    for (auto const& node : m_cluster.nodes())
        (void)m_clients.send(*node, key);
    checkOutcomes("connections_refused", listed.size());
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        hosts[index].endpoint = listed[index].endpoint;
        hosts[index].incarnation = 3;
    }
    m_cluster.platform().registerHosts(hosts);
    resolveOutcomes({ key });
    EXPECT_EQ(m_cluster.executionsOf(key), 1u);
    checkOutcomes("connections_refused", listed.size());
}

// Guards against calls with the outcome "unknown" when a leaving server refused them before the nodes knew that it leaves.
TEST_F(AtMostOnce, RefusalOfALeavingServerIsNotRun)
{
    auto const& leaving = m_cluster.services().front();
    TestSupport::callStandIn(leaving.endpoint, "PUT", "/stand-in/faults", { { "leaving", true } });
    std::vector<std::jthread> clients;
    for (auto const& node : m_cluster.nodes()) {
        clients.emplace_back([this, &node] {
            for (int call = 0; call < 6; ++call)
                EXPECT_TRUE(m_clients.send(*node, Integration::newKey()).isAnswer());
        });
    }
    clients.clear();
    auto const record = TestSupport::callStandIn(leaving.endpoint, "GET", "/stand-in/record");
    EXPECT_GT(record.at("totals").at("refused").to_number<int>(), 0);
    checkOutcomes("leaving_service", 1);
}

// Guards against "not run" for a key that ran, from a draining node that refuses the repeat before it reads the journal.
TEST_F(AtMostOnce, DrainingNodeDoesNotClaimNotRun)
{
    auto const key = Integration::newKey();
    setServiceFaults({ { "dropAnswer", true } });
    EXPECT_EQ(m_clients.send(m_cluster.node(0), key).runState, "unknown");
    auto& draining = m_cluster.node(1);
    ASSERT_TRUE(TestSupport::callStandIn(draining.operatorEndpoint, "POST", "/operator/drain").is_object());
    auto const refused = m_clients.send(draining, key);
    EXPECT_EQ(refused.kind, "draining");
    EXPECT_EQ(refused.runState, "unknown");
    clearFaults();
    m_clients.send(m_cluster.node(2), Integration::newKey());
    checkOutcomes("draining_node", 2);
}

// Guards against repeats that wait until their deadline for a writer whose host was replaced under the same node id.
TEST_F(AtMostOnce, ReplacedNodeIsNotTheWriter)
{
    auto const key = Integration::newKey();
    setServiceFaults({ { "delayMs", 1000 } });
    m_nodeKilled = true;
    std::jthread firstRequest([&] { m_clients.send(m_cluster.node(0), key); });
    ASSERT_TRUE(waitUntil([&] { return m_cluster.executionsOf(key) == 1; }));
    m_cluster.node(0).process->sendSignal(SIGKILL);
    firstRequest.join();
    clearFaults();
    auto& replacement = m_cluster.addNode(m_cluster.node(0).id, m_cluster.node(0).dataCentre);
    ASSERT_TRUE(waitUntil([&] { return m_clients.send(replacement, Integration::newKey()).isAnswer(); }));
    for (ClusterNode const* node : { &std::as_const(replacement), &std::as_const(m_cluster.node(1)) }) {
        auto const reply = m_clients.send(*node, key, 20s);
        EXPECT_EQ(reply.kind, "outcome_unknown");
        EXPECT_LT(reply.endedAt - reply.sentAt, 10s);
    }
    checkOutcomes("replaced_node", 1, 10s);
}

namespace {

enum class Step {
    BeforeIntent,
    BetweenIntentAndCall,
    CallSent,
    AnswerOnItsWay,
};

// Which node writes the intent and which one is stopped. The caller is node 0, which receives the request.
enum class Roles {
    StoppedCallerIsWriter,
    StoppedCallerHasOtherWriter,
    StoppedWriterOfOther,
};

using StepCase = std::tuple<Step, int, Roles>;

std::string nameOf(StepCase const& stepCase)
{
    static constexpr std::array steps { "before_intent", "between_intent_and_call", "after_call_was_sent", "with_answer_on_its_way" };
    static constexpr std::array roles { "caller_and_writer", "caller", "writer" };
    auto const [step, signal, role] = stepCase;
    return std::string(roles[static_cast<std::size_t>(role)]) + (signal == SIGKILL ? "_killed_" : "_frozen_") + steps[static_cast<std::size_t>(step)];
}

class AtMostOnceStep : public AtMostOnce, public testing::WithParamInterface<StepCase> {
protected:
    // Returns a new key whose intent is preferably written by the given node.
    std::string keyWithPreferredWriter(ClusterNode const& writer)
    {
        std::vector<Membership::NodeRow> rows;
        for (auto const& node : m_cluster.nodes())
            rows.emplace_back().id = node->id;
        std::vector<Membership::NodeRow const*> pointers;
        pointers.reserve(rows.size());
        for (auto const& row : rows)
            pointers.push_back(&row);
        while (true) {
            auto key = Integration::newKey();
            Core::Error error;
            auto const location = Intent::locationOf("classroom", "storefront", *Intent::parseIntentKey(key, error), {});
            if (Membership::rendezvousRank(Intent::shardObjectName(location, 0), pointers).front()->id == writer.id)
                return key;
        }
    }

    // Waits until the request at node 0 has reached the step. Both writers are in data centre 0, and the proxy delays traffic between
    // it and the platform, so that the platform records a write before the node receives the response.
    bool waitForStep(Step step, std::string const& key, std::uint64_t readsBefore)
    {
        switch (step) {
        case Step::BeforeIntent:
            return waitUntil([&] { return m_cluster.platform().callCount("read") > readsBefore; });
        case Step::BetweenIntentAndCall:
            return waitUntil([&] { return intentWrites() >= 1; });
        case Step::CallSent:
            return waitUntil([&] { return m_cluster.executionsOf(key) == 1; });
        case Step::AnswerOnItsWay:
            break;
        }
        return waitUntil([&] { return m_cluster.executionsOf(key) == 1 && intentWrites() >= 2; });
    }
};

}

// Guards against a second execution and a false "not run" when the caller or the writer of the intent is killed or frozen at a step
// of the call, and the client repeats the call at other nodes while that node is stopped and after it has resumed.
TEST_P(AtMostOnceStep, HoldsWhenTheNodeStops)
{
    auto const [step, signal, roles] = GetParam();
    m_nodeKilled = signal == SIGKILL;
    auto const key = keyWithPreferredWriter(m_cluster.node(roles == Roles::StoppedCallerIsWriter ? 0 : 1));
    auto& stopped = m_cluster.node(roles == Roles::StoppedWriterOfOther ? 1 : 0);
    auto const& survivor = m_cluster.node(roles == Roles::StoppedWriterOfOther ? 0 : 1);
    auto const reads = m_cluster.platform().callCount("read");
    ProxyFaults slowLink;
    slowLink.delayMs = step == Step::CallSent ? 0 : 400;
    m_cluster.platformProxy().setFaults(slowLink, 0);
    if (step == Step::CallSent)
        setServiceFaults({ { "delayMs", 1000 } });
    auto const sentAt = std::chrono::steady_clock::now();
    std::jthread firstRequest([&] { m_clients.send(m_cluster.node(0), key); });
    ASSERT_TRUE(waitForStep(step, key, reads));
    stopped.process->sendSignal(signal);
    std::jthread sameDataCentre([&] { m_clients.send(survivor, key); });
    m_clients.send(m_cluster.node(2), key);
    m_clients.send(m_cluster.node(3), key);
    sameDataCentre.join();
    stopped.process->sendSignal(SIGCONT);
    firstRequest.join();
    auto const faultDuration = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt);
    clearFaults();
    for (auto const& node : m_cluster.nodes()) {
        if (node.get() != &stopped)
            m_clients.send(*node, key);
    }
    auto const executions = m_cluster.executionsOf(key);
    EXPECT_LE(executions, 1u);
    EXPECT_TRUE(executions == 1 || step < Step::CallSent);
    m_clients.send(survivor, Integration::newKey());
    checkOutcomes(nameOf(GetParam()), 1, faultDuration);
}

INSTANTIATE_TEST_SUITE_P(Steps, AtMostOnceStep,
    testing::Combine(testing::Values(Step::BeforeIntent, Step::BetweenIntentAndCall, Step::CallSent, Step::AnswerOnItsWay), testing::Values(SIGKILL, SIGSTOP),
        testing::Values(Roles::StoppedCallerIsWriter, Roles::StoppedCallerHasOtherWriter, Roles::StoppedWriterOfOther)),
    [](auto const& info) { return nameOf(info.param); });
