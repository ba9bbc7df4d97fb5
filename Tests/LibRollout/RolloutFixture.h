#pragma once

#include <LibCore/Random.h>
#include <LibRollout/StoredOrder.h>
#include <LibRollout/Verdict.h>
#include <LibRollout/VersionGroup.h>
#include <functional>
#include <gtest/gtest.h>

namespace RolloutTests {

using namespace std::chrono_literals;
using namespace Rollout;

inline OrderId orderId(std::string const& to = "v2") { return { "app", to, 12s }; }

inline Order order(State state = State::Running, Core::StoreRevision revision = { 1, 10 }, std::string const& to = "v2")
{
    return { .id = orderId(to), .state = state, .startedAt = 0, .revision = revision, .reason = {}, .rejectedVersions = {} };
}

inline Routing::ServerRow server(std::string const& id, std::string const& version, std::uint64_t revision, std::uint64_t incarnation = 0)
{
    Routing::ServerRow row;
    row.id = id;
    row.service = "app";
    row.version = version;
    row.incarnation = incarnation;
    row.revision = { 1, revision };
    return row;
}

// Ten servers of each of two versions; the second ones registered after the order.
inline Routing::ServerTable twoVersions()
{
    Routing::ServerTable servers;
    for (int i = 0; i < 10; ++i) {
        servers.rows.push_back(server("old" + std::to_string(i), "v1", 5));
        servers.rows.push_back(server("new" + std::to_string(i), "v2", 12));
    }
    return servers;
}

struct Response {
    ResponseKind kind { ResponseKind::Sound };
    Core::Duration time { 60ms };
};

// A service with several nodes that evaluate a version, without a network. Requests arrive evenly at all nodes, which know the sums of the evidence
// a second later.
struct Simulation {
    using Behaviour = std::function<Response(Group, std::string const& route, double second, double random)>;

    std::uint64_t seed { 7 };
    std::size_t nodes { 4 };
    double requestsPerSecond { 270 };
    double share { 0.1 };
    /// Whether nodes act on verdicts; without it, an order is only a share.
    bool actsOnVerdict { true };
    /// Whether a node knows the responses of the others.
    bool sums { true };
    Behaviour behaviour;

    std::size_t requests { 0 };
    std::size_t candidateRequests { 0 };
    std::optional<double> badAt;
    std::optional<double> goodAt;
    Judgement last {};
    std::vector<std::vector<Evidence>> history {};

    // Returns the verdict of the first node that has one, at the end of the period or before.
    Verdict run(double seconds = 12);
};

inline Verdict Simulation::run(double seconds)
{
    Core::Random random(seed);
    auto const start = Core::MonotonicTime {} + 100s;
    std::vector<RolloutTable> tables(nodes);
    auto const servers = twoVersions();
    for (auto& table : tables) {
        table.ordersRevision = { 1, 10 };
        observeVersions(table, servers);
        mergeState(table, order());
    }
    std::vector<Evidence> reported;
    auto verdict = Verdict::Undecided;
    static constexpr double step = 0.25;
    std::size_t sent = 0;
    for (double second = 0; second < seconds; second += step) {
        auto const now = start + std::chrono::milliseconds(static_cast<std::int64_t>(second * 1000));
        for (; static_cast<double>(sent) < second * requestsPerSecond; ++sent) {
            auto& table = tables[sent % nodes];
            std::string const route = sent % 3 == 0 ? "summary" : (sent % 3 == 1 ? "advice" : "call");
            auto const choice = chooseVersionGroup(table, servers, "app", share, random.unit(), now);
            auto const response = behaviour(choice.group, route, second, random.unit());
            ++requests;
            candidateRequests += choice.group == Group::Candidate ? 1 : 0;
            recordResponse(table, "app", choice.group == Group::Candidate ? "v2" : "v1", route, response.kind, response.time);
        }
        std::vector<Evidence> evidence;
        for (auto& table : tables) {
            auto& row = table.rows.at("app");
            auto total = row.own;
            for (std::size_t i = 0; sums && i < reported.size(); ++i) {
                if (&tables[i] != &table)
                    mergeEvidence(total, reported[i]);
            }
            evidence.push_back(row.own);
            recordSums(row, std::move(total), now);
            auto const judgement = decideVerdict(observe(row, now - start, now));
            if (judgement.verdict == Verdict::Good && !goodAt && !badAt)
                goodAt = second;
            if (judgement.verdict != Verdict::Undecided && verdict == Verdict::Undecided) {
                verdict = judgement.verdict;
                last = judgement;
            }
            if (judgement.verdict != Verdict::Bad)
                continue;
            badAt = badAt.value_or(second);
            verdict = Verdict::Bad;
            last = judgement;
            auto bad = row.order;
            bad.isFoundBad = true;
            for (auto& other : tables) {
                if (actsOnVerdict)
                    mergeState(other, bad);
            }
        }
        // One second later.
        static constexpr std::size_t delaySteps = 4;
        history.push_back(evidence);
        if (history.size() > delaySteps)
            reported = history[history.size() - 1 - delaySteps];
    }
    return verdict;
}

}
