#pragma once

#include <LibAdmission/AdmissionDecision.h>
#include <LibLimits/TeamLimitTable.h>
#include <LibRouting/Placement.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace AdmissionTests {

using namespace std::chrono_literals;

struct Kind {
    std::string name;
    std::uint32_t priority { 0 };
    double objective { 1.5 };
    double timeout { 12 };
    double ownTokens { 3720 };
    double sharedTokens { 13300 };
    /// Requests a second of all teams.
    double rate { 10 };
};

struct Outcome {
    int offered { 0 };
    int onTime { 0 };
    int late { 0 };
    /// Refused for good.
    int refused { 0 };
    /// Refused at least once.
    int refusedOnce { 0 };

    int left { 0 };

    Outcome& operator+=(Outcome const& other)
    {
        offered += other.offered;
        onTime += other.onTime;
        late += other.late;
        left += other.left;
        refused += other.refused;
        refusedOnce += other.refusedOnce;
        return *this;
    }

    [[nodiscard]] double onTimeShare() const { return offered ? double(onTime) / offered : 1; }
    [[nodiscard]] double refusedShare() const { return offered ? double(refused) / offered : 0; }
};

/// A deterministic model of nodes that share engines: an engine reads one prompt after another, a fifth of the shared
/// prefixes anew, and then generates. Nodes know each other's requests as of 250 to 500 ms ago. Refused clients come back once.
class OverloadModel {
public:
    Admission::Parameters parameters;
    /// Apart from the other random numbers, so that arrivals are the same whatever is decided.
    Core::Random arrivals { 7 };
    std::size_t nodeCount { 4 };
    bool isControlled { true };
    /// Whether engines read the prompts of urgent requests first, or in the order of arrival.
    bool readsUrgentFirst { false };
    std::vector<Kind> kinds;
    std::vector<double> speeds = std::vector<double>(6, 38);
    std::size_t teams { 8 };
    /// Multiplies the rate of a team at a time.
    std::function<double(std::size_t team, double seconds)> rateFactor = [](auto, auto) { return 1; };
    std::function<double(std::size_t server, double seconds)> speedFactor = [](auto, auto) { return 1; };
    /// When outcomes begin to be counted, by the arrival of the request.
    double countFrom { 0 };
    std::map<std::string, Outcome> byKind;
    std::map<std::size_t, Outcome> byTeam;
    Outcome total;
    /// Tokens that idle servers could have read while requests arrived.
    double idleTokens { 0 };
    /// Refusals, and arrivals of clients that come back after one, by tenths of a second.
    std::map<int, int> refusals;
    std::map<int, int> returns;

    void run(double seconds)
    {
        m_end = seconds;
        // As EdgeService sets it.
        m_costs.unreportedRequests = 0.25 * static_cast<double>(nodeCount - 1);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            for (std::size_t s = 0; s < speeds.size(); ++s) {
                Routing::ServerRow row;
                row.id = "s" + std::to_string(s);
                row.service = "model";
                row.dataCentre = "a";
                row.slots = 64;
                m_nodes.back()->table.rows.push_back(row);
            }
        }
        m_servers.resize(speeds.size());
        for (auto& server : m_servers)
            server.reported.resize(nodeCount);
        for (int step = 0; step * stepSeconds < seconds + drainSeconds; ++step) {
            m_now = Core::MonotonicTime(1000s) + std::chrono::milliseconds(5 * step);
            double const time = step * stepSeconds;
            if (step % 50 == 0)
                tick();
            for (auto const& kind : time < seconds ? kinds : std::vector<Kind>()) {
                for (std::size_t team = 0; team < teams; ++team) {
                    if (arrivals.unit() < kind.rate / double(teams) * rateFactor(team, time) * stepSeconds)
                        arrive(kind, team, time);
                }
            }
            for (auto due = m_returns.begin(); due != m_returns.end() && due->first <= time; due = m_returns.erase(due)) {
                ++returns[int(time * 10)];
                offer(due->second);
            }
            for (std::size_t s = 0; s < m_servers.size(); ++s)
                work(s, time);
        }
    }

    /// Adds the results of another run.
    OverloadModel& operator+=(OverloadModel const& other)
    {
        for (auto const& [kind, outcome] : other.byKind)
            byKind[kind] += outcome;
        for (auto const& [team, outcome] : other.byTeam)
            byTeam[team] += outcome;
        total += other.total;
        for (auto const& [tenth, count] : other.refusals)
            refusals[tenth] += count;
        for (auto const& [tenth, count] : other.returns)
            returns[tenth] += count;
        return *this;
    }

private:
    static constexpr double stepSeconds = 0.005;
    static constexpr double drainSeconds = 15;
    static constexpr double generationSeconds = 0.6;

    struct Request {
        Kind kind;
        std::size_t team { 0 };
        std::size_t node { 0 };
        double arrivedAt { 0 };
        double tokens { 0 };
        bool hasReturned { false };
        Core::MonotonicTime sentAt;
        std::uint64_t ticket { 0 };
        double loadAtSend { 0 };
        Outcome* outcomes[3] {};
    };
    struct Node {
        Routing::ServerTable table;
        Admission::ServiceState state;
        Admission::FairShareTable shares;
        Limits::TeamLimitTable demand;
    };
    struct Server {
        std::multimap<std::uint32_t, Request> waiting;
        std::optional<Request> reading;
        double tokensLeft { 0 };
        std::multimap<double, std::size_t> generating;
        std::uint32_t total { 0 };
        std::vector<std::uint32_t> reported {};
    };

    Admission::RequestProfile profileOf(Request const& request) const
    {
        return { .route = request.kind.name, .priority = request.kind.priority, .objectiveSeconds = request.kind.objective, .tokens = request.kind.ownTokens + request.kind.sharedTokens, .timeLeftSeconds = request.arrivedAt + request.kind.timeout - seconds() };
    }

    double seconds() const { return std::chrono::duration<double>(m_now - Core::MonotonicTime(1000s)).count(); }

    void arrive(Kind const& kind, std::size_t team, double time)
    {
        Request request { .kind = kind, .team = team, .node = arrivals.below(nodeCount), .arrivedAt = time };
        // The size of the whole prompt is the same for all requests of a kind; what is read of it is not.
        request.tokens = kind.ownTokens * (0.6 + 0.8 * arrivals.unit()) + (arrivals.unit() < 0.2 ? kind.sharedTokens : 0);
        if (time >= countFrom) {
            request.outcomes[0] = &byKind[kind.name];
            request.outcomes[1] = &byTeam[team];
            request.outcomes[2] = &total;
        }
        count(request, &Outcome::offered);
        offer(request);
    }

    static void count(Request const& request, int Outcome::*field)
    {
        for (auto* outcome : request.outcomes) {
            if (outcome)
                ++(outcome->*field);
        }
    }

    void offer(Request request)
    {
        auto& node = *m_nodes[request.node];
        auto const profile = profileOf(request);
        Admission::recordArrival(node.state, profile, m_now);
        auto const team = "team" + std::to_string(request.team);
        Limits::recordDemand(node.demand, team, m_now);
        Admission::recordRequest(node.shares, team, 1, request.kind.ownTokens, m_now);
        auto const load = Admission::measureLoad(node.table, "model", m_now);
        auto const decision = Admission::decideAdmission(node.state, profile, Admission::standingOf(node.shares, team, m_now), load, parameters, m_random, m_now);
        if (isControlled && decision.verdict == Admission::Verdict::Refuse) {
            double const retryAfter = std::chrono::duration<double>(decision.retryAfter).count();
            bool const returns = !request.hasReturned && retryAfter <= profile.timeLeftSeconds / 3;
            ++refusals[int(seconds() * 10)];
            if (!request.hasReturned)
                count(request, &Outcome::refusedOnce);
            if (!returns)
                return count(request, &Outcome::refused);
            request.hasReturned = true;
            m_returns.emplace(seconds() + retryAfter, request);
            return;
        }
        Core::Error error;
        auto const placement = Routing::placeRequest(node.table, { .service = "model", .dataCentre = "a" }, m_costs, m_random, m_now, error);
        request.sentAt = m_now;
        request.loadAtSend = load.requestsPerServer;
        request.ticket = Admission::recordSent(node.state, m_now);
        ++Routing::findServer(node.table, placement->serverId)->outstanding;
        m_servers[std::stoul(placement->serverId.substr(1))].waiting.emplace(readsUrgentFirst ? request.kind.priority : 0, request);
    }

    void work(std::size_t index, double time)
    {
        auto& server = m_servers[index];
        while (!server.generating.empty() && server.generating.begin()->first <= time) {
            --m_nodes[server.generating.begin()->second]->table.rows[index].outstanding;
            server.generating.erase(server.generating.begin());
        }
        double budget = speeds[index] * speedFactor(index, time) * stepSeconds * 1000;
        while (budget > 0) {
            if (!server.reading) {
                if (server.waiting.empty()) {
                    idleTokens += time >= countFrom && time < m_end ? budget : 0;
                    return;
                }
                server.reading = server.waiting.begin()->second;
                server.waiting.erase(server.waiting.begin());
                server.tokensLeft = server.reading->tokens;
                if (time - server.reading->arrivedAt > std::min(server.reading->kind.timeout, std::max(2.0, 4 * server.reading->kind.objective))) {
                    count(*server.reading, &Outcome::left);
                    --m_nodes[server.reading->node]->table.rows[index].outstanding;
                    Admission::recordEnd(m_nodes[server.reading->node]->state, server.reading->ticket);
                    server.reading.reset();
                    continue;
                }
            }
            double const read = std::min(budget, server.tokensLeft);
            budget -= read;
            server.tokensLeft -= read;
            if (server.tokensLeft > 0)
                return;
            auto const& request = *server.reading;
            auto& node = *m_nodes[request.node];
            double const delay = std::chrono::duration<double>(m_now - request.sentAt).count() + stepSeconds;
            Admission::recordFirstEvent(node.state, request.ticket, profileOf(request), delay, request.loadAtSend, parameters, m_now);
            Routing::recordServiceTime(node.table.rows[index], delay, m_now);
            count(request, time - request.arrivedAt <= request.kind.objective ? &Outcome::onTime : &Outcome::late);
            server.generating.emplace(time + generationSeconds, request.node);
            server.reading.reset();
        }
    }

    void tick()
    {
        std::vector<double> demands(teams);
        for (std::size_t t = 0; t < teams; ++t) {
            for (auto const& other : m_nodes)
                demands[t] += Limits::demandOf(other->demand, "team" + std::to_string(t), m_now);
        }
        for (std::size_t n = 0; n < nodeCount; ++n) {
            auto& node = *m_nodes[n];
            for (std::size_t s = 0; s < m_servers.size(); ++s) {
                node.table.rows[s].peerOutstanding = m_servers[s].total - m_servers[s].reported[n];
            }
            Admission::updatePressure(node.state, Admission::measureLoad(node.table, "model", m_now), parameters, m_now);
            for (std::size_t t = 0; t < teams; ++t) {
                auto const team = "team" + std::to_string(t);
                double const demand = demands[t];
                Admission::updateDemand(node.shares, team, demand, m_now);
            }
        }
        for (std::size_t s = 0; s < m_servers.size(); ++s) {
            m_servers[s].total = 0;
            for (std::size_t n = 0; n < nodeCount; ++n)
                m_servers[s].total += m_servers[s].reported[n] = m_nodes[n]->table.rows[s].outstanding;
        }
    }

    Core::Random m_random { 8 };
    double m_end { 0 };
    Routing::PlacementCosts m_costs;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Server> m_servers;
    std::multimap<double, Request> m_returns;
    Core::MonotonicTime m_now { 1000s };
};

}
