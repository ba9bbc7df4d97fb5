#include <LibRouting/LengthEstimator.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Routing {

static constexpr std::size_t maximumHistories = 4096;
static constexpr double historyWeight = 0.1;
// Fraction of max_tokens assumed without history; most outputs end well before the limit.
static constexpr double defaultLengthFraction = 0.5;
static constexpr std::uint32_t assumedMaximumTokens = 1024;

static std::uint32_t effectiveMaximumTokens(std::uint32_t maximumTokens)
{
    return maximumTokens == 0 ? assumedMaximumTokens : maximumTokens;
}

LengthEstimator::Key LengthEstimator::keyFor(LengthHint const& hint)
{
    auto const sizeClass = static_cast<std::uint32_t>(std::bit_width(hint.promptTokens) * 64 + std::bit_width(hint.maximumTokens));
    return { hint.team + '\n' + hint.service, sizeClass };
}

std::uint32_t LengthEstimator::estimate(LengthHint const& hint) const
{
    auto const maximumTokens = effectiveMaximumTokens(hint.maximumTokens);
    auto const found = m_histories.find(keyFor(hint));
    double expected = defaultLengthFraction * maximumTokens;
    if (found != m_histories.end())
        expected = found->second.mean + found->second.deviation;
    return static_cast<std::uint32_t>(std::clamp(std::ceil(expected), 1.0, static_cast<double>(maximumTokens)));
}

void LengthEstimator::recordFinished(LengthHint const& hint, std::uint32_t tokens)
{
    if (m_histories.size() >= maximumHistories && !m_histories.contains(keyFor(hint)))
        m_histories.erase(m_histories.begin());
    auto& history = m_histories[keyFor(hint)];
    // Averages the first samples equally, so that the estimate is not biased towards zero.
    double const weight = std::max(historyWeight, 1.0 / (history.samples + 1));
    double const error = tokens - history.mean;
    history.mean += weight * error;
    history.deviation += weight * (std::abs(error) * (history.samples == 0 ? 0 : 1) - history.deviation);
    ++history.samples;
}

std::uint32_t correctedEstimate(std::uint32_t estimate, std::uint32_t generatedTokens, std::uint32_t maximumTokens)
{
    if (generatedTokens < estimate)
        return estimate;
    return std::min(std::max(generatedTokens * 2, 1U), effectiveMaximumTokens(maximumTokens));
}

std::uint32_t priorityForRemaining(std::uint32_t remainingTokens)
{
    // 0 below 8 tokens, then one level per power of two, so that short requests run before long ones.
    static constexpr int highestPriorityBits = 3;
    static constexpr int lowestPriority = 9;
    return static_cast<std::uint32_t>(std::clamp(static_cast<int>(std::bit_width(remainingTokens)) - highestPriorityBits, 0, lowestPriority));
}

}
