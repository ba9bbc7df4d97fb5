#include <EdgeService/EdgeServiceFixture.h>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/parse.hpp>

using namespace EdgeServiceTests;

namespace {

// A store that a node can be cut off from, without the others.
class SwitchableStore final : public Platform::ObjectStore {
public:
    explicit SwitchableStore(Platform::ObjectStore& store)
        : m_store(store)
    {
    }

    bool isReachable { true };

    std::uint64_t era() const override { return m_store.era(); }
    Core::Awaitable<std::optional<Platform::StoredObject>> read(Platform::ObjectKey key, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.read(std::move(key), deadline, error) : refuse<std::optional<Platform::StoredObject>>(error); }
    Core::Awaitable<std::optional<Platform::ObjectList>> list(std::string kind, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.list(std::move(kind), deadline, error) : refuse<std::optional<Platform::ObjectList>>(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> create(Platform::ObjectKey key, std::string value, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.create(std::move(key), std::move(value), deadline, error) : refuse<std::optional<Core::StoreRevision>>(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> update(Platform::ObjectKey key, std::string value, Core::StoreRevision version, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.update(std::move(key), std::move(value), version, deadline, error) : refuse<std::optional<Core::StoreRevision>>(error); }
    Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(Platform::ObjectKey key, std::string status, Core::StoreRevision version, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.updateStatus(std::move(key), std::move(status), version, deadline, error) : refuse<std::optional<Core::StoreRevision>>(error); }
    Core::Awaitable<bool> remove(Platform::ObjectKey key, Core::StoreRevision version, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.remove(std::move(key), version, deadline, error) : refuse<bool>(error); }
    Core::Awaitable<std::optional<Platform::ObjectChanges>> waitForChanges(std::string kind, Core::StoreRevision version, Core::MonotonicTime deadline, Core::Error& error) override { return isReachable ? m_store.waitForChanges(std::move(kind), version, deadline, error) : refuse<std::optional<Platform::ObjectChanges>>(error); }

private:
    template <typename Result>
    static Core::Awaitable<Result> refuse(Core::Error& error)
    {
        Core::fail(error, Core::ErrorKind::StoreUnavailable, "cut off");
        co_return Result {};
    }

    Platform::ObjectStore& m_store;
};

// Two nodes, three servers of version v1, and the servers of v2 that the platform starts beside them.
class RolloutTest : public EdgeServiceTest {
protected:
    RolloutTest()
    {
        m_rolloutShare = 0.1;
        m_retrySlack = 1000;
        for (int i = 0; i < 3; ++i)
            addServer([](auto const& request) { return sound(request); });
    }

    // Takes some time, so that the load is spread over the servers.
    static Reply reply(std::string const& request, std::string const& status)
    {
        Reply reply { httpResponse(attemptIdOf(request), "body", "Connection: close\r\n", status) };
        reply.delay = 20ms;
        reply.ending = Reply::Ending::Close;
        return reply;
    }

    static Reply sound(std::string const& request) { return reply(request, "200 OK"); }

    // Fails every second request.
    static RawServer::Script failingScript()
    {
        return [count = 0](std::string const& request) mutable { return reply(request, ++count % 2 == 0 ? "500 Internal Server Error" : "200 OK"); };
    }

    void startNodes()
    {
        using asio::ip::udp;
        m_storeEndpoint = m_store.start();
        m_storeConnection.emplace(m_loop.runtime(), m_storeEndpoint);
        putConfiguration(1);
        auto const port = udp::socket(m_loop.runtime().context(), udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)).local_endpoint().port();
        for (int i = 1; i <= 2; ++i) {
            auto const number = std::to_string(i);
            m_connections.push_back(std::make_unique<StoreConnection>(m_loop.runtime(), m_storeEndpoint));
            m_stores.push_back(std::make_unique<SwitchableStore>(m_connections.back()->store));
            m_nodes.push_back(makeService("node" + number, { "127.0.0." + number, port }, { "127.0.0.1", "127.0.0.2" }, m_stores.back().get()));
        }
        waitFor([&] { return std::all_of(m_nodes.begin(), m_nodes.end(), [](auto const& node) { return node->tables().isUsable() && node->tables().peers.rows.size() == 1 && node->tables().rollouts.ordersRevision.number != 0; }); });
    }

    void startSecondVersion(RawServer::Script const& script, int count = 3)
    {
        for (int i = 0; i < count; ++i) {
            auto const& server = *m_servers.emplace_back(std::make_unique<RawServer>(m_loop.runtime(), script));
            auto const id = "s" + std::to_string(m_servers.size());
            m_store.put("servers", id, R"({"service":"app","address":")" + server.endpoint().toString() + R"(","zone":"a","version":"v2","slots":6,"state":"ready","seq":1})");
        }
    }

    void order(std::string const& periodSeconds) { m_store.put("rollouts", "app", R"({"service":"app","to":"v2","period-s":)" + periodSeconds + "}"); }

    std::string storedState() const
    {
        auto const found = m_store.objects().objects.find({ "rollouts", "app" });
        if (found == m_store.objects().objects.end() || found->second.status.empty())
            return "";
        return std::string(boost::json::parse(found->second.status).at("state").as_string());
    }

    Core::Awaitable<void> sendOne(std::size_t node)
    {
        auto const id = "id" + std::to_string(++m_requests);
        auto const response = co_await exchangeTask(m_nodes.at(node)->settings().clientListen, request("/safe/" + id, id, "GET", "Connection: close\r\n"), 3s);
        m_refused += statusOf(response) == "200" || statusOf(response) == "500" ? 0 : 1;
        ++m_finished;
    }

    // Sends requests to both nodes by turns until the condition holds, and for the given time after it.
    template <typename Condition>
    void sendUntil(Condition condition, Core::Duration after = {})
    {
        static constexpr Core::Duration interval = 5ms;
        auto const deadline = m_loop.deadline();
        auto task = [&]() -> Core::Awaitable<bool> {
            std::optional<Core::MonotonicTime> heldAt;
            while (m_loop.runtime().now() < deadline && (!heldAt || m_loop.runtime().now() < *heldAt + after)) {
                m_loop.runtime().spawn(sendOne(static_cast<std::size_t>(m_requests) % m_nodes.size()));
                co_await m_loop.runtime().sleepFor(interval);
                if (!heldAt && condition())
                    heldAt = m_loop.runtime().now();
            }
            while (m_finished < m_requests && m_loop.runtime().now() < deadline)
                co_await m_loop.runtime().sleepFor(interval);
            co_return heldAt.has_value();
        };
        ASSERT_TRUE(m_loop.run(task())) << storedState();
    }

    std::size_t requestsAtSecondVersion() const
    {
        std::size_t requests = 0;
        for (std::size_t i = 3; i < m_servers.size(); ++i)
            requests += m_servers[i]->requests.size();
        return requests;
    }

    // A tenth of the requests, and 50 more.
    void expectWithinBound() const { EXPECT_LE(static_cast<double>(requestsAtSecondVersion()), 0.1 * m_requests + 50) << "of " << m_requests; }

    bool isBadAtAllNodes() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](auto const& node) {
            auto const& rows = node->tables().rollouts.rows;
            return rows.contains("app") && Rollout::isRejected(rows.at("app").order);
        });
    }

    std::size_t holder() const { return m_nodes[0]->tables().peers.own.holdsDuties ? 0 : 1; }

    int m_requests { 0 };
    int m_finished { 0 };
    int m_refused { 0 };
    std::vector<std::unique_ptr<StoreConnection>> m_connections;
    std::vector<std::unique_ptr<SwitchableStore>> m_stores;
    std::vector<std::unique_ptr<Edge::EdgeService>> m_nodes;
};

}

// Guards against a good version that is not completed, and against requests at the old servers when the platform stops them.
TEST_F(RolloutTest, GoodVersionIsCompletedBeforeTheDeadline)
{
    startNodes();
    order("4");
    auto const orderedAt = m_loop.runtime().now();
    startSecondVersion(sound);
    std::size_t atOldServers = 0;
    sendUntil([&] {
        for (std::size_t i = 0; i < 3; ++i)
            atOldServers = std::max(atOldServers, m_servers[i]->requests.size());
        return storedState() == "completed";
    });
    EXPECT_LT(m_loop.runtime().now() - orderedAt, 4s);
    EXPECT_EQ(m_refused, 0);
    std::size_t const before = m_servers[0]->requests.size() + m_servers[1]->requests.size() + m_servers[2]->requests.size();
    sendUntil([] { return true; }, 300ms);
    EXPECT_EQ(m_servers[0]->requests.size() + m_servers[1]->requests.size() + m_servers[2]->requests.size(), before);
}

TEST_F(RolloutTest, BadVersionIsRolledBackWithinTheBound)
{
    startNodes();
    order("4");
    auto const orderedAt = m_loop.runtime().now();
    startSecondVersion(failingScript());
    sendUntil([&] { return storedState() == "rolled_back"; });
    EXPECT_LT(m_loop.runtime().now() - orderedAt, 4s);
    EXPECT_GT(requestsAtSecondVersion(), 0u);
    expectWithinBound();
    auto const before = requestsAtSecondVersion();
    sendUntil([] { return true; }, 500ms);
    EXPECT_EQ(requestsAtSecondVersion(), before);
    EXPECT_EQ(m_refused, 0);
    auto const description = exchangeWith(m_nodes[0]->settings().metricsListen, request("/rollouts"));
    EXPECT_NE(description.find(R"("state":"rolled_back")"), std::string::npos) << description;
}

// Guards against a bad version that goes on serving because its state cannot be written.
TEST_F(RolloutTest, BadVersionIsStoppedWhileTheStoreIsDown)
{
    startNodes();
    order("4");
    startSecondVersion(failingScript());
    sendUntil([&] { return requestsAtSecondVersion() >= 1; });
    m_store.forcedStatus = 503;
    sendUntil([&] { return isBadAtAllNodes(); });
    auto const before = requestsAtSecondVersion();
    sendUntil([] { return true; }, 500ms);
    EXPECT_EQ(requestsAtSecondVersion(), before);
    expectWithinBound();
    m_store.forcedStatus.reset();
    sendUntil([&] { return storedState() == "rolled_back"; });
    EXPECT_EQ(requestsAtSecondVersion(), before);
}

// Guards against an order that nobody ends: its reader loses the store halfway, and its lease expires.
TEST_F(RolloutTest, AnotherNodeEndsTheOrderOfAHolderThatGoesAway)
{
    m_leaseDuration = 500ms;
    startNodes();
    waitFor([&] { return m_nodes[0]->tables().peers.own.holdsDuties || m_nodes[1]->tables().peers.own.holdsDuties; });
    order("8");
    auto const orderedAt = m_loop.runtime().now();
    startSecondVersion(sound);
    sendUntil([&] { return requestsAtSecondVersion() >= 20; });
    m_stores[holder()]->isReachable = false;
    sendUntil([&] { return storedState() == "completed"; });
    EXPECT_LT(m_loop.runtime().now() - orderedAt, 8s);
}

TEST_F(RolloutTest, AnotherNodeRollsBackForAHolderThatLosesTheStore)
{
    startNodes();
    waitFor([&] { return m_nodes[0]->tables().peers.own.holdsDuties || m_nodes[1]->tables().peers.own.holdsDuties; });
    order("4");
    auto const orderedAt = m_loop.runtime().now();
    startSecondVersion(failingScript());
    sendUntil([&] { return requestsAtSecondVersion() >= 1; });
    m_stores[holder()]->isReachable = false;
    sendUntil([&] { return storedState() == "rolled_back"; });
    EXPECT_LT(m_loop.runtime().now() - orderedAt, 4s);
    expectWithinBound();
}

TEST_F(RolloutTest, VersionThatIsRolledBackStaysSoAfterARestoration)
{
    startNodes();
    order("3");
    startSecondVersion(failingScript());
    auto const copy = m_store.objects();
    sendUntil([&] { return storedState() == "rolled_back"; });
    auto const before = requestsAtSecondVersion();
    m_store.restore(copy);
    EXPECT_NE(storedState(), "rolled_back");
    sendUntil([&] { return storedState() == "rolled_back"; });
    EXPECT_EQ(requestsAtSecondVersion(), before);
}

// Guards against a state that a restarted node does not know: it gets it from the other one.
TEST_F(RolloutTest, RestartedNodeSendsNothingToARolledBackVersion)
{
    startNodes();
    order("3");
    startSecondVersion(failingScript());
    sendUntil([&] { return storedState() == "rolled_back"; });
    auto const before = requestsAtSecondVersion();
    // Has no state, as after a restart, and does not read the orders itself.
    m_nodes.push_back(makeService("node3", { "127.0.0.3", m_nodes[0]->settings().peerListen.port }, { "127.0.0.1", "127.0.0.2" }));
    waitFor([&] { return m_nodes.back()->tables().isUsable(); });
    sendUntil([] { return true; }, 1s);
    EXPECT_EQ(requestsAtSecondVersion(), before);
}

// The baseline: without the feature, a bad version gets traffic in proportion to its servers.
TEST_F(RolloutTest, WithoutTheFeatureABadVersionExceedsTheBound)
{
    m_rolloutShare = 0;
    start();
    m_nodes.push_back(std::move(m_service));
    order("3");
    startSecondVersion(failingScript());
    waitFor([&] { return m_nodes[0]->tables().servers.rows.size() == 6; });
    sendUntil([] { return true; }, 1500ms);
    EXPECT_GT(static_cast<double>(requestsAtSecondVersion()), 0.1 * m_requests + 50);
    EXPECT_EQ(storedState(), "");
}

TEST_F(RolloutTest, VersionWithoutAnOrderServesAsBefore)
{
    startNodes();
    startSecondVersion(sound);
    // Until a node knows that no order names the version, it gets a small share.
    waitFor([&] {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](auto const& node) {
            auto const& rollouts = node->tables().rollouts;
            auto const found = rollouts.versions.find({ "app", "v2" });
            return found != rollouts.versions.end() && found->second <= rollouts.ordersRevision;
        });
    });
    sendUntil([&] { return requestsAtSecondVersion() >= 100; });
    EXPECT_GT(requestsAtSecondVersion(), static_cast<std::size_t>(m_requests) / 4);
    EXPECT_EQ(m_refused, 0);
}

TEST_F(RolloutTest, OrderWithoutServersOfTheVersionIsRolledBackByItsDeadline)
{
    startNodes();
    order("3");
    auto const orderedAt = m_loop.runtime().now();
    waitFor([&] { return storedState() == "rolled_back"; });
    EXPECT_LT(m_loop.runtime().now() - orderedAt, 3s);
}

// Guards against orders of other writers that stop the reader, or the version that serves.
TEST_F(RolloutTest, OrderThatCannotBeServedGetsAReason)
{
    startNodes();
    m_store.put("rollouts", "zzz", "[1,{}]");
    m_store.put("rollouts", "yyy", R"({"service":"yyy","to":"v2","period-s":1e999})");
    m_store.put("rollouts", "app", R"({"service":"app","to":"v1","period-s":-1})");
    m_store.put("rollouts", "none", R"({"service":"none","to":"v2","period-s":3})");
    auto const statusOfOrder = [&](std::string const& name) { return m_store.objects().objects.at({ "rollouts", name }).status; };
    waitFor([&] { return statusOfOrder("none").find("reason") != std::string::npos && !statusOfOrder("app").empty(); });
    sendUntil([] { return true; }, 300ms);
    EXPECT_EQ(m_refused, 0);
}

TEST_F(RolloutTest, SecondOrderReplacesTheFirst)
{
    startNodes();
    order("30");
    startSecondVersion(sound);
    sendUntil([&] { return requestsAtSecondVersion() >= 5; });
    m_store.put("rollouts", "app", R"({"service":"app","to":"v1","period-s":5})");
    sendUntil([&] { return storedState() == "completed"; });
    auto const before = requestsAtSecondVersion();
    sendUntil([] { return true; }, 300ms);
    EXPECT_EQ(requestsAtSecondVersion(), before);
}
