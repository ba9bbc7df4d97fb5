#pragma once

#include <Soak/SoakSchedule.h>
#include <string>
#include <vector>

namespace Soak {

/// Results of a run, as observed by clients and backend servers.
struct SoakResult {
    /// Violated guarantees, one line each.
    std::vector<std::string> violations;
    std::size_t requests { 0 };
    std::size_t answered { 0 };
    std::size_t refused { 0 };
    /// Neither answered completely nor refused.
    std::size_t failed { 0 };
    /// Arrivals at servers beyond the first of each request.
    std::size_t repeats { 0 };
    /// Logs of the processes, if there were violations.
    std::string logs;
};

/// Starts `hyssopstep edge` processes on loopback addresses with stand-ins of the store and the backend servers behind fault proxies,
/// sends requests while the faults of the schedule are injected, and checks at the end that every node has recovered. Ends all
/// processes that it started. Not thread safe.
[[nodiscard]] SoakResult runSoak(SoakOptions const&);

}
