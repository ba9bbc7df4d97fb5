#include <LibRouting/ReportSchedule.h>

#include <algorithm>
#include <set>

namespace Routing {

bool maySpend(ByteBudget& budget, Core::MonotonicTime now)
{
    if (budget.refilledAt == Core::MonotonicTime {})
        budget.available = budget.burstBytes;
    else
        budget.available += std::chrono::duration<double>(now - budget.refilledAt).count() * budget.bytesPerSecond;
    budget.available = std::min(budget.available, budget.burstBytes);
    budget.refilledAt = now;
    return budget.available > 0;
}

void spend(ByteBudget& budget, std::size_t bytes)
{
    budget.available -= static_cast<double>(bytes);
}

double reportBytesPerSecond(double otherControlBytesPerSecond)
{
    // Less than the budget of 11 KB/s, because the size of packet headers is only estimated.
    static constexpr double controlBytesPerSecond = 10'500;
    static constexpr double minimum = 500;
    static constexpr double maximum = 5000;
    return std::clamp(controlBytesPerSecond - otherControlBytesPerSecond, minimum, maximum);
}

using Group = std::pair<std::string, bool>;

static Group groupOf(ServerRow const& row, ReportScheduleSettings const& settings)
{
    return { row.service, row.dataCentre == settings.dataCentre };
}

static void fillGroup(ReportSchedule& schedule, Group const& group, std::vector<ServerRow const*> candidates, std::size_t size, ReportScheduleSettings const& settings, Core::MonotonicTime now, Core::Random& random)
{
    std::vector<SampledServer*> members;
    std::set<std::string_view> ids;
    for (auto& member : schedule.sample) {
        if (std::any_of(candidates.begin(), candidates.end(), [&](auto const* row) { return row->id == member.id; })) {
            members.push_back(&member);
            ids.insert(member.id);
        }
    }
    std::erase_if(candidates, [&](auto const* row) { return ids.contains(row->id); });
    auto const draw = [&] {
        auto const index = random.below(candidates.size());
        auto const* row = candidates[index];
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
        return SampledServer { row->id, row->incarnation, now, {}, {} };
    };
    auto& rotatedAt = schedule.rotatedAt.try_emplace(group, now).first->second;
    if (members.size() >= size && !candidates.empty() && now - rotatedAt >= settings.rotationInterval) {
        auto* const oldest = *std::min_element(members.begin(), members.end(), [](auto const* left, auto const* right) { return left->sampledAt < right->sampledAt; });
        *oldest = draw();
        rotatedAt = now;
    }
    for (auto count = members.size(); count < size && !candidates.empty(); ++count)
        schedule.sample.push_back(draw());
}

void updateSample(ReportSchedule& schedule, ServerTable const& table, ReportScheduleSettings const& settings, std::size_t nodesInDataCentre, Core::MonotonicTime now, Core::Random& random)
{
    std::map<Group, std::vector<ServerRow const*>> groups;
    std::map<std::string_view, std::uint64_t> incarnations;
    for (auto const& row : table.rows) {
        if (row.lifecycle == Lifecycle::Leaving)
            continue;
        groups[groupOf(row, settings)].push_back(&row);
        incarnations[row.id] = row.incarnation;
    }
    std::erase_if(schedule.sample, [&](auto const& member) {
        auto const found = incarnations.find(member.id);
        return found == incarnations.end() || found->second != member.incarnation;
    });
    for (auto& [group, rows] : groups) {
        auto const sizeForCoverage = (rows.size() * settings.nodesPerServer + nodesInDataCentre - 1) / nodesInDataCentre;
        auto const size = group.second ? std::max(settings.localPerService, sizeForCoverage) : settings.remotePerService;
        fillGroup(schedule, group, std::move(rows), size, settings, now, random);
    }
    std::erase_if(schedule.rotatedAt, [&](auto const& entry) { return !groups.contains(entry.first); });
}

SampledServer const* takeDueReport(ReportSchedule& schedule, ReportScheduleSettings const& settings, Core::MonotonicTime now)
{
    auto const first = std::min_element(schedule.sample.begin(), schedule.sample.end(), [](auto const& left, auto const& right) { return left.reportRequestedAt < right.reportRequestedAt; });
    if (first == schedule.sample.end() || now - first->reportRequestedAt < settings.minimumInterval)
        return nullptr;
    first->reportRequestedAt = now;
    return &*first;
}

SampledServer const* takeDueCacheEvents(ReportSchedule& schedule, std::vector<std::string> const& ids, Core::Duration interval, Core::MonotonicTime now)
{
    SampledServer* first = nullptr;
    for (auto& member : schedule.sample) {
        if (std::find(ids.begin(), ids.end(), member.id) == ids.end() || now - member.cacheEventsRequestedAt < interval)
            continue;
        if (!first || member.cacheEventsRequestedAt < first->cacheEventsRequestedAt)
            first = &member;
    }
    if (first)
        first->cacheEventsRequestedAt = now;
    return first;
}

}
