#pragma once

#include <Soak/SoakSchedule.h>
#include <string>
#include <vector>

namespace Soak {

/// What clients and backend servers saw.
struct SoakResult {
    /// Broken promises, one line each; empty if all were kept.
    std::vector<std::string> violations;
    std::size_t requests { 0 };
    std::size_t answered { 0 };
    std::size_t refused { 0 };
    /// Without a whole answer and without a refusal.
    std::size_t failed { 0 };
    /// Logs of the processes; filled if a promise was broken.
    std::string logs;
};

/// Starts `hyssopstep edge` processes on loopback addresses with stand-ins of the store and the backend servers behind fault proxies,
/// sends requests while the faults of the schedule are injected, and checks at the end that everything has recovered. Ends all
/// processes that it started. Not thread safe.
[[nodiscard]] SoakResult runSoak(SoakOptions const&);

}
