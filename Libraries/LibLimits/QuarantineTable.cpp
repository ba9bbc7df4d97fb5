#include <LibLimits/QuarantineTable.h>

#include <algorithm>

namespace Limits {

using namespace std::chrono_literals;

static constexpr std::ptrdiff_t crashesToQuarantine = 3;
static constexpr std::ptrdiff_t crashWeightWithoutProgress = 2;
// When many hosts are lost, a request that is not the cause can be part of half of the crashes by chance.
static constexpr std::ptrdiff_t unrelatedCrashWeight = 2;
// Each node on the way of a report adds its delay to the end. One that has ended must not come back from such a node.
static constexpr Core::Duration minimumReportedQuarantine = 10s;
static constexpr auto correlatedCrashWindow = 30s;
// The connections to a crashed server end one after the other; the server takes some seconds to restart.
static constexpr auto sameCrashWindow = 1s;
// Bounds the memory used in a long outage. The oldest crashes are dropped, since recent ones are the better evidence.
static constexpr std::size_t maximumCrashes = 256;

static bool contains(ServerCrash const& crash, RequestFingerprint fingerprint)
{
    return std::find(crash.batch.begin(), crash.batch.end(), fingerprint) != crash.batch.end();
}

static bool isLikelyCrashCause(QuarantineTable const& table, RequestFingerprint fingerprint, Core::MonotonicTime now)
{
    auto const crashesWith = std::count_if(table.crashes.begin(), table.crashes.end(), [&](auto const& crash) { return contains(crash, fingerprint); });
    auto const crashesWithout = std::count_if(table.crashes.begin(), table.crashes.end(), [&](auto const& crash) {
        return !contains(crash, fingerprint) && now - crash.at <= correlatedCrashWindow;
    });
    std::ptrdiff_t weight = 0;
    for (auto const& crash : table.crashes) {
        if (contains(crash, fingerprint))
            weight += crash.progressed.contains(fingerprint) ? 1 : crashWeightWithoutProgress;
    }
    return weight >= crashesToQuarantine * crashWeightWithoutProgress && crashesWith > unrelatedCrashWeight * crashesWithout;
}

std::vector<RequestFingerprint> recordCrash(QuarantineTable& table, ServerCrash crash)
{
    auto const now = crash.at;
    auto const batch = crash.batch;
    auto const earlier = std::find_if(table.crashes.begin(), table.crashes.end(), [&](auto const& other) { return other.serverId == crash.serverId && now - other.at <= sameCrashWindow; });
    if (earlier != table.crashes.end()) {
        for (auto const fingerprint : batch) {
            if (!contains(*earlier, fingerprint))
                earlier->batch.push_back(fingerprint);
        }
        earlier->progressed.insert(crash.progressed.begin(), crash.progressed.end());
        return {};
    }
    table.crashes.push_back(std::move(crash));
    if (table.crashes.size() > maximumCrashes)
        table.crashes.erase(table.crashes.begin());
    std::vector<RequestFingerprint> added;
    for (auto const fingerprint : batch) {
        if (isQuarantined(table, fingerprint, now) || !isLikelyCrashCause(table, fingerprint, now))
            continue;
        table.quarantined[fingerprint] = now + quarantineDuration;
        added.push_back(fingerprint);
    }
    return added;
}

void recordFinished(QuarantineTable& table, RequestFingerprint fingerprint)
{
    for (auto& crash : table.crashes)
        std::erase(crash.batch, fingerprint);
}

void mergeQuarantined(QuarantineTable& table, RequestFingerprint fingerprint, Core::MonotonicTime until)
{
    table.quarantined.try_emplace(fingerprint, until);
}

std::vector<std::pair<RequestFingerprint, Core::Duration>> quarantinesToReport(QuarantineTable const& table, Core::MonotonicTime now)
{
    std::vector<std::pair<RequestFingerprint, Core::Duration>> quarantines;
    for (auto const& [fingerprint, until] : table.quarantined) {
        if (until - now > minimumReportedQuarantine)
            quarantines.emplace_back(fingerprint, until - now);
    }
    return quarantines;
}

bool isQuarantined(QuarantineTable const& table, RequestFingerprint fingerprint, Core::MonotonicTime now)
{
    auto const found = table.quarantined.find(fingerprint);
    return found != table.quarantined.end() && found->second > now;
}

bool isSuspect(QuarantineTable const& table, RequestFingerprint fingerprint)
{
    return std::any_of(table.crashes.begin(), table.crashes.end(), [&](auto const& crash) { return contains(crash, fingerprint); });
}

void expire(QuarantineTable& table, Core::MonotonicTime now)
{
    std::erase_if(table.crashes, [&](auto const& crash) { return now - crash.at > quarantineDuration; });
    std::erase_if(table.quarantined, [&](auto const& entry) { return entry.second <= now; });
}

}
