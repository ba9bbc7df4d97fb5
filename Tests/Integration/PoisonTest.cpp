#include <Integration/LoadClients.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Integration::ResponseReader;

// Guards against a request that crashes one engine after another, at every node and each time it is sent again, and against
// refusing other requests that ran in the same batches.
TEST(PoisonTest, CrashingRequestIsStopped)
{
    Integration::Cluster cluster { { .enginesPerDataCentre = 3, .servicesPerDataCentre = 0, .engineFlags = { "--crash_token=poison", "--restart_ms=200" } } };
    cluster.start();
    Integration::LoadClients load(cluster, { .streamingClients = 6, .bufferedClients = 2, .serviceClients = 0 });
    ASSERT_TRUE(load.waitForFinishedRequests(20));
    unsigned refused = 0;
    unsigned sent = 0;
    std::uint64_t crashesOfFirstRound = 0;
    for (unsigned round = 0; round < 3; ++round) {
        for (auto const& node : cluster.nodes()) {
            ++sent;
            // Retries, because a request is refused as not run while all engines restart.
            auto const isQuarantined = [&, &client = node->clientEndpoint] {
                ResponseReader reader(client, Integration::chatRequest("poison length=20", true));
                reader.readAll();
                EXPECT_FALSE(reader.complete());
                return reader.error().find("request_quarantined") != std::string::npos;
            };
            refused += TestSupport::waitUntil(isQuarantined) ? 1 : 0;
        }
        // A node quarantines the request after three crashes. Other nodes may receive the request before they learn of it.
        auto const crashes = cluster.engineTotal("crashes");
        EXPECT_GE(crashes, 1u);
        EXPECT_LE(crashes, round == 0 ? 3 * cluster.nodes().size() : crashesOfFirstRound);
        crashesOfFirstRound = round == 0 ? crashes : crashesOfFirstRound;
    }
    EXPECT_TRUE(load.waitForFinishedRequests(20));
    auto counts = load.stop();
    counts.faults = cluster.engineTotal("crashes");
    Integration::printCounts("poison", counts);
    std::printf("figures: poison_sent=%u crashes=%llu\n", sent, static_cast<unsigned long long>(counts.faults));
    EXPECT_EQ(refused, sent);
    EXPECT_EQ(counts.lost, 0u);
    EXPECT_EQ(counts.wrong, 0u);
    EXPECT_EQ(counts.cutOff, 0u);
    if (testing::Test::HasFailure())
        std::fputs(cluster.nodeLogs().c_str(), stderr);
}
