#pragma once

#include <LibCore/Random.h>
#include <LibRouting/ServerTable.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// A mean rate of bytes, with a burst allowance. Spending may exceed what is left; nothing more is spent until that is made up for.
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

/// What is left for load reports and cache events of a node's control budget (11 KB/s) beside its other control traffic.
/// Bounded below, so that a busy node still learns something, and above, since more reports than that are of no use.
[[nodiscard]] double reportBytesPerSecond(double otherControlBytesPerSecond);

struct ReportScheduleSettings {
    std::string dataCentre;
    /// Servers of each service that are asked for their load, at least, of the own data centre and of the others together.
    std::size_t localPerService { 8 };
    /// The sample of a service grows until each of its servers in the data centre is asked by this many nodes on average, so
    /// that one which leaves is noticed.
    std::size_t nodesPerServer { 3 };
    std::size_t remotePerService { 1 };
    /// Between two reports of one server.
    Core::Duration minimumInterval { std::chrono::milliseconds(250) };
    /// Between two replacements of a sampled server of a service by another one.
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

/// The servers that this node asks for their load. Each node draws its own sample, so that every server is asked by a few
/// nodes, and the nodes do not all choose the same servers.
struct ReportSchedule {
    std::vector<SampledServer> sample;
    /// By service and whether the servers are of the own data centre.
    std::map<std::pair<std::string, bool>, Core::MonotonicTime> rotatedAt;

    bool operator==(ReportSchedule const&) const = default;
};

/// Drops servers that are gone or leaving, fills the sample, and replaces one server of each service after the rotation time.
/// Precondition: nodesInDataCentre is at least 1.
void updateSample(ReportSchedule&, ServerTable const&, ReportScheduleSettings const&, std::size_t nodesInDataCentre, Core::MonotonicTime now, Core::Random&);

/// Returns the sampled server that was asked longest ago and is due, and notes that it is asked now; null if none is due.
/// Valid until the next update.
[[nodiscard]] SampledServer const* takeDueReport(ReportSchedule&, ReportScheduleSettings const&, Core::MonotonicTime now);

/// The same for cache events, among the given ids.
[[nodiscard]] SampledServer const* takeDueCacheEvents(ReportSchedule&, std::vector<std::string> const& ids, Core::Duration interval, Core::MonotonicTime now);

}
