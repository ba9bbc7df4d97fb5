#include <LibLimits/CrashSuspectTable.h>

#include <algorithm>

namespace Limits {

using namespace std::chrono_literals;

static constexpr std::size_t crashesToRefuse = 3;
// The connections to a crashed server end one after the other, and hosts that are lost together end within a fraction of a second.
static constexpr Core::Duration correlatedCrashWindow = 500ms;
static constexpr Core::Duration evidenceDuration = 10min;
// Several rounds of reports, each of which may be lost or pass through an aggregating node.
static constexpr Core::Duration reportDuration = 3s;
// Bound the memory used in a long outage, and the size of reports.
static constexpr std::size_t maximumSuspects = 256;
static constexpr std::size_t maximumCrashesOfASuspect = 8;
static constexpr std::size_t maximumReportedSuspects = 8;
static constexpr std::size_t maximumReportedCrashes = 4;

static bool isEvidence(SuspectPart const& part, Core::MonotonicTime crashedAt)
{
    return !part.soundAt || crashedAt > *part.soundAt;
}

// The number of times at which servers crashed since the part was last sound.
static std::size_t countCrashTimes(SuspectPart const& part)
{
    std::vector<Core::MonotonicTime> times;
    for (auto const& [crash, at] : part.crashes) {
        if (isEvidence(part, at))
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    std::optional<Core::MonotonicTime> counted;
    for (auto const at : times) {
        if (counted && at - *counted < correlatedCrashWindow)
            continue;
        counted = at;
        ++count;
    }
    return count;
}

// Keeps one crash of those that may have a common cause, so that the others do not displace earlier ones.
static void addCrash(SuspectPart& part, CrashId crash, Core::MonotonicTime at)
{
    auto const known = part.crashes.find(crash);
    if (known != part.crashes.end()) {
        known->second = std::min(known->second, at);
        return;
    }
    bool const isCorrelated = std::any_of(part.crashes.begin(), part.crashes.end(), [&](auto const& other) {
        return isEvidence(part, other.second) && std::chrono::abs(other.second - at) < correlatedCrashWindow;
    });
    if (isCorrelated)
        return;
    part.crashes.emplace(crash, at);
    if (part.crashes.size() > maximumCrashesOfASuspect)
        part.crashes.erase(std::min_element(part.crashes.begin(), part.crashes.end(), [](auto const& a, auto const& b) { return a.second < b.second; }));
}

// Returns the evidence on a part. A new part replaces the least suspect one if the table is full.
static SuspectPart& evidenceOn(CrashSuspectTable& table, PromptPartHash part)
{
    auto const known = table.parts.find(part);
    if (known != table.parts.end())
        return known->second;
    if (table.parts.size() >= maximumSuspects) {
        auto const suspicion = [](SuspectPart const& evidence) {
            auto latest = evidence.soundAt.value_or(Core::MonotonicTime {});
            for (auto const& [crash, at] : evidence.crashes)
                latest = std::max(latest, at);
            return std::pair(countCrashTimes(evidence), latest);
        };
        auto const least = std::min_element(table.parts.begin(), table.parts.end(), [&](auto const& a, auto const& b) { return suspicion(a.second) < suspicion(b.second); });
        table.refused.erase(least->first);
        table.parts.erase(least);
    }
    return table.parts[part];
}

// Returns whether the part is refused from now on.
static bool updateRefused(CrashSuspectTable& table, PromptPartHash part, Core::MonotonicTime now)
{
    if (crashesServers(table, part, now))
        return table.refused.insert(part).second;
    table.refused.erase(part);
    return false;
}

// While all requests of a service fail, its crashes say nothing about a part.
static bool isSoundSinceLastCrash(CrashSuspectTable const& table, std::string const& service, SuspectPart const& part)
{
    auto const sound = table.soundServices.find(service);
    return std::all_of(part.crashes.begin(), part.crashes.end(), [&](auto const& crash) {
        return !isEvidence(part, crash.second) || (sound != table.soundServices.end() && sound->second > crash.second);
    });
}

std::vector<PromptPartHash> recordCrash(CrashSuspectTable& table, std::string const& service, std::vector<PromptPartHash> const& parts, CrashId crash, Core::MonotonicTime now)
{
    std::vector<PromptPartHash> refused;
    for (auto const part : parts) {
        auto& evidence = evidenceOn(table, part);
        evidence.isPrefix = evidence.isPrefix || part != parts.back();
        if (!isSoundSinceLastCrash(table, service, evidence))
            continue;
        addCrash(evidence, crash, now);
        if (updateRefused(table, part, now))
            refused.push_back(part);
    }
    return refused;
}

void recordSound(CrashSuspectTable& table, std::string const& service, std::vector<PromptPartHash> const& parts, Core::MonotonicTime now)
{
    table.soundServices[service] = now;
    for (auto const part : parts) {
        auto const found = table.parts.find(part);
        if (found == table.parts.end())
            continue;
        found->second.soundAt = now;
        table.refused.erase(part);
    }
}

bool mergeSuspect(CrashSuspectTable& table, PromptPartHash part, SuspectPart const& evidence, Core::MonotonicTime now)
{
    auto& known = evidenceOn(table, part);
    known.isPrefix = known.isPrefix || evidence.isPrefix;
    if (evidence.soundAt)
        known.soundAt = std::max(known.soundAt.value_or(*evidence.soundAt), *evidence.soundAt);
    for (auto const& [crash, at] : evidence.crashes) {
        if (isEvidence(known, at))
            addCrash(known, crash, at);
        else
            known.contradictedAt = now;
    }
    return updateRefused(table, part, now);
}

bool crashesServers(CrashSuspectTable const& table, PromptPartHash part, Core::MonotonicTime now)
{
    auto const found = table.parts.find(part);
    if (found == table.parts.end() || countCrashTimes(found->second) < crashesToRefuse + (found->second.isPrefix ? 1 : 0))
        return false;
    return std::any_of(found->second.crashes.begin(), found->second.crashes.end(), [&](auto const& crash) { return now - crash.second < evidenceDuration; });
}

std::vector<std::pair<PromptPartHash, SuspectPart>> suspectsToReport(CrashSuspectTable const& table, Core::MonotonicTime now)
{
    std::vector<std::pair<PromptPartHash, SuspectPart>> suspects;
    auto const isRecent = [&](std::optional<Core::MonotonicTime> const& at) { return at && now - *at <= reportDuration; };
    for (auto const& [part, evidence] : table.parts) {
        SuspectPart reported { .isPrefix = evidence.isPrefix };
        if (isRecent(evidence.soundAt) || isRecent(evidence.contradictedAt))
            reported.soundAt = evidence.soundAt;
        bool const isRefused = table.refused.contains(part);
        for (auto const& [crash, at] : evidence.crashes) {
            if (isEvidence(evidence, at) && (isRefused || isRecent(at)) && reported.crashes.size() < maximumReportedCrashes)
                reported.crashes.emplace(crash, at);
        }
        if (reported.soundAt || !reported.crashes.empty())
            suspects.emplace_back(part, std::move(reported));
    }
    std::stable_sort(suspects.begin(), suspects.end(), [](auto const& a, auto const& b) { return countCrashTimes(a.second) > countCrashTimes(b.second); });
    suspects.resize(std::min(suspects.size(), maximumReportedSuspects));
    return suspects;
}

void expire(CrashSuspectTable& table, Core::MonotonicTime now)
{
    for (auto& item : table.parts) {
        auto& evidence = item.second;
        std::erase_if(evidence.crashes, [&](auto const& crash) { return now - crash.second >= evidenceDuration || !isEvidence(evidence, crash.second); });
    }
    std::erase_if(table.parts, [&](auto const& item) {
        auto const& evidence = item.second;
        return evidence.crashes.empty() && (!evidence.soundAt || now - *evidence.soundAt > evidenceDuration);
    });
    std::erase_if(table.soundServices, [&](auto const& item) { return now - item.second > evidenceDuration; });
    std::erase_if(table.refused, [&](auto const part) { return !crashesServers(table, part, now); });
}

}
