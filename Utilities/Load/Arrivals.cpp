#include <Load/Arrivals.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Load {

static double drawExponential(Core::Random& random)
{
    // 1 - unit() is never 0.
    return -std::log(1 - random.unit());
}

std::vector<BurstWindow> drawBursts(Bursts const& bursts, double durationSeconds, Core::Random& random)
{
    std::vector<BurstWindow> windows;
    if (bursts.everySeconds <= 0 || bursts.lengthSeconds <= 0)
        return windows;
    // The mean interval between burst starts is everySeconds, which includes the burst of lengthSeconds.
    auto const meanGap = std::max(0.0, bursts.everySeconds - bursts.lengthSeconds);
    double time = meanGap * drawExponential(random);
    while (time < durationSeconds) {
        windows.push_back({ time, time + bursts.lengthSeconds });
        time += bursts.lengthSeconds + meanGap * drawExponential(random);
    }
    return windows;
}

// The integral of the rate between two arrivals of a Poisson process is exponentially distributed with mean 1.
double nextArrival(double after, double ratePerSecond, std::vector<BurstWindow> const& windows, double factor, Core::Random& random)
{
    auto remaining = drawExponential(random);
    auto time = after;
    auto window = std::find_if(windows.begin(), windows.end(), [&](BurstWindow const& candidate) { return candidate.end > time; });
    while (true) {
        bool const inBurst = window != windows.end() && time >= window->start;
        auto const rate = inBurst ? ratePerSecond * factor : ratePerSecond;
        auto const boundary = window == windows.end() ? std::numeric_limits<double>::infinity() : (inBurst ? window->end : window->start);
        if (rate > 0 && time + remaining / rate <= boundary)
            return time + remaining / rate;
        if (std::isinf(boundary))
            return boundary;
        remaining -= rate * (boundary - time);
        time = boundary;
        if (inBurst)
            ++window;
    }
}

std::uint32_t drawLogUniform(Range const& range, Core::Random& random)
{
    if (range.minimum == range.maximum)
        return range.minimum;
    // Shifted by one because the logarithm of a range that begins at 0 is undefined.
    auto const low = std::log(range.minimum + 1.0);
    auto const high = std::log(range.maximum + 2.0);
    auto const value = static_cast<std::uint32_t>(std::exp(low + (high - low) * random.unit()) - 1);
    return std::clamp(value, range.minimum, range.maximum);
}

}
