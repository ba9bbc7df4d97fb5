#pragma once

#include <LibFleet/FleetPlan.h>
#include <Node/NodeTables.h>
#include <deque>
#include <functional>
#include <map>

namespace Node {

struct DemandObserverSettings {
    /// How long a peak counts, and how long the demand must have been observed before hosts are drained.
    Core::Duration peakWindow { std::chrono::minutes(15) };
    /// Of the exponential smoothing of demand samples, so that short bursts do not count as a trend.
    Core::Duration smoothingTimeConstant { std::chrono::seconds(30) };
    /// A load report older than this is not used.
    Core::Duration maximumReportAge { std::chrono::seconds(5) };
};

/// The requests a second that the nodes of the deployment admit for a team, as far as it is known here.
using TeamDemand = std::function<double(std::string const& team)>;

/// Estimates the demand of each service, from the time it is created. For a model it is the sum over the servers of capacity
/// times share of slots in use or waited for, since every node hears the load reports of all servers. For a plain service,
/// whose reports have no slots, it is at most the sum of the demands of the teams that may use it. Used from the runtime's
/// thread only.
class DemandObserver {
public:
    explicit DemandObserver(DemandObserverSettings);

    /// Adds a sample of each service with machine classes. Services without a fresh report keep their last estimate.
    void observe(NodeTables const&, std::vector<Platform::Host> const&, TeamDemand const&, Core::MonotonicTime now);

    /// The demand of the services that have been observed.
    [[nodiscard]] std::vector<Fleet::ServiceDemand> demands(Configuration::DesiredState const&, Core::MonotonicTime now) const;

private:
    struct Sample {
        Core::MonotonicTime at;
        std::uint64_t rate { 0 };
    };

    struct Series {
        double smoothed { 0 };
        Core::MonotonicTime since;
        std::deque<Sample> samples;
    };

    void add(Series&, double rate, Core::MonotonicTime now) const;

    DemandObserverSettings m_settings;
    std::map<std::string, Series> m_series;
};

}
