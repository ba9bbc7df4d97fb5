#include <LibRouting/EngineSpeed.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

namespace Routing {

using namespace std::chrono_literals;

static double secondsBetween(Core::MonotonicTime from, Core::MonotonicTime to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

static double decayed(double factor, double age, double lifetime)
{
    return 1 + (factor - 1) * std::exp(-age / lifetime);
}

// The speed of a shared host changes about every 600 ms.
static constexpr double statedLifetime = 0.5;
static constexpr double measuredLifetime = 1;
static constexpr double maximumSlowness = 4;

// A high quantile; above it are requests whose own part was cached as well, such as repeated ones.
static double speedFrom(std::deque<double> const& samples)
{
    static constexpr std::size_t minimumSamples = 3;
    static constexpr std::size_t samplesPerOutlier = 8;
    static constexpr double slowest = 10'000;
    static constexpr double fastest = 500'000;
    if (samples.size() < minimumSamples)
        return 0;
    std::vector<double> sorted(samples.begin(), samples.end());
    auto const position = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / samplesPerOutlier);
    std::nth_element(sorted.begin(), position, sorted.end(), std::greater<>());
    return std::clamp(*position, slowest, fastest);
}

static void recordSpeed(EngineSpeed& speed, FirstEvent const& event, double slowness)
{
    // Shorter prompts take about as long as one step of the engine.
    static constexpr std::uint32_t minimumTokens = 400;
    static constexpr std::size_t maximumSamples = 24;
    // The way, the first steps of the engine and the work of this node.
    static constexpr double overheadSeconds = 0.008;
    static constexpr double overheadToOtherDataCentres = 0.016;
    static constexpr double maximumOverheadFraction = 0.5;
    if (event.ownTokens < minimumTokens || event.seconds <= 0)
        return;
    auto const overhead = event.isInOtherDataCentre ? overheadToOtherDataCentres : overheadSeconds;
    auto const seconds = std::max(event.seconds - overhead, event.seconds * (1 - maximumOverheadFraction)) / slowness;
    auto const sample = event.ownTokens / seconds;
    // A loaded server still shows a lower bound, which may be above what is known. Below it, the sample would show the load: with all
    // servers loaded, the speed would seem to fall.
    static constexpr std::uint32_t slotsPerLowLoad = 16;
    static constexpr std::uint32_t slotsPerInitialLoad = 4;
    bool const isKnown = speed.tokensPerSecond > 0;
    bool const hasLowLoad = event.requestsInProgress <= std::max(event.slots / (isKnown ? slotsPerLowLoad : slotsPerInitialLoad), 2U);
    if (!hasLowLoad && (!isKnown || sample < speed.tokensPerSecond))
        return;
    speed.samples.push_back(sample);
    if (speed.samples.size() > maximumSamples)
        speed.samples.pop_front();
    speed.tokensPerSecond = speedFrom(speed.samples);
}

static void recordSlowness(ServerSlowness& slowness, FirstEvent const& event, Core::MonotonicTime now)
{
    static constexpr double weightOfStated = 0.6;
    static constexpr double weightOfMeasured = 0.3;
    // Differences of some milliseconds say nothing about a server.
    static constexpr double toleranceSeconds = 0.05;
    auto const age = secondsBetween(slowness.at, now);
    auto const stated = std::clamp(event.statedSlowness.value_or(1), 1.0, maximumSlowness);
    slowness.stated = decayed(slowness.stated, age, statedLifetime);
    slowness.stated += weightOfStated * (stated - slowness.stated);
    slowness.measured = decayed(slowness.measured, age, measuredLifetime);
    if (event.expectedSeconds > 0) {
        auto const ratio = (event.seconds / stated + toleranceSeconds) / (event.expectedSeconds + toleranceSeconds);
        slowness.measured += weightOfMeasured * (std::clamp(ratio, 1.0, maximumSlowness) - slowness.measured);
    }
    slowness.at = now;
}

void recordFirstEvent(EngineSpeedTable& table, FirstEvent const& event, Core::MonotonicTime now)
{
    recordSpeed(table.services[event.service], event, std::clamp(event.statedSlowness.value_or(1), 1.0, maximumSlowness));
    auto& slowness = table.servers[event.serverId];
    if (slowness.incarnation != event.incarnation)
        slowness = { .incarnation = event.incarnation, .at = now };
    recordSlowness(slowness, event, now);
}

void recordRequestEnd(EngineSpeedTable& table, std::string_view service, RequestTimes const& times)
{
    static constexpr double smallestWeight = 0.05;
    auto const found = table.services.find(service);
    if (found == table.services.end())
        return;
    auto& speed = found->second;
    auto const weight = std::max(1.0 / ++speed.ends, smallestWeight);
    auto const average = [weight](double& mean, double value) { mean += weight * (value - mean); };
    average(speed.meanPromptTokens, times.promptTokens);
    average(speed.meanReadTokens, times.readTokens);
    average(speed.meanSecondsToFirstEvent, times.secondsToFirstEvent);
    average(speed.meanSeconds, times.seconds);
    // While a prompt is being read, half of it is unread on average; before, all of it is.
    auto const halfOfReading = speed.tokensPerSecond > 0 ? times.readTokens / speed.tokensPerSecond / 2 : 0;
    average(speed.meanUnreadTokenSeconds, times.readTokens * std::max(times.secondsToFirstEvent - halfOfReading, times.secondsToFirstEvent / 2));
}

static constexpr double placementLifetime = 10;

void countPlacement(EngineSpeedTable& table, std::string_view service, Core::MonotonicTime now)
{
    auto& speed = table.services[std::string(service)];
    if (speed.recentPlacements <= 0)
        speed.firstPlacementAt = now;
    speed.recentPlacements = speed.recentPlacements * std::exp(-secondsBetween(speed.lastPlacementAt, now) / placementLifetime) + 1;
    speed.lastPlacementAt = now;
}

double placementRate(EngineSpeed const& speed, Core::MonotonicTime now)
{
    if (speed.recentPlacements <= 0)
        return 0;
    auto const observed = std::max(1.0, secondsBetween(speed.firstPlacementAt, now));
    auto const recent = speed.recentPlacements * std::exp(-secondsBetween(speed.lastPlacementAt, now) / placementLifetime);
    return recent / (placementLifetime * (1 - std::exp(-observed / placementLifetime)));
}

bool isSpeedKnown(EngineSpeedTable const& table, std::string_view service)
{
    auto const found = table.services.find(service);
    return found != table.services.end() && found->second.tokensPerSecond > 0;
}

double tokensPerSecond(EngineSpeedTable const& table, std::string_view service)
{
    static constexpr double assumed = 150'000;
    auto const found = table.services.find(service);
    return found != table.services.end() && found->second.tokensPerSecond > 0 ? found->second.tokensPerSecond : assumed;
}

double unreadTokensPerRequest(EngineSpeed const& speed)
{
    // Requests of usual lengths spend most of their time generating.
    static constexpr double assumedTokens = 500;
    if (speed.ends == 0 || speed.meanSeconds <= 0)
        return assumedTokens;
    return std::min(speed.meanUnreadTokenSeconds / speed.meanSeconds, speed.meanReadTokens);
}

double slownessOf(EngineSpeedTable const& table, std::string_view serverId, std::uint64_t incarnation, Core::MonotonicTime now)
{
    auto const found = table.servers.find(serverId);
    if (found == table.servers.end() || found->second.incarnation != incarnation)
        return 1;
    auto const& slowness = found->second;
    auto const age = secondsBetween(slowness.at, now);
    return std::clamp(decayed(slowness.stated, age, statedLifetime) * decayed(slowness.measured, age, measuredLifetime), 1.0, maximumSlowness);
}

void expire(EngineSpeedTable& table, Core::MonotonicTime now)
{
    static constexpr Core::Duration slownessLifetime = 10s;
    std::erase_if(table.servers, [now](auto const& item) { return now - item.second.at > slownessLifetime; });
}

}
