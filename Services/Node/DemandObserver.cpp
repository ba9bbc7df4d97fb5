#include <Node/DemandObserver.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace Node {

DemandObserver::DemandObserver(DemandObserverSettings settings)
    : m_settings(settings)
{
}

// In thousandths of a request per second. Servers without a recent report are assumed to have the average utilization.
static std::optional<double> modelDemand(std::string const& service, NodeTables const& tables, std::vector<Platform::Host> const& hosts, Core::MonotonicTime oldestReport)
{
    double demand = 0;
    double reportedCapacity = 0;
    double totalCapacity = 0;
    for (auto const& host : hosts) {
        if (host.service != service || host.role != Platform::HostRole::Backend)
            continue;
        auto const offer = Fleet::offerFor(tables.configuration.desired.places, Fleet::poolOf(host));
        if (!offer)
            continue;
        auto const capacity = static_cast<double>(offer->capacity);
        totalCapacity += capacity;
        auto const* row = Routing::findServer(tables.servers, host.id);
        if (!row || !row->report || row->report->receivedAt < oldestReport)
            continue;
        auto const slots = row->report->running + row->report->freeSlots;
        if (slots == 0)
            continue;
        reportedCapacity += capacity;
        demand += capacity * static_cast<double>(row->report->running + row->report->waiting) / slots;
    }
    if (totalCapacity == 0)
        return 0;
    if (reportedCapacity == 0)
        return std::nullopt;
    return demand * totalCapacity / reportedCapacity;
}

static double plainDemand(std::string const& service, Configuration::DesiredState const& desired, TeamDemand const& teamDemand)
{
    static constexpr double thousandths = 1000;
    double demand = 0;
    for (auto const& team : desired.teams) {
        if (std::find(team.services.begin(), team.services.end(), service) != team.services.end())
            demand += teamDemand(team.name) * thousandths;
    }
    return demand;
}

void DemandObserver::observe(NodeTables const& tables, std::vector<Platform::Host> const& hosts, TeamDemand const& teamDemand, Core::MonotonicTime now)
{
    auto const& desired = tables.configuration.desired;
    for (auto const& service : desired.services) {
        if (service.machineClasses.empty())
            continue;
        auto const rate = service.kind == Configuration::ServiceKind::Model
            ? modelDemand(service.name, tables, hosts, now - m_settings.maximumReportAge)
            : std::optional(plainDemand(service.name, desired, teamDemand));
        if (rate)
            add(m_series[service.name], *rate, now);
    }
}

void DemandObserver::add(Series& series, double rate, Core::MonotonicTime now) const
{
    if (series.samples.empty()) {
        series.smoothed = rate;
        series.since = now;
    } else {
        auto const elapsed = std::chrono::duration<double>(now - series.samples.back().at);
        series.smoothed += (rate - series.smoothed) * (1 - std::exp(-elapsed / std::chrono::duration<double>(m_settings.smoothingTimeConstant)));
    }
    series.samples.push_back({ now, static_cast<std::uint64_t>(std::ceil(series.smoothed)) });
    while (series.samples.front().at < now - m_settings.peakWindow)
        series.samples.pop_front();
}

std::vector<Fleet::ServiceDemand> DemandObserver::demands(Configuration::DesiredState const& desired, Core::MonotonicTime now) const
{
    std::vector<Fleet::ServiceDemand> result;
    for (auto const& service : desired.services) {
        auto const found = m_series.find(service.name);
        if (service.machineClasses.empty() || found == m_series.end())
            continue;
        auto const& series = found->second;
        Fleet::ServiceDemand demand { service.name, series.samples.back().rate, 0, 0, service.importance, service.minimumServers, service.maximumServers, service.machineClasses, Fleet::ScaleDown::Deferred };
        for (auto const& sample : series.samples)
            demand.recentPeak = std::max(demand.recentPeak, sample.rate);
        // Computes the growth from a sample at least one time constant old, since shorter intervals mostly show noise.
        auto const earlier = std::find_if(series.samples.rbegin(), series.samples.rend(), [&](auto const& sample) { return sample.at <= now - m_settings.smoothingTimeConstant; });
        if (earlier != series.samples.rend() && demand.demand > earlier->rate)
            demand.growth = static_cast<std::uint64_t>(static_cast<double>(demand.demand - earlier->rate) / std::chrono::duration<double>(now - earlier->at).count());
        if (now - series.since >= m_settings.peakWindow)
            demand.scaleDown = Fleet::ScaleDown::Allowed;
        result.push_back(std::move(demand));
    }
    return result;
}

}
