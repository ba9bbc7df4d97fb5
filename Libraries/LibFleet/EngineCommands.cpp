#include <LibFleet/EngineCommands.h>

#include <algorithm>
#include <map>
#include <numeric>

namespace Fleet {

bool canSendCommands(LeaseStatus const& lease, CommandPolicy const& policy)
{
    if (lease.epoch == 0 || lease.remaining <= policy.commandTimeout)
        return false;
    return policy.fencing == EngineFencing::Checked || lease.heldFor >= policy.leaseDuration + policy.commandTimeout;
}

static std::string commandReason(std::string const& desiredValue, std::string const& reportedValue, std::uint64_t reportedEpoch, std::uint64_t epoch)
{
    if (reportedValue != desiredValue)
        return reportedValue.empty() ? "the engine has not confirmed the value" : "the engine reports " + reportedValue;
    return "resent in epoch " + std::to_string(epoch) + "; last confirmed in epoch " + std::to_string(reportedEpoch);
}

std::vector<EngineCommand> decideCommands(std::vector<DesiredEngine> const& desired, std::vector<ReportedEngine> const& reported, LeaseStatus const& lease, CommandPolicy const& policy)
{
    std::vector<EngineCommand> commands;
    if (!canSendCommands(lease, policy))
        return commands;
    for (auto const& engine : desired) {
        auto const found = std::find_if(reported.begin(), reported.end(), [&](auto const& reportedEngine) { return reportedEngine.serverId == engine.serverId && reportedEngine.incarnation == engine.incarnation; });
        auto const reportedEngine = found == reported.end() ? ReportedEngine {} : *found;
        auto const appendCommandIfNeeded = [&](EngineCommandKind kind, std::string const& desiredValue, std::string const& reportedValue, std::uint64_t reportedEpoch) {
            if (desiredValue.empty() || (reportedValue == desiredValue && reportedEpoch == lease.epoch))
                return;
            commands.push_back({ engine.serverId, engine.incarnation, kind, desiredValue, lease.epoch, commandReason(desiredValue, reportedValue, reportedEpoch, lease.epoch) });
        };
        appendCommandIfNeeded(EngineCommandKind::Role, engine.role, reportedEngine.role, reportedEngine.roleEpoch);
        appendCommandIfNeeded(EngineCommandKind::Load, engine.version, reportedEngine.version, reportedEngine.versionEpoch);
    }
    return commands;
}

// Uses the largest remainder method, so that the counts add up to the number of engines.
static std::map<std::string, std::size_t> targetVersionCounts(std::vector<Configuration::ModelVersion> const& versions, std::size_t engines)
{
    std::map<std::string, std::size_t> counts;
    std::uint64_t const total = std::accumulate(versions.begin(), versions.end(), std::uint64_t { 0 }, [](auto sum, auto const& version) { return sum + version.weight; });
    if (total == 0)
        return counts;
    std::vector<std::pair<std::uint64_t, std::string>> remainders;
    std::size_t assigned = 0;
    for (auto const& version : versions) {
        auto const scaledShare = version.weight * engines;
        assigned += counts[version.name] = scaledShare / total;
        if (version.weight > 0)
            remainders.emplace_back(total - scaledShare % total, version.name);
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

std::vector<std::string> assignVersions(std::vector<Configuration::ModelVersion> const& versions, std::vector<std::string> const& currentVersions)
{
    auto counts = targetVersionCounts(versions, currentVersions.size());
    std::vector<std::string> result(currentVersions.size());
    for (std::size_t index = 0; index < result.size(); ++index) {
        auto const found = counts.find(currentVersions[index]);
        if (found == counts.end() || found->second == 0)
            continue;
        --found->second;
        result[index] = currentVersions[index];
    }
    for (auto& version : result) {
        auto const unfilled = std::find_if(counts.begin(), counts.end(), [](auto const& count) { return count.second > 0; });
        if (!version.empty() || unfilled == counts.end())
            continue;
        --unfilled->second;
        version = unfilled->first;
    }
    return result;
}

}
