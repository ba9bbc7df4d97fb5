#include <LibForward/ServerDirectory.h>
#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

class ServerDirectoryTest : public testing::Test {
protected:
    void SetUp() override
    {
        for (int i = 0; i < 6; ++i)
            Forward::registerServer(m_directory, { .id = "s" + std::to_string(i), .service = "model" });
    }

    std::size_t inUse() { return Forward::serversInUse(m_directory, m_now).size(); }

    Forward::ServerDirectory m_directory;
    Core::MonotonicTime m_now { 100s };
};

}

// Guards against new work for a server that was removed without having been marked as leaving.
TEST_F(ServerDirectoryTest, ARemovedServerIsOutOfUseAtOnce)
{
    Forward::unregisterServer(m_directory, "s1", m_now);
    EXPECT_EQ(inUse(), 5u);
}

// Guards against dropping live servers whose entries expired in a store outage.
TEST_F(ServerDirectoryTest, EntriesThatExpiredInAStoreOutageAreKeptUntilServersCanRegisterAgain)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::replaceServers(m_directory, {}, m_now);
    EXPECT_EQ(inUse(), 6u);
    m_now += 1s;
    Forward::registerServer(m_directory, { .id = "s1", .service = "model" });
    EXPECT_EQ(inUse(), 6u);
    m_now += 700ms;
    EXPECT_EQ(inUse(), 1u);
}

// Guards against the same when this node had no call in progress and did not detect the outage.
TEST_F(ServerDirectoryTest, ManyRemovalsAtOnceCountAsAStoreOutage)
{
    for (int i = 0; i < 4; ++i)
        Forward::unregisterServer(m_directory, "s" + std::to_string(i), m_now);
    EXPECT_EQ(inUse(), 6u);
    m_now += 1700ms;
    EXPECT_EQ(inUse(), 2u);
}

// A server removed while the store works must be out of use within two seconds, even if this node's own connection to the store
// was just restored (scale-2 of cypress-grow: a request arrived 2.2 s after the removal).
TEST_F(ServerDirectoryTest, ALostStoreConnectionDoesNotKeepARemovedServerForTwoSeconds)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 1900ms;
    EXPECT_EQ(inUse(), 5u);
}

// Guards against using a removed server again when another watch of the node fails a second later (DRAIN on scale-2 of
// cypress-grow-grown: a request arrived 3.6 s after the removal).
TEST_F(ServerDirectoryTest, AStoreOutageDoesNotRestoreServersRemovedBefore)
{
    Forward::unregisterServer(m_directory, "s1", m_now);
    m_now += 1300ms;
    EXPECT_EQ(inUse(), 5u);
    Forward::recordStoreOutage(m_directory, m_now);
    EXPECT_EQ(inUse(), 5u);
    m_now += 1s;
    Forward::recordStoreOutage(m_directory, m_now);
    EXPECT_EQ(inUse(), 5u);
}

TEST_F(ServerDirectoryTest, ALeavingServerIsNotKept)
{
    Forward::recordStoreOutage(m_directory, m_now);
    Forward::registerServer(m_directory, { .id = "s1", .service = "model", .lifecycle = Routing::Lifecycle::Leaving });
    Forward::unregisterServer(m_directory, "s1", m_now);
    EXPECT_EQ(inUse(), 5u);
}
