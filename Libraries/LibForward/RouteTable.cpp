#include <LibForward/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace Forward {

static bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

Route const* findRoute(RouteTable const& table, std::string_view host, std::string_view target)
{
    auto const name = host.substr(0, host.find(':'));
    auto const path = target.substr(0, target.find('?'));
    Route const* best = nullptr;
    for (auto const& route : table.routes) {
        if (best && route.pathPrefix.size() <= best->pathPrefix.size())
            continue;
        if (path.starts_with(route.pathPrefix) && equalsIgnoringCase(route.host, name))
            best = &route;
    }
    return best;
}

Team const* findTeamByKey(RouteTable const& table, std::string_view key)
{
    auto const found = std::find_if(table.teams.begin(), table.teams.end(), [&](Team const& team) {
        return std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end();
    });
    return found == table.teams.end() ? nullptr : &*found;
}

Service const* findService(RouteTable const& table, std::string_view name)
{
    auto const found = std::find_if(table.services.begin(), table.services.end(), [&](Service const& service) { return service.name == name; });
    return found == table.services.end() ? nullptr : &*found;
}

bool toleratesQueueing(RouteTable const& table, std::string_view service)
{
    // Several prompts are read within this time, also by a slow engine.
    static constexpr std::chrono::milliseconds shortestObjective { 750 };
    // Leaves a refused client, which returns within a third of its time, several seconds for its second attempt.
    static constexpr std::chrono::milliseconds shortestTimeout { 5500 };
    bool hasStreams = false;
    for (auto const& route : table.routes) {
        bool const leadsToService = std::any_of(route.services.begin(), route.services.end(), [&](auto const& weighted) { return weighted.service == service; });
        if (route.kind != RequestKind::Stream || !leadsToService)
            continue;
        hasStreams = true;
        if (route.targetLatency < shortestObjective || route.timeout < shortestTimeout)
            return false;
    }
    return hasStreams;
}

std::string chooseService(Route const& route, double randomValue)
{
    double total = 0;
    for (auto const& entry : route.services)
        total += entry.weight;
    double remaining = randomValue * total;
    for (auto const& entry : route.services) {
        if (remaining < entry.weight)
            return entry.service;
        remaining -= entry.weight;
    }
    return {};
}

}
