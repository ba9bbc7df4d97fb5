#include <LibRollout/RolloutTable.h>

#include <algorithm>

namespace Rollout {

using namespace std::chrono_literals;

std::string_view stateName(State state)
{
    switch (state) {
    case State::Running:
        return "running";
    case State::Completing:
        return "completing";
    case State::Completed:
        return "completed";
    case State::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

bool isFinal(State state)
{
    return state == State::Completed || state == State::RolledBack;
}

bool isRejected(Order const& order)
{
    return order.state == State::RolledBack || (order.isFoundBad && order.state != State::Completed);
}

static void addRejected(std::vector<std::string>& versions, std::string const& version)
{
    // More versions of one service do not run at the same time.
    static constexpr std::size_t maximumVersions = 8;
    if (std::find(versions.begin(), versions.end(), version) != versions.end())
        return;
    versions.push_back(version);
    if (versions.size() > maximumVersions)
        versions.erase(versions.begin());
}

Order succeedOrder(Order const& before, Order next)
{
    for (auto const& version : before.rejectedVersions)
        addRejected(next.rejectedVersions, version);
    if (before.state != State::Completed)
        addRejected(next.rejectedVersions, before.id.to);
    std::erase(next.rejectedVersions, next.id.to);
    return next;
}

bool mergeState(RolloutTable& table, Order const& order)
{
    auto const [found, isNew] = table.rows.try_emplace(order.id.service);
    auto& row = found->second;
    if (isNew) {
        row.order = order;
        row.order.isFoundBad = order.isFoundBad || order.state == State::RolledBack;
        return true;
    }
    auto const before = row.order;
    if (order.id != before.id) {
        if (order.revision <= before.revision)
            return false;
        row = {};
        row.order = succeedOrder(before, order);
        row.order.isFoundBad = order.isFoundBad || order.state == State::RolledBack;
        return true;
    }
    // A restored store may lack a final state, and the store never has all states; the holder of the duties writes a final one again.
    bool const losesState = order.state < before.state && !isFinal(order.state);
    bool const isNewer = std::pair(order.revision, order.state) > std::pair(before.revision, before.state);
    if (isNewer && !losesState) {
        auto rejected = before.rejectedVersions;
        row.order = order;
        for (auto const& version : rejected)
            addRejected(row.order.rejectedVersions, version);
    } else if (isNewer) {
        row.order.revision = order.revision;
    }
    row.order.isFoundBad = before.isFoundBad || order.isFoundBad || row.order.state == State::RolledBack;
    // The reason may be that of a good verdict before.
    if (order.isFoundBad && (!before.isFoundBad || row.order.reason.empty()))
        row.order.reason = order.reason;
    if (isFinal(row.order.state)) {
        row.own.clear();
        row.snapshots.clear();
    }
    return row.order != before;
}

Core::Duration recentWindow(std::chrono::milliseconds period)
{
    return std::clamp<Core::Duration>(period / 6, 1s, 5s);
}

void recordResponse(RolloutTable& table, std::string const& service, std::string const& version, std::string const& route, ResponseKind kind, Core::Duration time)
{
    auto const found = table.rows.find(service);
    if (found == table.rows.end() || isFinal(found->second.order.state))
        return;
    auto& row = found->second;
    auto const& rejected = row.order.rejectedVersions;
    if (std::find(rejected.begin(), rejected.end(), version) != rejected.end())
        return;
    auto& counts = row.own[{ version == row.order.id.to ? Group::Candidate : Group::Incumbent, route }];
    ++counts.responses;
    counts.failures += kind == ResponseKind::Failure ? 1 : 0;
    counts.broken += kind == ResponseKind::Broken ? 1 : 0;
    ++counts.times[timeClassOf(time)];
}

void recordSums(RolloutTable::Row& row, Evidence sums, Core::MonotonicTime now)
{
    if (!row.observedSince && countResponses(sums, Group::Candidate) > 0)
        row.observedSince = now;
    row.snapshots.push_back({ now, std::move(sums) });
    // Keeps one that is older than two windows.
    auto const kept = 2 * recentWindow(row.order.id.period);
    while (row.snapshots.size() > 2 && now - row.snapshots[1].at >= kept)
        row.snapshots.erase(row.snapshots.begin());
}

}
