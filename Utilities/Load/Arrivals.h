#pragma once

#include <LibCore/Random.h>
#include <Load/Mix.h>
#include <vector>

namespace Load {

/// The time of one burst in seconds since the start of the run.
struct BurstWindow {
    double start { 0 };
    double end { 0 };

    bool operator==(BurstWindow const&) const = default;
};

/// Draws the bursts of a run, in the order of their times and without overlaps.
[[nodiscard]] std::vector<BurstWindow> drawBursts(Bursts const&, double durationSeconds, Core::Random&);

/// The next arrival after a time, in seconds since the start, of a Poisson process whose rate is multiplied by the factor in
/// each burst. Infinity if the rate is 0 from then on.
[[nodiscard]] double nextArrival(double after, double ratePerSecond, std::vector<BurstWindow> const&, double factor, Core::Random&);

/// A number of the range.
[[nodiscard]] std::uint32_t drawLogUniform(Range const&, Core::Random&);

}
