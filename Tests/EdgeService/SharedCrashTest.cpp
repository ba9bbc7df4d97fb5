#include <EdgeService/EdgeServiceFixture.h>
#include <boost/asio/ip/udp.hpp>

using namespace EdgeServiceTests;

// Nodes that send each other reports. Requests of the same path, team and body come at one node after the other.
class SharedCrashTest : public EdgeServiceTest {
protected:
    static constexpr int nodeCount = 4;

    void startNodes()
    {
        using asio::ip::udp;
        start();
        auto const port = udp::socket(m_loop.runtime().context(), udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)).local_endpoint().port();
        for (int i = 1; i <= nodeCount; ++i) {
            auto const number = std::to_string(i);
            m_nodes.push_back(makeService("node" + number, { "127.0.0." + number, port }, { "127.0.0.1", "127.0.0.2" }));
        }
        waitFor([&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(), [](auto const& node) {
                return node->tables().isUsable() && node->tables().peers.rows.size() == nodeCount - 1;
            });
        });
    }

    std::string send(int node, std::string const& path)
    {
        auto const id = "id" + std::to_string(++m_requests);
        auto const bytes = request(path, id, "POST", "Connection: close\r\nContent-Length: 0\r\n");
        return statusOf(m_loop.run(exchangeTask(m_nodes.at(static_cast<std::size_t>(node % nodeCount))->settings().clientListen, bytes, 700ms)));
    }

    // Longer than crashes count as one, and than the interval of reports.
    void waitBetweenCrashes()
    {
        m_loop.run([this]() -> Core::Awaitable<bool> {
            co_await m_loop.runtime().sleepFor(650ms);
            co_return true;
        }());
    }

    std::size_t countArrivals(std::string const& path) const
    {
        std::size_t arrivals = 0;
        for (auto const& server : m_servers) {
            for (auto const& request : server->requests)
                arrivals += request.find(" " + path + " ") != std::string::npos ? 1 : 0;
        }
        return arrivals;
    }

    int m_requests { 0 };
    std::vector<std::unique_ptr<Edge::EdgeService>> m_nodes;
};

// Guards against a request that goes on crashing servers because it comes at another node each time, none of which sees three crashes (BUDGET).
TEST_F(SharedCrashTest, RepeatedRequestAtOneNodeAfterTheOtherIsRefusedAfterThreeCrashes)
{
    for (int i = 0; i < 6; ++i) {
        addServer([](auto const& request) {
            if (request.find("/unsafe/deadly ") != std::string::npos)
                return Reply { .ending = Reply::Ending::Crash };
            return Reply { httpResponse(attemptIdOf(request), "body") };
        });
    }
    startNodes();
    for (int i = 0; i < 9; ++i) {
        EXPECT_EQ(send(i, "/unsafe/deadly"), i < 3 ? "502" : "503") << i;
        for (int node = 0; node < nodeCount; ++node)
            EXPECT_EQ(send(node, "/unsafe/sound"), "200") << i;
        waitBetweenCrashes();
        // Reports give the age of a crash in milliseconds, and it grows on the way. A node that gets its only sound response within a
        // millisecond of a crash cannot tell that the response came later, so the crash does not count until the next one.
        for (int node = 0; node < nodeCount; ++node)
            EXPECT_EQ(send(node, "/unsafe/sound"), "200") << i;
    }
    EXPECT_EQ(countArrivals("/unsafe/deadly"), 3u);
}

// Guards against the refusal of a repeated sound request that is at servers when they crash for another reason, and succeeds in between.
TEST_F(SharedCrashTest, RepeatedRequestThatSucceedsBetweenCrashesIsNotRefused)
{
    bool isCrashing = false;
    for (int i = 0; i < 6; ++i) {
        addServer([&](auto const& request) {
            if (isCrashing)
                return Reply { .ending = Reply::Ending::Crash };
            return Reply { httpResponse(attemptIdOf(request), "body") };
        });
    }
    startNodes();
    for (int i = 0; i < 5; ++i) {
        isCrashing = true;
        EXPECT_EQ(send(i, "/unsafe/popular"), "502") << i;
        isCrashing = false;
        for (int node = 0; node < nodeCount; ++node)
            EXPECT_EQ(send(node, "/unsafe/popular"), "200") << i;
        waitBetweenCrashes();
    }
}
