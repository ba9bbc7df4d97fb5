#pragma once

#include <LibFleet/FleetPlan.h>
#include <Node/NodeTables.h>
#include <deque>
#include <functional>
#include <map>

namespace Node {

struct DemandObserverSettings {
    /// How long a peak is remembered, and how long the demand must have been observed before hosts are drained.
    Core::Duration peakWindow { std::chrono::minutes(15) };
    /// Time constant of the exponential smoothing, which keeps short bursts from counting as a trend.
    Core::Duration smoothingTimeConstant { std::chrono::seconds(30) };
    /// Older load reports are ignored.
    Core::Duration maximumReportAge { std::chrono::seconds(5) };
};

/// Returns this node's estimate of the requests per second that the whole deployment admits for a team.
using TeamDemand = std::function<double(std::string const& team)>;

/// Estimates the demand for each service, observed since construction. For a model it is the sum over all servers of the
/// capacity times the fraction of slots in use or waited for, since every node receives the load reports of all servers. Load
/// reports of plain services have no slots; their demand is estimated as the sum of the demands of the teams that may use the
/// service, which is an upper bound. Used from the runtime's thread only.
class DemandObserver {
public:
    explicit DemandObserver(DemandObserverSettings);

    /// Adds a sample for each service with machine classes. Services without a recent report keep their last estimate.
    void observe(NodeTables const&, std::vector<Platform::Host> const&, TeamDemand const&, Core::MonotonicTime now);

    /// Returns the demand for each service that has been observed.
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
