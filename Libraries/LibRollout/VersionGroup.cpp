#include <LibRollout/VersionGroup.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <xxhash.h>

namespace Rollout {

// Below the share, since a binomial number of requests varies.
static constexpr double usedFractionOfShare = 0.8;

namespace {

enum class Standing {
    Incumbent,
    Candidate,
    /// May be named by an order that this node does not know yet.
    Unknown,
    /// Served before the order that was completed, or is being completed.
    Replaced,
    Rejected,
};

struct Version {
    std::string_view name;
    Standing standing { Standing::Unknown };
    std::size_t servers { 0 };
    std::size_t liveServers { 0 };
    std::uint64_t earliestIncarnation { 0 };
};

}

void observeVersions(RolloutTable& table, Routing::ServerTable const& servers)
{
    for (auto const& row : servers.rows) {
        auto const [found, isNew] = table.versions.try_emplace({ row.service, row.version }, row.revision);
        if (!isNew)
            found->second = std::min(found->second, row.revision);
    }
}

static bool isLive(Routing::ServerRow const& row, Core::MonotonicTime now)
{
    return row.lifecycle == Routing::Lifecycle::Live && !Routing::isAbsent(row, now);
}

static std::vector<Version> versionsOf(Routing::ServerTable const& servers, std::string const& service, Core::MonotonicTime now)
{
    std::vector<Version> versions;
    for (auto const& row : servers.rows) {
        if (row.service != service)
            continue;
        auto found = std::find_if(versions.begin(), versions.end(), [&](auto const& version) { return version.name == row.version; });
        if (found == versions.end())
            found = versions.insert(versions.end(), Version { .name = row.version, .earliestIncarnation = row.incarnation });
        ++found->servers;
        found->liveServers += isLive(row, now) ? 1 : 0;
        found->earliestIncarnation = std::min(found->earliestIncarnation, row.incarnation);
    }
    return versions;
}

// Whether the orders were read after the first server of the version registered, and none of them names it.
static bool isSettled(RolloutTable const& table, std::string const& service, std::string_view version)
{
    auto const found = table.versions.find({ service, std::string(version) });
    return found != table.versions.end() && table.ordersRevision.number != 0 && found->second <= table.ordersRevision;
}

static bool isOlderThan(RolloutTable const& table, Order const& order, std::string_view version)
{
    auto const found = table.versions.find({ order.id.service, std::string(version) });
    return found != table.versions.end() && found->second < order.revision;
}

static Standing standingOf(RolloutTable const& table, Order const* order, std::string const& service, std::string_view version)
{
    if (order && version == order->id.to) {
        if (isRejected(*order))
            return Standing::Rejected;
        return order->state == State::Running ? Standing::Candidate : Standing::Incumbent;
    }
    if (order && std::find(order->rejectedVersions.begin(), order->rejectedVersions.end(), version) != order->rejectedVersions.end())
        return Standing::Rejected;
    bool const isReplacing = order && !isRejected(*order) && order->state != State::Running;
    if (isReplacing && isOlderThan(table, *order, version))
        return Standing::Replaced;
    return isSettled(table, service, version) ? Standing::Incumbent : Standing::Unknown;
}

// The version that has served longest is the incumbent: the servers of a new one may be as many. Without times of birth, the one with most servers.
static void guessIncumbent(std::vector<Version>& versions)
{
    Version* best = nullptr;
    for (auto& version : versions) {
        auto const rank = [](Version const& candidate) { return std::tuple(candidate.earliestIncarnation, -static_cast<std::int64_t>(candidate.servers), candidate.name); };
        if (version.standing == Standing::Unknown && (!best || rank(version) < rank(*best)))
            best = &version;
    }
    if (best)
        best->standing = Standing::Incumbent;
}

static std::vector<std::string> concentratedServers(Routing::ServerTable const& servers, std::string const& service, std::string_view version, std::size_t incumbents, double probability, Core::MonotonicTime now)
{
    std::vector<std::pair<std::uint64_t, Routing::ServerRow const*>> ranked;
    for (auto const& row : servers.rows) {
        if (row.service == service && row.version == version && isLive(row, now))
            ranked.emplace_back(XXH3_64bits(row.id.data(), row.id.size()), &row);
    }
    // Otherwise the only one chosen could be one that cannot be reached.
    auto const isBackingOff = [&](auto const& item) { return item.second->backoffUntil > now; };
    if (!std::all_of(ranked.begin(), ranked.end(), isBackingOff))
        std::erase_if(ranked, isBackingOff);
    // All nodes choose the same ones.
    std::sort(ranked.begin(), ranked.end());
    auto const count = static_cast<std::size_t>(std::ceil(static_cast<double>(incumbents) * probability / (1 - probability)));
    ranked.resize(std::min(ranked.size(), std::max<std::size_t>(count, 1)));
    std::vector<std::string> ids;
    ids.reserve(ranked.size());
    for (auto const& [hash, row] : ranked)
        ids.push_back(row->id);
    return ids;
}

GroupChoice chooseVersionGroup(RolloutTable const& table, Routing::ServerTable const& servers, std::string const& service, double share, double randomValue, Core::MonotonicTime now)
{
    if (share <= 0)
        return {};
    auto const found = table.rows.find(service);
    auto const* order = found == table.rows.end() ? nullptr : &found->second.order;
    auto versions = versionsOf(servers, service, now);
    std::size_t incumbents = 0;
    for (auto& version : versions) {
        version.standing = standingOf(table, order, service, version.name);
        incumbents += version.standing == Standing::Incumbent ? 1 : 0;
    }
    if (incumbents == 0)
        guessIncumbent(versions);
    bool const areOrdersKnown = table.ordersRevision.number != 0;
    std::size_t liveIncumbents = 0;
    Version const* candidate = nullptr;
    std::vector<Standing> standings { Standing::Incumbent };
    for (auto const& version : versions) {
        if (version.standing == Standing::Incumbent)
            liveIncumbents += version.liveServers;
        bool const mayEvaluate = version.standing == Standing::Candidate || (version.standing == Standing::Unknown && areOrdersKnown);
        if (mayEvaluate && version.liveServers > 0 && (!candidate || version.standing == Standing::Candidate))
            candidate = &version;
    }
    auto const hasLive = [&](Standing standing) { return std::any_of(versions.begin(), versions.end(), [&](auto const& version) { return version.standing == standing && version.liveServers > 0; }); };
    GroupChoice choice;
    if (liveIncumbents == 0 && hasLive(Standing::Replaced)) {
        standings.push_back(Standing::Replaced);
    } else if (liveIncumbents == 0 && candidate) {
        choice.group = Group::Candidate;
        standings.push_back(candidate->standing);
    } else if (candidate && randomValue < usedFractionOfShare * share) {
        choice.group = Group::Candidate;
        choice.filter.servers = concentratedServers(servers, service, candidate->name, liveIncumbents, usedFractionOfShare * share, now);
        return choice;
    }
    for (auto const& version : versions) {
        if (std::find(standings.begin(), standings.end(), version.standing) == standings.end())
            choice.filter.excludedVersions.emplace_back(version.name);
    }
    return choice;
}

}
