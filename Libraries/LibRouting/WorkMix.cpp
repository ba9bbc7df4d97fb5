#include <LibRouting/WorkMix.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Routing {

static constexpr double halfLifeSeconds = 30;
static constexpr double longRequestRatio = 4;
// Long requests must not reserve servers before the mean engine time is known.
static constexpr double minimumRequests = 5;
static constexpr double minimumLongShare = 0.03;
static constexpr std::size_t minimumServersToSeparate = 4;

double workSeconds(ServerTable const& table, std::string_view service, std::uint32_t promptTokens, std::uint32_t expectedTokens)
{
    static constexpr double assumedSecondsPerToken = 0.0025;
    double total = 0;
    std::uint32_t servers = 0;
    for (auto const& row : table.rows) {
        if (row.service != service || row.serviceTime.samples == 0 || !row.report || row.stragglerState == StragglerState::Straggler)
            continue;
        total += row.serviceTime.secondsPerUnit / std::max(row.report->running + row.report->freeSlots, 1U);
        ++servers;
    }
    double const secondsPerToken = servers > 0 ? total / servers : assumedSecondsPerToken;
    return promptTokens * prefillSecondsPerToken(table, service) + expectedTokens * secondsPerToken;
}

WorkLength classifyWorkLength(WorkMix const& mix, double seconds)
{
    bool const isLong = mix.requests >= minimumRequests && seconds > longRequestRatio * mix.seconds / mix.requests;
    return isLong ? WorkLength::Long : WorkLength::Ordinary;
}

WorkLength recordWork(WorkMix& mix, double seconds, Core::MonotonicTime now)
{
    double const elapsed = std::chrono::duration<double>(now - mix.updatedAt).count();
    double const decayFactor = mix.requests > 0 ? std::exp2(-std::max(elapsed, 0.0) / halfLifeSeconds) : 0;
    mix.requests *= decayFactor;
    mix.seconds *= decayFactor;
    mix.longRequests *= decayFactor;
    mix.longSeconds *= decayFactor;
    mix.updatedAt = now;
    auto const length = classifyWorkLength(mix, seconds);
    bool const isLong = length == WorkLength::Long;
    mix.requests += 1;
    mix.seconds += seconds;
    mix.longRequests += isLong ? 1 : 0;
    mix.longSeconds += isLong ? seconds : 0;
    return length;
}

double longShare(WorkMix const& mix)
{
    return mix.seconds > 0 ? mix.longSeconds / mix.seconds : 0;
}

std::vector<std::string_view> serversForLongWork(ServerTable const& table, std::string_view service, double share)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (auto const& row : table.rows) {
        if (row.service == service && row.lifecycle == Lifecycle::Live)
            ranked.emplace_back(XXH3_64bits(row.id.data(), row.id.size()), row.id);
    }
    if (share < minimumLongShare || ranked.size() < minimumServersToSeparate)
        return {};
    std::sort(ranked.begin(), ranked.end());
    auto const targetCount = static_cast<std::size_t>(std::lround(share * static_cast<double>(ranked.size())));
    auto const count = std::clamp<std::size_t>(targetCount, 1, ranked.size() - 1);
    std::vector<std::string_view> servers;
    for (std::size_t index = 0; index < count; ++index)
        servers.push_back(ranked[index].second);
    return servers;
}

double meanSeconds(WorkMix const& mix, WorkLength length)
{
    double const requests = length == WorkLength::Long ? mix.longRequests : mix.requests - mix.longRequests;
    double const seconds = length == WorkLength::Long ? mix.longSeconds : mix.seconds - mix.longSeconds;
    return requests > 0 ? seconds / requests : 0;
}

double queueSeconds(ServerTable const& table, WorkMix const& mix, std::string_view service, WorkLength length, Core::MonotonicTime now)
{
    auto const reserved = serversForLongWork(table, service, longShare(mix));
    double waiting = 0;
    double servers = 0;
    for (auto const& row : table.rows) {
        if (row.service != service || row.lifecycle == Lifecycle::Leaving || row.backoffUntil > now)
            continue;
        bool const isReserved = std::find(reserved.begin(), reserved.end(), row.id) != reserved.end();
        if (!reserved.empty() && isReserved != (length == WorkLength::Long))
            continue;
        waiting += std::max(0.0, static_cast<double>(estimatedLoad(row, now)) - slotsOf(row));
        ++servers;
    }
    return servers > 0 ? waiting / servers * meanSeconds(mix, length) : 0;
}

}
