#pragma once

#include <LibCore/Random.h>
#include <LibForward/NodeExchange.h>
#include <LibForward/TeamQuota.h>
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <queue>

namespace ExchangeSimulations {

using namespace std::chrono_literals;

inline constexpr std::size_t largeDeployment = 295;
inline constexpr std::size_t dataCentres = 6;
inline constexpr std::size_t servers = 204;
inline constexpr std::size_t teams = 40;
inline constexpr std::uint32_t busyServer = 17;

// Many nodes with the real tables and encoders, whose rounds are not synchronous, on a network that delays and loses datagrams.
class ExchangeSimulation {
public:
    enum class WallClock {
        // Nodes count their starts and state no time.
        None,
        // The start of a node is its incarnation.
        Shared,
    };

    explicit ExchangeSimulation(std::size_t nodes, double loss = 0, std::uint64_t seed = 1, std::size_t dataCentres = ExchangeSimulations::dataCentres, WallClock clock = WallClock::None)
        : m_random(seed)
        , m_clock(clock)
        , m_loss(loss)
        , m_nodes(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            auto& node = m_nodes[i];
            node.report.node = "front-south-" + std::string(1, static_cast<char>('a' + i % dataCentres)) + "-" + std::to_string(i);
            node.report.dataCentre = "south-" + std::string(1, static_cast<char>('a' + i % dataCentres));
            node.report.endpoint = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7600";
            node.report.processorShare = i / dataCentres < 3 ? 0.5F : 0.12F;
            m_byEndpoint[node.report.endpoint] = i;
            for (std::size_t team = 0; team < teams; ++team)
                node.report.demands["team" + std::to_string(1000 + team)] = { 10, 0 };
            for (std::size_t server = i % 40; server < servers; server += 40)
                node.report.loads[Forward::serverKey("i-" + std::to_string(server))] = 1;
            node.report.loads[busyServer] = 2;
        }
        for (std::size_t i = 0; i < nodes; ++i)
            restart(i);
    }

    void restart(std::size_t index)
    {
        auto& node = m_nodes[index];
        node.table = {};
        node.exchange = {};
        node.usage = {};
        node.quota = { .initialQuota = m_now > start ? Forward::InitialQuota::Empty : Forward::InitialQuota::Full, .startedAt = m_now };
        node.report.incarnation = m_clock == WallClock::Shared ? static_cast<std::uint64_t>(unixMilliseconds()) : node.report.incarnation + 1;
        for (std::size_t seed = 0; seed < 3; ++seed) {
            Core::Error ignored;
            node.exchange.seeds.push_back(*Core::parseEndpoint(m_nodes[seed].report.endpoint, ignored));
        }
        node.isUp = true;
        node.nextRoundAt = m_now + std::chrono::milliseconds(m_random.below(300));
    }

    void stop(std::size_t index) { m_nodes[index].isUp = false; }

    // All datagrams from and to the node are lost.
    void cutOff(std::size_t index) { m_nodes[index].isCutOff = true; }

    // Datagrams between this data centre and the others are lost.
    void cut(std::string dataCentre) { m_cutDataCentre = std::move(dataCentre); }

    void run(Core::Duration time)
    {
        static constexpr Core::Duration step = 10ms;
        for (auto const end = m_now + time; m_now < end; m_now += step) {
            if (onStep)
                onStep();
            for (auto& node : m_nodes) {
                if (node.isUp && node.nextRoundAt <= m_now)
                    startRound(node);
            }
            deliver();
        }
    }

    struct Node {
        Forward::NodeReport report;
        Forward::PeerTable table;
        Forward::NodeExchange exchange;
        Forward::UsageTable usage;
        Forward::QuotaTable quota;
        Core::MonotonicTime nextRoundAt;
        std::size_t sentBytes { 0 };
        std::size_t receivedBytes { 0 };
        std::size_t receivedDatagrams { 0 };
        bool isUp { true };
        bool isCutOff { false };
    };

    std::vector<Node>& nodes() { return m_nodes; }
    [[nodiscard]] Core::MonotonicTime now() const { return m_now; }
    Core::Random& random() { return m_random; }

    template <typename Predicate>
    bool all(Predicate predicate) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto const& node) { return !node.isUp || predicate(node); });
    }

    // Runs until the condition holds; returns the time that took, at most the limit.
    template <typename Predicate>
    Core::Duration runUntilAll(Predicate predicate, Core::Duration limit)
    {
        static constexpr Core::Duration step = 50ms;
        auto const start = m_now;
        while (m_now - start < limit && !all(predicate))
            run(step);
        return m_now - start;
    }

    void clearTraffic()
    {
        for (auto& node : m_nodes)
            node.sentBytes = node.receivedBytes = node.receivedDatagrams = 0;
    }

    std::function<void()> onStep;

private:
    struct Datagram {
        Core::MonotonicTime at;
        std::size_t recipient;
        std::shared_ptr<std::string const> bytes;

        bool operator<(Datagram const& other) const { return at > other.at; }
    };

    [[nodiscard]] std::int64_t unixMilliseconds() const
    {
        if (m_clock == WallClock::None)
            return 0;
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    }

    void startRound(Node& node)
    {
        static constexpr std::chrono::milliseconds interval { 250 };
        node.nextRoundAt = m_now + interval;
        for (auto const& seed : node.exchange.seeds)
            Forward::addCandidate(node.table, seed, m_now);
        Forward::expirePeers(node.table, m_now);
        Forward::mergeCounts(node.usage, node.report.node, node.report.incarnation, node.report.usage, node.report.dataCentre);
        auto report = node.report;
        report.interval = Forward::spreadInterval(node.table);
        report.sentAtUnixMilliseconds = unixMilliseconds();
        report.peers.clear();
        for (auto const& [name, row] : node.table.rows)
            report.peers.push_back(row.report.endpoint);
        std::shuffle(report.peers.begin(), report.peers.end(), m_random.engine());
        report.peers.resize(std::min<std::size_t>(report.peers.size(), 16));
        for (auto const& outgoing : Forward::planReports(node.exchange, node.table, node.usage, std::move(report), m_now)) {
            node.sentBytes += outgoing.bytes->size();
            auto const recipient = m_byEndpoint.at(outgoing.recipient.toString());
            bool const isCut = (node.report.dataCentre == m_cutDataCentre) != (m_nodes[recipient].report.dataCentre == m_cutDataCentre);
            if (isCut || node.isCutOff || m_nodes[recipient].isCutOff || m_random.unit() < m_loss)
                continue;
            m_datagrams.push({ m_now + 2ms, recipient, outgoing.bytes });
        }
    }

    void deliver()
    {
        while (!m_datagrams.empty() && m_datagrams.top().at <= m_now) {
            auto const datagram = m_datagrams.top();
            m_datagrams.pop();
            auto& node = m_nodes[datagram.recipient];
            if (!node.isUp)
                continue;
            node.receivedBytes += datagram.bytes->size();
            ++node.receivedDatagrams;
            auto report = Forward::decodeReport(*datagram.bytes);
            ASSERT_TRUE(report);
            if (report->node == node.report.node)
                continue;
            if (report->scope == Forward::ReportScope::Node)
                Forward::mergeCounts(node.usage, report->node, report->incarnation, report->usage, report->dataCentre);
            else
                Forward::mergeSums(node.usage, report->scope == Forward::ReportScope::DataCentre ? report->dataCentre : std::string(), report->usage);
            for (auto const& [team, amount] : Forward::newAdmissions(node.table, *report))
                Forward::chargeQuota(node.quota, team, amount, m_now);
            (void)Forward::mergeReport(node.table, std::move(*report), unixMilliseconds(), m_now);
        }
    }

    static constexpr Core::MonotonicTime start { 100s };

    Core::Random m_random;
    WallClock m_clock;
    double m_loss;
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byEndpoint;
    std::priority_queue<Datagram> m_datagrams;
    std::string m_cutDataCentre;
    Core::MonotonicTime m_now { start };
};

// A team whose requests reach all nodes of a simulation, whether these are cut off from each other or not.
class TeamTraffic {
public:
    static constexpr double rate = 2'000'000;
    // The platform's tolerance over eight seconds.
    static constexpr double allowed = (rate * 8 + rate) * 1.1 + 190'000;

    struct Profile {
        double rate { TeamTraffic::rate };
        double leastCost { 7'000 };
        double mostCost { 21'000 };
        // The fraction of the requests that reach the first twentieth of the nodes.
        double unevenFraction { 0 };
    };

    explicit TeamTraffic(ExchangeSimulation& simulation)
        : TeamTraffic(simulation, Profile {})
    {
    }

    TeamTraffic(ExchangeSimulation& simulation, Profile profile)
        : m_simulation(simulation)
        , m_profile(profile)
        , m_nextAt(simulation.now())
    {
        m_team.name = "team1000";
        m_team.unit = Forward::LimitUnit::Tokens;
        m_team.ratePerSecond = profile.rate;
        m_team.burst = profile.rate;
        m_simulation.onStep = [this] { sendUntilNow(); };
        prepare();
    }

    // Called again after a restart of nodes, which read the configuration then.
    void prepare()
    {
        for (auto& node : m_simulation.nodes())
            Forward::prepareQuota(node.quota, m_team, { 8s, 190'000 });
    }

    void run(double demand, Core::Duration time)
    {
        m_demand = demand;
        m_simulation.run(time);
    }

    [[nodiscard]] std::size_t refused() const { return m_refused; }
    [[nodiscard]] double refusedShare() const { return static_cast<double>(m_refused) / static_cast<double>(m_admitted.size() + m_refused); }

    [[nodiscard]] double maximumAdmitted() const
    {
        static constexpr Core::Duration window = 8s;
        double most = 0;
        for (auto first = m_admitted.begin(); first != m_admitted.end(); ++first) {
            double sum = 0;
            for (auto entry = first; entry != m_admitted.end() && entry->first - first->first < window; ++entry)
                sum += entry->second;
            most = std::max(most, sum);
        }
        return most;
    }

private:
    void sendUntilNow()
    {
        double const meanCost = (m_profile.leastCost + m_profile.mostCost) / 2;
        auto& random = m_simulation.random();
        auto const now = m_simulation.now();
        while (m_nextAt <= now) {
            m_nextAt += std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(meanCost / m_demand * 2 * random.unit()));
            auto const nodes = m_simulation.nodes().size();
            bool const isUneven = m_profile.unevenFraction > 0 && random.unit() < m_profile.unevenFraction;
            auto& node = m_simulation.nodes()[random.below(isUneven ? std::max<std::size_t>(nodes / 20, 1) : nodes)];
            if (!node.isUp)
                continue;
            auto const cost = m_profile.leastCost + (m_profile.mostCost - m_profile.leastCost) * random.unit();
            auto const share = Forward::admissionShare(node.quota, node.table, servers, m_team.name, now);
            if (Forward::admitToQuota(node.quota, m_team, cost, share, { 8s, 190'000, Forward::reportDelay(node.table, now), Forward::silentShare(node.table, m_team.name), Forward::missedSums(node.table, now) }, now))
                ++m_refused;
            else
                m_admitted.emplace_back(now, cost);
            node.report.demands[m_team.name] = { static_cast<float>(Forward::quotaDemand(node.quota, m_team.name, now)), node.quota.rows.at(m_team.name).admitted };
        }
    }

    ExchangeSimulation& m_simulation;
    Profile m_profile;
    Forward::Team m_team;
    Core::MonotonicTime m_nextAt;
    double m_demand { rate };
    std::vector<std::pair<Core::MonotonicTime, double>> m_admitted;
    std::size_t m_refused { 0 };
};

}
