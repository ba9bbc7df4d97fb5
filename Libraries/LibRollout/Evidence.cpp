#include <LibRollout/Evidence.h>

#include <algorithm>
#include <cmath>

namespace Rollout {

std::size_t timeClassOf(Core::Duration time)
{
    static constexpr double firstBoundSeconds = 0.01;
    static constexpr double classesPerOctave = 1.5;
    auto const seconds = std::chrono::duration<double>(time).count();
    if (seconds <= firstBoundSeconds)
        return 0;
    auto const index = std::ceil(classesPerOctave * std::log2(seconds / firstBoundSeconds));
    return std::min(static_cast<std::size_t>(index), timeClasses - 1);
}

void mergeEvidence(Evidence& sum, Evidence const& added)
{
    for (auto const& [key, counts] : added) {
        auto& total = sum[key];
        total.responses += counts.responses;
        total.failures += counts.failures;
        total.broken += counts.broken;
        for (std::size_t i = 0; i < timeClasses; ++i)
            total.times[i] += counts.times[i];
    }
}

Evidence evidenceSince(Evidence const& evidence, Evidence const& before)
{
    auto const difference = [](std::uint32_t now, std::uint32_t then) { return now - std::min(now, then); };
    auto recent = evidence;
    for (auto& [key, counts] : recent) {
        auto const found = before.find(key);
        if (found == before.end())
            continue;
        auto const& known = found->second;
        counts.responses = difference(counts.responses, known.responses);
        counts.failures = difference(counts.failures, known.failures);
        counts.broken = difference(counts.broken, known.broken);
        for (std::size_t i = 0; i < timeClasses; ++i)
            counts.times[i] = difference(counts.times[i], known.times[i]);
    }
    return recent;
}

std::uint32_t countResponses(Evidence const& evidence, Group group)
{
    std::uint32_t responses = 0;
    for (auto const& [key, counts] : evidence)
        responses += key.first == group ? counts.responses : 0;
    return responses;
}

std::string describeEvidence(Evidence const& evidence)
{
    ResponseCounts sums[2];
    for (auto const& [key, counts] : evidence) {
        auto& sum = sums[static_cast<std::size_t>(key.first)];
        sum.responses += counts.responses;
        sum.failures += counts.failures;
        sum.broken += counts.broken;
    }
    auto const describe = [](ResponseCounts const& counts) {
        return std::to_string(counts.responses) + " responses, " + std::to_string(counts.failures) + " failures, " + std::to_string(counts.broken) + " broken";
    };
    return "incumbent: " + describe(sums[0]) + "; candidate: " + describe(sums[1]);
}

}
