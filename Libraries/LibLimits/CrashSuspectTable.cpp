#include <LibLimits/CrashSuspectTable.h>

#include <algorithm>

namespace Limits {

using namespace std::chrono_literals;

static constexpr std::size_t crashesToRefuse = 3;
// The connections to a crashed server end one after the other, and hosts that are lost together end within a fraction of a second.
static constexpr Core::Duration correlatedCrashWindow = 500ms;
// A part that is requested less often than this is not worth remembering; one that is refused has no other evidence.
static constexpr Core::Duration suspicionDuration = 1min;
static constexpr Core::Duration refusalDuration = 10min;
// Several rounds of reports.
static constexpr Core::Duration soundReportDuration = 3s;
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

// Returns whether the part is refused from now on.
static bool updateRefused(CrashSuspectTable& table, PromptPartHash part, Core::MonotonicTime now)
{
    if (crashesServers(table, part, now))
        return table.refused.insert(part).second;
    table.refused.erase(part);
    return false;
}

std::vector<PromptPartHash> recordCrash(CrashSuspectTable& table, std::vector<PromptPartHash> const& parts, CrashId crash, Core::MonotonicTime now)
{
    std::vector<PromptPartHash> refused;
    for (auto const part : parts) {
        if (!table.parts.contains(part) && table.parts.size() >= maximumSuspects)
            continue;
        auto& evidence = table.parts[part];
        evidence.isPrefix = evidence.isPrefix || part != parts.back();
        addCrash(evidence, crash, now);
        if (updateRefused(table, part, now))
            refused.push_back(part);
    }
    return refused;
}

void recordSound(CrashSuspectTable& table, std::vector<PromptPartHash> const& parts, Core::MonotonicTime now)
{
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
    if (!table.parts.contains(part) && table.parts.size() >= maximumSuspects)
        return false;
    auto& known = table.parts[part];
    known.isPrefix = known.isPrefix || evidence.isPrefix;
    for (auto const& [crash, at] : evidence.crashes)
        addCrash(known, crash, at);
    if (evidence.soundAt)
        known.soundAt = std::max(known.soundAt.value_or(*evidence.soundAt), *evidence.soundAt);
    return updateRefused(table, part, now);
}

bool crashesServers(CrashSuspectTable const& table, PromptPartHash part, Core::MonotonicTime now)
{
    auto const found = table.parts.find(part);
    if (found == table.parts.end() || countCrashTimes(found->second) < crashesToRefuse + (found->second.isPrefix ? 1 : 0))
        return false;
    return std::any_of(found->second.crashes.begin(), found->second.crashes.end(), [&](auto const& crash) { return now - crash.second < refusalDuration; });
}

std::vector<std::pair<PromptPartHash, SuspectPart>> suspectsToReport(CrashSuspectTable const& table, Core::MonotonicTime now)
{
    std::vector<std::pair<PromptPartHash, SuspectPart>> suspects;
    for (auto const& [part, evidence] : table.parts) {
        SuspectPart reported { .crashes = {}, .soundAt = evidence.soundAt, .isPrefix = evidence.isPrefix };
        if (evidence.soundAt && now - *evidence.soundAt > soundReportDuration)
            reported.soundAt.reset();
        for (auto const& [crash, at] : evidence.crashes) {
            if (isEvidence(evidence, at) && reported.crashes.size() < maximumReportedCrashes)
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
        auto const lifetime = table.refused.contains(item.first) ? refusalDuration : suspicionDuration;
        std::erase_if(evidence.crashes, [&](auto const& crash) { return now - crash.second >= lifetime || !isEvidence(evidence, crash.second); });
    }
    std::erase_if(table.parts, [&](auto const& item) {
        auto const& evidence = item.second;
        return evidence.crashes.empty() && (!evidence.soundAt || now - *evidence.soundAt > soundReportDuration);
    });
    std::erase_if(table.refused, [&](auto const part) { return !crashesServers(table, part, now); });
}

}
