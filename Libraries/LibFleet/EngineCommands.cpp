#include <LibFleet/EngineCommands.h>

#include <algorithm>
#include <map>
#include <numeric>

namespace Fleet {

bool mayCommand(LeaseView const& lease, CommandPolicy const& policy)
{
    if (lease.epoch == 0 || lease.remaining <= policy.commandTimeout)
        return false;
    return policy.fencing == EngineFencing::Checked || lease.heldFor >= policy.leaseDuration + policy.commandTimeout;
}

static std::string reasonFor(std::string const& wanted, std::string const& present, std::uint64_t presentEpoch, std::uint64_t epoch)
{
    if (present != wanted)
        return present.empty() ? "the engine has not confirmed it" : "the engine reports " + present;
    return "sent again in epoch " + std::to_string(epoch) + ", since it was last confirmed in epoch " + std::to_string(presentEpoch);
}

std::vector<EngineCommand> decideCommands(std::vector<DesiredEngine> const& desired, std::vector<ReportedEngine> const& reported, LeaseView const& lease, CommandPolicy const& policy)
{
    std::vector<EngineCommand> commands;
    if (!mayCommand(lease, policy))
        return commands;
    for (auto const& engine : desired) {
        auto const found = std::find_if(reported.begin(), reported.end(), [&](auto const& report) { return report.serverId == engine.serverId && report.incarnation == engine.incarnation; });
        auto const report = found == reported.end() ? ReportedEngine {} : *found;
        auto const decide = [&](EngineCommandKind kind, std::string const& wanted, std::string const& present, std::uint64_t presentEpoch) {
            if (wanted.empty() || (present == wanted && presentEpoch == lease.epoch))
                return;
            commands.push_back({ engine.serverId, engine.incarnation, kind, wanted, lease.epoch, reasonFor(wanted, present, presentEpoch, lease.epoch) });
        };
        decide(EngineCommandKind::Role, engine.role, report.role, report.roleEpoch);
        decide(EngineCommandKind::Load, engine.version, report.version, report.versionEpoch);
    }
    return commands;
}

// Largest remainders, so that the counts add up to the number of engines.
static std::map<std::string, std::size_t> versionCounts(std::vector<Configuration::ModelVersion> const& versions, std::size_t engines)
{
    std::map<std::string, std::size_t> counts;
    std::uint64_t const total = std::accumulate(versions.begin(), versions.end(), std::uint64_t { 0 }, [](auto sum, auto const& version) { return sum + version.weight; });
    if (total == 0)
        return counts;
    std::vector<std::pair<std::uint64_t, std::string>> remainders;
    std::size_t assigned = 0;
    for (auto const& version : versions) {
        auto const parts = version.weight * engines;
        assigned += counts[version.name] = parts / total;
        if (version.weight > 0)
            remainders.emplace_back(total - parts % total, version.name);
    }
    std::sort(remainders.begin(), remainders.end());
    for (auto const& [remainder, name] : remainders) {
        if (assigned == engines)
            break;
        ++counts[name];
        ++assigned;
    }
    return counts;
}

std::vector<std::string> assignVersions(std::vector<Configuration::ModelVersion> const& versions, std::vector<std::string> const& presentVersions)
{
    auto counts = versionCounts(versions, presentVersions.size());
    std::vector<std::string> result(presentVersions.size());
    for (std::size_t index = 0; index < result.size(); ++index) {
        auto const found = counts.find(presentVersions[index]);
        if (found == counts.end() || found->second == 0)
            continue;
        --found->second;
        result[index] = presentVersions[index];
    }
    for (auto& version : result) {
        auto const free = std::find_if(counts.begin(), counts.end(), [](auto const& count) { return count.second > 0; });
        if (!version.empty() || free == counts.end())
            continue;
        --free->second;
        version = free->first;
    }
    return result;
}

}
