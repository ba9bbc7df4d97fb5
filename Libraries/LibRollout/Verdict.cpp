#include <LibRollout/Verdict.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Rollout {

namespace {

// How often something was observed at the candidate, and how often it would be if it were as frequent as at the incumbents.
struct Comparison {
    double responses { 0 };
    double observed { 0 };
    double expected { 0 };
    double variance { 0 };
};

struct Threshold {
    /// Standard deviations above the expectation.
    double deviations;
    double minimumObserved;
    /// Difference of the fractions.
    double minimumExcess;
};

}

// About five looks a second at six comparisons give a good version less than a percent of false alarms.
static constexpr Threshold failureThreshold { 4, 5, 0.02 };
// A smaller excess than this is within what an uneven load causes.
static constexpr Threshold slownessThreshold { 5, 8, 0.25 };
// While the caches may still fill, only a version that is slow on most requests is found.
static constexpr Threshold earlySlownessThreshold { 5, 12, 0.5 };
// What keeps a version from being found good.
static constexpr Threshold suspicionThreshold { 2, 2, 0.02 };
static constexpr Threshold slownessSuspicionThreshold { 2.5, 6, 0.2 };

static bool exceeds(Comparison const& comparison, Threshold const& threshold)
{
    if (comparison.responses == 0 || comparison.observed < threshold.minimumObserved)
        return false;
    double const excess = comparison.observed - comparison.expected;
    return excess >= threshold.minimumExcess * comparison.responses && excess >= threshold.deviations * std::sqrt(comparison.variance + 1);
}

static void add(Comparison& sum, Comparison const& other)
{
    sum.responses += other.responses;
    sum.observed += other.observed;
    sum.expected += other.expected;
    sum.variance += other.variance;
}

static Comparison compare(double responses, double observed, double fraction)
{
    return { responses, observed, responses * fraction, responses * fraction * (1 - fraction) };
}

// The fraction of the incumbents' responses. Without many of them a fraction of some percent is assumed.
static double failureFraction(std::uint32_t failures, std::uint32_t responses)
{
    static constexpr double assumedFailures = 1;
    static constexpr double assumedResponses = 20;
    return std::min((failures + assumedFailures) / (responses + assumedResponses), 1.0);
}

static std::size_t medianClass(ResponseCounts const& counts)
{
    auto const total = std::accumulate(counts.times.begin(), counts.times.end(), std::uint64_t(0));
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < timeClasses; ++i) {
        below += counts.times[i];
        if (2 * below >= total)
            return i;
    }
    return timeClasses - 1;
}

static std::uint32_t countFrom(ResponseCounts const& counts, std::size_t timeClass)
{
    std::uint32_t count = 0;
    for (auto i = timeClass; i < timeClasses; ++i)
        count += counts.times[i];
    return count;
}

// Responses that took about twice the incumbents' median or more.
static Comparison compareTimes(ResponseCounts const& candidate, ResponseCounts const& incumbent)
{
    static constexpr std::uint32_t minimumIncumbentResponses = 10;
    auto const timed = countFrom(incumbent, 0);
    if (timed < minimumIncumbentResponses)
        return {};
    auto const slowClass = medianClass(incumbent) + 2;
    double const fraction = failureFraction(countFrom(incumbent, slowClass), timed);
    return compare(countFrom(candidate, 0), countFrom(candidate, slowClass), fraction);
}

namespace {

enum class Aspect {
    Failures,
    Broken,
    Slowness,
};

}

// Returns the first route on which the candidate exceeds the threshold, or "all routes" if it does over all; empty if it does not.
static std::string findExcess(Evidence const& evidence, Evidence const& total, Aspect aspect, Threshold const& threshold)
{
    static constexpr std::uint32_t minimumIncumbentResponses = 10;
    Comparison sum;
    for (auto const& [key, candidate] : evidence) {
        auto const& [group, route] = key;
        if (group != Group::Candidate)
            continue;
        ResponseCounts incumbent;
        // On a route with few recent responses of the incumbents, all of theirs are the measure.
        for (auto const* source : { &evidence, &total }) {
            auto const found = source->find({ Group::Incumbent, route });
            if (found != source->end() && incumbent.responses < minimumIncumbentResponses)
                incumbent = found->second;
        }
        Comparison comparison;
        if (aspect == Aspect::Failures)
            comparison = compare(candidate.responses, candidate.failures, failureFraction(incumbent.failures, incumbent.responses));
        else if (aspect == Aspect::Broken)
            comparison = compare(candidate.responses, candidate.broken, failureFraction(incumbent.broken, incumbent.responses));
        else
            comparison = compareTimes(candidate, incumbent);
        if (exceeds(comparison, threshold))
            return route;
        add(sum, comparison);
    }
    return exceeds(sum, threshold) ? "all routes" : "";
}

static std::string findFault(Observation const& observation)
{
    for (auto const* evidence : { &observation.recent, &observation.total }) {
        if (auto const route = findExcess(*evidence, observation.total, Aspect::Failures, failureThreshold); !route.empty())
            return "failures on " + route;
    }
    // Caches fill within about a sixth of the period. Reports arrive up to a window late.
    auto const warmUpTime = observation.period / 6 + recentWindow(observation.period);
    if (observation.observed >= warmUpTime) {
        auto const isWarm = observation.observed >= warmUpTime + recentWindow(observation.period);
        if (auto const route = findExcess(observation.recent, observation.total, Aspect::Slowness, isWarm ? slownessThreshold : earlySlownessThreshold); !route.empty())
            return "slow responses on " + route;
    }
    auto const recentlyBroken = findExcess(observation.recent, observation.total, Aspect::Broken, failureThreshold);
    if (!recentlyBroken.empty() && !findExcess(observation.earlier, observation.total, Aspect::Broken, failureThreshold).empty())
        return "broken responses on " + recentlyBroken;
    return {};
}

static bool isSuspicious(Observation const& observation)
{
    return !findExcess(observation.total, observation.total, Aspect::Failures, suspicionThreshold).empty()
        || !findExcess(observation.recent, observation.total, Aspect::Failures, suspicionThreshold).empty()
        || !findExcess(observation.recent, observation.total, Aspect::Broken, failureThreshold).empty()
        || !findExcess(observation.recent, observation.total, Aspect::Slowness, slownessSuspicionThreshold).empty();
}

// The number of responses that is enough falls towards the end of the period, for services with few requests.
static std::uint32_t sufficientResponses(double elapsed)
{
    if (elapsed < 0.75)
        return 20;
    return elapsed < 0.85 ? 5 : 1;
}

Observation observe(RolloutTable::Row const& row, Core::Duration elapsed, Core::MonotonicTime now)
{
    Observation observation;
    observation.period = row.order.id.period;
    observation.elapsed = elapsed;
    observation.observed = row.observedSince ? now - *row.observedSince : Core::Duration(0);
    if (row.snapshots.empty())
        return observation;
    observation.total = row.snapshots.back().evidence;
    auto const window = recentWindow(observation.period);
    Evidence before;
    for (auto const& snapshot : row.snapshots) {
        auto const age = now - snapshot.at;
        if (age >= window)
            before = snapshot.evidence;
        if (age >= 2 * window)
            observation.earlier = snapshot.evidence;
    }
    observation.recent = evidenceSince(observation.total, before);
    return observation;
}

Judgement decideVerdict(Observation const& observation)
{
    // Half of the period and reports that take some seconds. The requests at the incumbents end before the order is completed.
    static constexpr double goodFrom = 0.66;
    // From here on, half of the period need not be covered, for servers that started late.
    static constexpr double lateFrom = 0.8;
    // Leaves time for the write before the deadline.
    static constexpr double endsAt = 0.9;
    if (auto fault = findFault(observation); !fault.empty())
        return { Verdict::Bad, std::move(fault) };
    auto const fractionOf = [&](Core::Duration time) { return std::chrono::duration<double>(time) / std::chrono::duration<double>(observation.period); };
    double const elapsed = fractionOf(observation.elapsed);
    double const observed = fractionOf(observation.observed);
    auto const responses = countResponses(observation.total, Group::Candidate);
    bool const isCovered = observed >= 0.5 || (elapsed >= lateFrom && observed >= 0.25);
    if (elapsed >= goodFrom && isCovered && responses >= sufficientResponses(elapsed) && !isSuspicious(observation))
        return { Verdict::Good, std::to_string(responses) + " sound responses" };
    if (elapsed >= endsAt)
        return { Verdict::NotProven, responses == 0 ? "no response of the version" : "not enough sound responses in the period" };
    return {};
}

bool isOverdue(Order const& order, Core::Duration elapsed, Core::Duration unchanged)
{
    auto const period = std::chrono::duration_cast<Core::Duration>(order.id.period);
    if (isFinal(order.state))
        return false;
    if (isRejected(order))
        return unchanged >= period / 12;
    if (order.state == State::Completing)
        return unchanged >= period / 4;
    return elapsed >= period * 5 / 6;
}

Core::Duration drainTime(std::chrono::milliseconds period, Core::Duration elapsed)
{
    static constexpr Core::Duration maximum = std::chrono::seconds(15);
    auto const whole = std::chrono::duration_cast<Core::Duration>(period);
    return elapsed >= whole * 9 / 10 ? Core::Duration(0) : std::min<Core::Duration>(whole / 6, maximum);
}

}
