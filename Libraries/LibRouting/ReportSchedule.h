#pragma once

#include <LibCore/Random.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Limits a mean byte rate, with a burst allowance. Spending may overdraw the budget; nothing more may be spent until it is positive.
struct ByteBudget {
    double bytesPerSecond { 0 };
    double burstBytes { 0 };
    double available { 0 };
    Core::MonotonicTime refilledAt {};

    bool operator==(ByteBudget const&) const = default;
};

/// Refills the budget, and returns whether anything may be spent now.
bool maySpend(ByteBudget&, Core::MonotonicTime now);
void spend(ByteBudget&, std::size_t bytes);

/// The part of a node's control traffic budget (11 KB/s) that its other control traffic leaves for load reports and cache events.
/// Bounded below, so that a busy node still receives reports, and above, because more reports do not improve routing.
[[nodiscard]] double reportBytesPerSecond(double otherControlBytesPerSecond);

struct ReportScheduleSettings {
    std::string dataCentre;
    /// Minimum number of servers of each service in the node's own data centre that are polled for load.
    std::size_t localPerService { 8 };
    /// The sample of a service grows until each of its servers in the data centre is polled by this many nodes on average, so
    /// that a leaving server is noticed.
    std::size_t nodesPerServer { 3 };
    /// The number of polled servers of each service in all other data centres together.
    std::size_t remotePerService { 1 };
    /// Minimum time between two reports of one server.
    Core::Duration minimumInterval { std::chrono::milliseconds(250) };
    /// Time between two replacements of a sampled server of a service.
    Core::Duration rotationInterval { std::chrono::seconds(10) };

    bool operator==(ReportScheduleSettings const&) const = default;
};

struct SampledServer {
    std::string id;
    std::uint64_t incarnation { 0 };
    Core::MonotonicTime sampledAt {};
    Core::MonotonicTime reportRequestedAt {};
    Core::MonotonicTime cacheEventsRequestedAt {};

    bool operator==(SampledServer const&) const = default;
};

/// The servers that this node polls for load. Each node draws its own sample, so that every server is polled by a few nodes and
/// the nodes do not all choose the same servers.
struct ReportSchedule {
    std::vector<SampledServer> sample;
    /// Keyed by service and by whether the servers are in the node's own data centre.
    std::map<std::pair<std::string, bool>, Core::MonotonicTime> rotatedAt;

    bool operator==(ReportSchedule const&) const = default;
};

/// Removes missing, restarted and leaving servers, fills the sample, and replaces one server per service and rotation interval.
/// Precondition: nodesInDataCentre is at least 1.
void updateSample(ReportSchedule&, ServerTable const&, ReportScheduleSettings const&, std::size_t nodesInDataCentre, Core::MonotonicTime now, Core::Random&);

/// Returns the due server that was polled longest ago, and records that it is polled now; null if none is due. The pointer is
/// valid until the next update.
[[nodiscard]] SampledServer const* takeDueReport(ReportSchedule&, ReportScheduleSettings const&, Core::MonotonicTime now);

/// The same for cache events, among the servers with the given ids.
[[nodiscard]] SampledServer const* takeDueCacheEvents(ReportSchedule&, std::vector<std::string> const& ids, Core::Duration interval, Core::MonotonicTime now);

}
