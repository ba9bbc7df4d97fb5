#pragma once

#include <LibCore/Random.h>
#include <Load/Mix.h>
#include <vector>

namespace Load {

/// Start and end of one burst, in seconds since the start of the run.
struct BurstWindow {
    double start { 0 };
    double end { 0 };

    bool operator==(BurstWindow const&) const = default;
};

/// Draws the bursts of a run, ordered by start time and without overlaps.
[[nodiscard]] std::vector<BurstWindow> drawBursts(Bursts const&, double durationSeconds, Core::Random&);

/// Draws the next arrival after the given time, in seconds since the start of the run, of a Poisson process whose rate is
/// multiplied by the factor during bursts. Returns infinity if the rate stays 0.
[[nodiscard]] double nextArrival(double after, double ratePerSecond, std::vector<BurstWindow> const&, double factor, Core::Random&);

/// Draws a number of the range, log-uniformly distributed.
[[nodiscard]] std::uint32_t drawLogUniform(Range const&, Core::Random&);

}
