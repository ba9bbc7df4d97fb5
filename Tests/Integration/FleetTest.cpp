#include <Integration/Cluster.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <iomanip>
#include <sstream>

using namespace std::chrono_literals;
using Integration::Cluster;
using Integration::ClusterNode;
using TestSupport::waitUntil;
namespace json = boost::json;

namespace {

/// Returns a machine class in a zone with the price of a reclaimable host. An on-demand host costs three times as much.
Configuration::MachineClass smallMachineIn(std::string const& zone, std::uint64_t price)
{
    return { "small", zone, price, 3 * price, 1000, 3 };
}

class FleetTest : public testing::Test {
protected:
    void TearDown() override
    {
        if (HasFailure() && m_cluster)
            std::fputs(m_cluster->nodeLogs().c_str(), stderr);
    }

    /// Starts two data centres, each with one node that is a candidate for the fleet lease and one engine.
    void start(std::vector<std::string> engineFlags, std::vector<std::string> nodeFlags, std::uint32_t minimumServers)
    {
        Integration::ClusterOptions options;
        options.nodesPerDataCentre = 1;
        options.enginesPerDataCentre = 1;
        options.servicesPerDataCentre = 1;
        options.engineFlags = std::move(engineFlags);
        options.nodeFlags = { "--fleet_control=on", "--fleet_interval_ms=100" };
        options.nodeFlags.insert(options.nodeFlags.end(), nodeFlags.begin(), nodeFlags.end());
        m_cluster = std::make_unique<Cluster>(options);
        m_cluster->start();
        auto state = Integration::testState();
        state.services[0].machineClasses = { "small" };
        state.services[0].minimumServers = minimumServers;
        state.places = { { "dc1", "us-south", { smallMachineIn("dc1-zone", 100), smallMachineIn("dc1-b", 200), smallMachineIn("dc1-c", 300) } }, { "dc2", "us-south", { smallMachineIn("dc2-zone", 400), smallMachineIn("dc2-b", 500) } } };
        ASSERT_EQ(m_cluster->apply(m_cluster->node(0), state, 1, "fleet").status, 200U);
    }

    [[nodiscard]] json::array commandsOf(std::size_t engine) const
    {
        return TestSupport::callStandIn(m_cluster->engines()[engine].endpoint, "GET", "/stand-in/record").at("commands").as_array();
    }

    [[nodiscard]] std::vector<json::object> commandsWithToken(std::uint64_t token) const
    {
        std::vector<json::object> found;
        for (std::size_t engine = 0; engine < m_cluster->engines().size(); ++engine) {
            for (auto const& command : commandsOf(engine)) {
                if (command.at("fencingToken").to_number<std::uint64_t>() == token)
                    found.push_back(command.as_object());
            }
        }
        return found;
    }

    /// Whether all engines have received their initial commands of an epoch.
    [[nodiscard]] bool hasInitialCommands(std::uint64_t epoch) const { return commandsWithToken(epoch).size() >= 2 * m_cluster->engines().size(); }

    [[nodiscard]] static bool hasLogged(ClusterNode const& node, std::string const& text) { return node.process->log().find(text) != std::string::npos; }

    /// Waits until a node has begun an epoch and returns that node.
    [[nodiscard]] ClusterNode& holderOf(std::uint64_t epoch)
    {
        auto const text = "event=fleet_control_begins epoch=" + std::to_string(epoch);
        EXPECT_TRUE(waitUntil([&] { return std::any_of(m_cluster->nodes().begin(), m_cluster->nodes().end(), [&](auto const& node) { return hasLogged(*node, text); }); }));
        return hasLogged(m_cluster->node(0), text) ? m_cluster->node(0) : m_cluster->node(1);
    }

    /// Registers a new incarnation of the first engine, which the lease holder has to send its commands to.
    void listNewIncarnation() const
    {
        auto const& engine = m_cluster->engines()[0];
        m_cluster->platform().registerHosts({ { engine.id, Platform::HostRole::Backend, engine.endpoint, "advisor", "v1", engine.dataCentre, engine.dataCentre + "-zone", "small", true, Platform::HostState::Live, 2 } });
    }

    [[nodiscard]] json::array hostStarts() const { return m_cluster->platform().record().at("hostStarts").as_array(); }

    /// Waits for further planning rounds, counted by the reads of the host list.
    void waitForPlanningRounds(std::uint64_t rounds) const
    {
        auto const before = m_cluster->platform().callCount("hostList");
        ASSERT_TRUE(waitUntil([&] { return m_cluster->platform().callCount("hostList") >= before + rounds; }));
    }

    std::unique_ptr<Cluster> m_cluster;
};

// The lease holder is frozen until its lease has expired, and resumed after its successor has sent its commands.
class FrozenHolderTest : public FleetTest, public testing::WithParamInterface<bool> { };

// Returns when a node began an epoch according to its log, in milliseconds since the Unix epoch.
std::int64_t epochStartTime(ClusterNode const& node, std::uint64_t epoch)
{
    auto const log = node.process->log();
    auto const event = log.find("event=fleet_control_begins epoch=" + std::to_string(epoch));
    static constexpr std::string_view field = "time=";
    auto const start = log.rfind(field, event) + field.size();
    std::istringstream text(log.substr(start, event - start));
    std::tm time {};
    char point = 0;
    std::int64_t milliseconds = 0;
    text >> std::get_time(&time, "%Y-%m-%dT%H:%M:%S") >> point >> milliseconds;
    EXPECT_TRUE(text) << log;
    return static_cast<std::int64_t>(timegm(&time)) * 1000 + milliseconds;
}

}

// Guards against commands of a holder that was paused until its lease had expired. If engines do not check fencing tokens, guards
// also against a successor that sends commands while a command of the first holder may be in flight.
TEST_P(FrozenHolderTest, SendsNothingAfterItWakesUp)
{
    bool const checks = GetParam();
    start(checks ? std::vector<std::string> { "--check_fencing" } : std::vector<std::string> {}, { "--fleet_lease_ms=1200", checks ? "--engine_fencing=checked" : "--engine_fencing=ignored" }, 1);
    auto& first = holderOf(1);
    ASSERT_TRUE(waitUntil([&] { return hasInitialCommands(1); }));
    first.process->sendSignal(SIGSTOP);
    auto& second = holderOf(2);
    EXPECT_NE(&first, &second);
    ASSERT_TRUE(waitUntil([&] { return hasInitialCommands(2); }));
    auto const oldCommands = commandsWithToken(1).size();
    // Gives the first holder a command to send when it resumes.
    listNewIncarnation();
    ASSERT_TRUE(waitUntil([&] { return commandsWithToken(2).size() >= 2 * (m_cluster->engines().size() + 1); }));
    first.process->sendSignal(SIGCONT);
    // The first holder has resumed when it logs the lost lease; then some planning rounds pass.
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "event=lease_lost"); }));
    waitForPlanningRounds(20);
    EXPECT_EQ(commandsWithToken(1).size(), oldCommands);
    // An engine that checks fencing tokens refuses a late command of the first holder. For other engines, each later holder sends
    // its own commands again.
    json::object const late { { "fencingToken", 1 }, { "command", "role" }, { "role", "serving" } };
    auto const& engine = m_cluster->engines()[0].endpoint;
    if (checks) {
        EXPECT_THROW(TestSupport::callStandIn(engine, "POST", "/engine/command", late), std::runtime_error);
    }
    // The lease duration plus the command time-out of the first holder, in milliseconds.
    auto const earliest = epochStartTime(second, 2) + (checks ? 0 : 1320);
    for (auto const& command : commandsWithToken(2)) {
        EXPECT_TRUE(command.at("command") != "role" || command.at("role") == "serving");
        EXPECT_GE(command.at("atMs").to_number<std::int64_t>(), earliest) << "a command of the first holder may still be in flight";
    }
}

INSTANTIATE_TEST_SUITE_P(Engines, FrozenHolderTest, testing::Values(true, false), [](auto const& info) { return info.param ? "CheckFencing" : "IgnoreFencing"; });

// Guards against fleet control that continues after the lease has expired while the platform is down, or does not resume afterwards.
TEST_F(FleetTest, NoCommandsWhileThePlatformIsDown)
{
    start({ "--check_fencing" }, { "--fleet_lease_ms=1000", "--engine_fencing=checked" }, 1);
    auto& first = holderOf(1);
    ASSERT_TRUE(waitUntil([&] { return hasInitialCommands(1); }));
    // The holder has a command that it cannot deliver yet. The engine is down for longer than the host list takes to arrive.
    auto const& engine = m_cluster->engines()[0].endpoint;
    TestSupport::callStandIn(engine, "PUT", "/stand-in/faults", json::object { { "crash", true }, { "restartMs", 8000 } });
    auto const isResponding = [&] {
        try {
            return TestSupport::callStandIn(engine, "GET", "/engine/load").is_object();
        } catch (std::runtime_error const&) {
            return false;
        }
    };
    ASSERT_TRUE(waitUntil([&] { return !isResponding(); }));
    listNewIncarnation();
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "event=engine_command_failed"); }));
    m_cluster->platform().setFaults({ .down = true });
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "event=lease_lost"); }));
    ASSERT_TRUE(waitUntil(isResponding));
    auto const commands = commandsOf(0).size();
    waitForPlanningRounds(4);
    EXPECT_EQ(commandsOf(0).size(), commands);
    EXPECT_TRUE(commandsWithToken(2).empty());
    m_cluster->platform().setFaults({});
    (void)holderOf(2);
    EXPECT_TRUE(waitUntil([&] { return hasInitialCommands(2); }));
}

// Guards against starting a host twice because the response to the start was lost, also by the next holder.
TEST_F(FleetTest, StartWithALostAnswerIsNotRepeated)
{
    start({}, { "--fleet_lease_ms=5000" }, 1);
    auto& first = holderOf(1);
    // Exceeds the time-out of starts, 500 ms, but not those of reads and of the lease.
    m_cluster->platform().setFaults({ .slowMs = 700 });
    auto state = Integration::testState();
    state.services[0].machineClasses = { "small" };
    state.services[0].minimumServers = 4;
    state.places = { { "dc1", "us-south", { smallMachineIn("dc1-zone", 100) } }, { "dc2", "us-south", { smallMachineIn("dc2-zone", 400) } } };
    ASSERT_EQ(m_cluster->apply(m_cluster->node(0), state, 2, "more").status, 200U);
    ASSERT_TRUE(waitUntil([&] { return hasLogged(first, "may have been started") && hostStarts().size() >= 2; }));
    m_cluster->platform().setFaults({});
    waitForPlanningRounds(7);
    EXPECT_EQ(hostStarts().size(), 2U);
    first.process->sendSignal(SIGTERM);
    auto& second = holderOf(2);
    waitForPlanningRounds(7);
    EXPECT_EQ(hostStarts().size(), 2U);
    // A start is complete once the host is listed.
    std::vector<Platform::Host> hosts;
    for (auto const& start : hostStarts()) {
        auto const request = Platform::hostRequestFromJson(start);
        ASSERT_TRUE(request);
        hosts.push_back({ std::string(start.at("id").as_string()), Platform::HostRole::Backend, m_cluster->engines()[0].endpoint, "advisor", "v1", request->dataCentre, request->zone, "small", request->reclaimable, Platform::HostState::Live, 1 });
    }
    m_cluster->platform().registerHosts(hosts);
    for (auto const& host : hosts)
        EXPECT_TRUE(waitUntil([&] { return hasLogged(second, "subject=" + host.id + " decision=\"is listed; requested as start-1-"); })) << host.id;
    waitForPlanningRounds(7);
    EXPECT_EQ(hostStarts().size(), 2U);
}

// Guards against repeating a start in a pool where the platform refused it, and against giving up.
TEST_F(FleetTest, RefusedStartsGoToTheNextCheapestZone)
{
    start({}, { "--fleet_lease_ms=10000" }, 1);
    (void)holderOf(1);
    m_cluster->platform().setFaults({ .refuseHostStarts = true });
    auto state = Integration::testState();
    state.services[0].machineClasses = { "small" };
    state.services[0].minimumServers = 3;
    state.places = { { "dc1", "us-south", { smallMachineIn("dc1-zone", 100), smallMachineIn("dc1-b", 200), smallMachineIn("dc1-c", 300) } }, { "dc2", "us-south", { smallMachineIn("dc2-zone", 400), smallMachineIn("dc2-b", 500) } } };
    ASSERT_EQ(m_cluster->apply(m_cluster->node(0), state, 2, "more").status, 200U);
    ASSERT_TRUE(waitUntil([&] { return hostStarts().size() >= 4; }));
    m_cluster->platform().setFaults({});
    auto const isGranted = [](json::value const& start) { return start.at("granted").as_bool(); };
    ASSERT_TRUE(waitUntil([&] {
        auto const starts = hostStarts();
        return std::any_of(starts.begin(), starts.end(), isGranted);
    }));
    waitForPlanningRounds(7);
    auto const starts = hostStarts();
    EXPECT_EQ(std::count_if(starts.begin(), starts.end(), isGranted), 1);
    std::set<std::string> pools;
    for (auto const& start : starts)
        EXPECT_TRUE(pools.insert(json::serialize(start.at("zone")) + json::serialize(start.at("reclaimable"))).second) << "start requested twice: " << json::serialize(start);
}

// Guards against stopping a host that is still working or was not announced as leaving (I5, I6).
TEST_F(FleetTest, DrainedHostsFinishTheirWorkBeforeTheyAreStopped)
{
    start({ "--check_fencing" }, { "--fleet_lease_ms=10000", "--engine_fencing=checked", "--fleet_peak_window_ms=200" }, 2);
    // Requests go through the other node, so that the holder knows of the work only from the servers.
    auto& other = &holderOf(1) == &m_cluster->node(0) ? m_cluster->node(1) : m_cluster->node(0);
    ASSERT_TRUE(waitUntil([&] { return hasInitialCommands(1); }));
    auto const& services = m_cluster->services();
    // The delay exceeds the time after which an idle host is stopped.
    for (auto const& service : services)
        TestSupport::callStandIn(service.endpoint, "PUT", "/stand-in/faults", json::object { { "delayMs", 6000 } });
    auto refund = std::async(std::launch::async, [&] {
        Core::Error error;
        return TestSupport::blockingCall(other.clientEndpoint, Integration::refundRequest(Integration::newKey()), error);
    });
    auto const isBusy = [&](auto const& service) { return TestSupport::callStandIn(service.endpoint, "GET", "/stand-in/record").at("totals").at("executions").template to_number<std::uint64_t>() > 0; };
    ASSERT_TRUE(waitUntil([&] { return std::any_of(services.begin(), services.end(), isBusy); }));
    auto const busy = isBusy(services[0]) ? 0U : 1U;
    Integration::ResponseReader reader(other.clientEndpoint, Integration::chatRequest("report length=300", true));
    reader.readTokens(5);
    auto state = Integration::testState();
    for (auto& service : state.services) {
        service.machineClasses = { "small" };
        service.minimumServers = 1;
        service.maximumServers = 1;
    }
    // The busy service is on the more expensive host.
    state.places = { { "dc1", "us-south", { smallMachineIn("dc1-zone", busy == 0 ? 400 : 100) } }, { "dc2", "us-south", { smallMachineIn("dc2-zone", busy == 0 ? 100 : 400) } } };
    ASSERT_EQ(m_cluster->apply(m_cluster->node(0), state, 2, "fewer").status, 200U);
    auto const isStopped = [&](std::string const& id) {
        auto const stops = m_cluster->platform().record().at("hostStops").as_array();
        return std::find(stops.begin(), stops.end(), json::value(id)) != stops.end();
    };
    auto const& engine = m_cluster->engines()[busy];
    ASSERT_TRUE(waitUntil([&] { return isStopped(engine.id); }));
    auto const record = TestSupport::callStandIn(engine.endpoint, "GET", "/stand-in/record");
    EXPECT_TRUE(record.at("leaving").as_bool());
    EXPECT_EQ(json::serialize(record.at("requests")).find("running"), std::string::npos) << "host was stopped while it was working";
    ASSERT_TRUE(waitUntil([&] { return isStopped(services[busy].id); }));
    ASSERT_EQ(refund.wait_for(500ms), std::future_status::ready) << "host was stopped while it was working";
    auto const response = refund.get();
    EXPECT_TRUE(response && response->status == 200U);
    reader.readAll();
    EXPECT_TRUE(reader.complete()) << reader.error();
    EXPECT_EQ(reader.tokens().size(), 300U);
}
