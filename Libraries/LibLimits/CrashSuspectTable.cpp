#include <LibLimits/CrashSuspectTable.h>

#include <algorithm>

namespace Limits {

using namespace std::chrono_literals;

static constexpr std::size_t crashesToRefuse = 3;
// The connections to a crashed server end one after the other, and hosts that are lost together end within a fraction of a second.
static constexpr Core::Duration correlatedCrashWindow = 500ms;
// Nodes see the end of the same server at different times, and it takes longer to start again.
static constexpr Core::Duration sameCrashWindow = 1s;
// Two parts that crash servers may be in the same ones at the same time; a sound part is in a minority of the crashes of another.
static constexpr std::size_t crashRatioToExplain = 2;
// A part is in all crashes of one that follows it, and in some others.
static constexpr std::size_t weightOfLastPart = 4;
// Several rounds of reports, each of which may be lost or pass through an aggregating node.
static constexpr Core::Duration reportDuration = 3s;
// Bound the memory used in a long outage, and the size of reports.
static constexpr std::size_t maximumSuspects = 256;
static constexpr std::size_t maximumCrashesOfASuspect = 8;
static constexpr std::size_t maximumOtherCrashesOfASuspect = 64;
static constexpr std::size_t maximumReportedSuspects = 8;
static constexpr std::size_t maximumReportedCrashes = 4;
// Further crashes are reported of the strongest suspects, which may explain those of others: two parts, and one before each in the prompt.
static constexpr std::size_t maximumReportedExplanations = 4;
static constexpr std::size_t maximumReportedOtherCrashes = 12;
// Bounds the time to compare suspects with each other; further ones are refused without it.
static constexpr std::size_t maximumComparedSuspects = 32;

static bool isEvidence(SuspectPart const& part, Core::MonotonicTime crashedAt)
{
    return !part.soundAt || crashedAt > *part.soundAt;
}

static bool isSameCrash(SuspectCrash const& a, SuspectCrash const& b)
{
    return a.server != 0 && a.server == b.server && std::chrono::abs(a.at - b.at) < sameCrashWindow;
}

// The number of times at which servers crashed since the part was last sound.
static std::size_t countCrashTimes(SuspectPart const& part)
{
    std::vector<Core::MonotonicTime> times;
    for (auto const& [id, crash] : part.crashes) {
        if (isEvidence(part, crash.at))
            times.push_back(crash.at);
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

static void eraseOldest(std::map<CrashId, SuspectCrash>& crashes)
{
    crashes.erase(std::min_element(crashes.begin(), crashes.end(), [](auto const& a, auto const& b) { return a.second.at < b.second.at; }));
}

// Returns whether the evidence changed.
static bool addOtherCrash(SuspectPart& part, CrashId id, SuspectCrash const& crash)
{
    auto const isKnown = [&](auto const& other) { return other.first == id || isSameCrash(other.second, crash); };
    if (crash.server == 0 || std::any_of(part.crashes.begin(), part.crashes.end(), isKnown) || std::any_of(part.otherCrashes.begin(), part.otherCrashes.end(), isKnown))
        return false;
    part.otherCrashes.emplace(id, crash);
    if (part.otherCrashes.size() > maximumOtherCrashesOfASuspect)
        eraseOldest(part.otherCrashes);
    return true;
}

// Counts one crash of those that may have a common cause, so that the others do not displace earlier ones. Returns whether the evidence
// changed.
static bool addCrash(SuspectPart& part, CrashId id, SuspectCrash const& crash)
{
    auto const known = part.crashes.find(id);
    if (known != part.crashes.end()) {
        if (known->second.at <= crash.at)
            return false;
        known->second.at = crash.at;
        return true;
    }
    bool const isCorrelated = std::any_of(part.crashes.begin(), part.crashes.end(), [&](auto const& other) {
        return isEvidence(part, other.second.at) && std::chrono::abs(other.second.at - crash.at) < correlatedCrashWindow;
    });
    if (isCorrelated)
        return addOtherCrash(part, id, crash);
    part.otherCrashes.erase(id);
    part.crashes.emplace(id, crash);
    if (part.crashes.size() > maximumCrashesOfASuspect)
        eraseOldest(part.crashes);
    return true;
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
            for (auto const& [id, crash] : evidence.crashes)
                latest = std::max(latest, crash.at);
            return std::pair(countCrashTimes(evidence), latest);
        };
        auto const least = std::min_element(table.parts.begin(), table.parts.end(), [&](auto const& a, auto const& b) { return suspicion(a.second) < suspicion(b.second); });
        table.refused.erase(least->first);
        table.parts.erase(least);
    }
    return table.parts[part];
}

static bool isSuspect(CrashSuspectTable const& table, SuspectPart const& evidence, Core::MonotonicTime now)
{
    auto const needed = crashesToRefuse + (evidence.isPrefix ? 1 : 0);
    if (evidence.crashes.size() < needed || countCrashTimes(evidence) < needed)
        return false;
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](auto const& crash) { return now - crash.second.at < table.evidenceDuration; });
}

namespace {

// A part that may be refused.
struct Suspicion {
    PromptPartHash part { 0 };
    // How much a crash tells against it.
    std::size_t weight { 1 };
    std::size_t crashes { 0 };
    // Those that no refused part explains: the ones that count, and these with all others.
    std::vector<SuspectCrash> counted;
    std::vector<SuspectCrash> unexplained;
};

}

static Suspicion suspicionOf(PromptPartHash part, SuspectPart const& evidence)
{
    Suspicion suspicion { .part = part, .weight = evidence.isPrefix ? 1 : weightOfLastPart };
    auto const append = [&](auto const& crashes, std::vector<SuspectCrash>& list) {
        for (auto const& [id, crash] : crashes) {
            if (isEvidence(evidence, crash.at))
                list.push_back(crash);
        }
    };
    append(evidence.crashes, suspicion.counted);
    suspicion.unexplained = suspicion.counted;
    append(evidence.otherCrashes, suspicion.unexplained);
    suspicion.crashes = suspicion.unexplained.size();
    return suspicion;
}

static void eraseExplained(Suspicion& suspicion, Suspicion const& cause)
{
    if (suspicion.weight * suspicion.crashes * crashRatioToExplain > cause.weight * cause.crashes)
        return;
    auto const isExplained = [&](SuspectCrash const& crash) {
        return std::any_of(cause.unexplained.begin(), cause.unexplained.end(), [&](auto const& other) { return isSameCrash(crash, other); });
    };
    std::erase_if(suspicion.counted, isExplained);
    std::erase_if(suspicion.unexplained, isExplained);
}

// Explains the crashes by few parts: the one in most of them first, then the one in most of the rest.
static std::set<PromptPartHash> findCauses(CrashSuspectTable const& table, Core::MonotonicTime now)
{
    std::set<PromptPartHash> causes;
    std::vector<Suspicion> suspicions;
    for (auto const& [part, evidence] : table.parts) {
        if (!isSuspect(table, evidence, now))
            continue;
        if (suspicions.size() < maximumComparedSuspects)
            suspicions.push_back(suspicionOf(part, evidence));
        else
            causes.insert(part);
    }
    while (!suspicions.empty()) {
        std::iter_swap(suspicions.rbegin(), std::max_element(suspicions.begin(), suspicions.end(), [](auto const& a, auto const& b) { return a.weight * a.unexplained.size() < b.weight * b.unexplained.size(); }));
        auto const cause = std::move(suspicions.back());
        suspicions.pop_back();
        causes.insert(cause.part);
        std::erase_if(suspicions, [&](Suspicion& suspicion) {
            eraseExplained(suspicion, cause);
            return suspicion.counted.empty();
        });
    }
    return causes;
}

// Returns the parts that are refused from now on.
static std::vector<PromptPartHash> updateRefused(CrashSuspectTable& table, Core::MonotonicTime now)
{
    auto causes = findCauses(table, now);
    std::vector<PromptPartHash> added;
    std::set_difference(causes.begin(), causes.end(), table.refused.begin(), table.refused.end(), std::back_inserter(added));
    table.refused = std::move(causes);
    return added;
}

// While all requests of a service fail, its crashes say nothing about a part.
static bool isSoundSinceLastCrash(CrashSuspectTable const& table, std::string const& service, SuspectPart const& part)
{
    auto const sound = table.soundServices.find(service);
    return std::all_of(part.crashes.begin(), part.crashes.end(), [&](auto const& crash) {
        return !isEvidence(part, crash.second.at) || (sound != table.soundServices.end() && sound->second > crash.second.at);
    });
}

std::vector<PromptPartHash> recordCrash(CrashSuspectTable& table, std::string const& service, std::vector<PromptPartHash> const& parts, CrashId id, SuspectCrash const& crash)
{
    for (auto const part : parts) {
        auto& evidence = evidenceOn(table, part);
        evidence.isPrefix = evidence.isPrefix || part != parts.back();
        if (isSoundSinceLastCrash(table, service, evidence))
            addCrash(evidence, id, crash);
        else
            addOtherCrash(evidence, id, crash);
    }
    return updateRefused(table, crash.at);
}

std::vector<PromptPartHash> recordSound(CrashSuspectTable& table, std::string const& service, std::vector<PromptPartHash> const& parts, Core::MonotonicTime now)
{
    table.soundServices[service] = now;
    bool isCleared = false;
    for (auto const part : parts) {
        auto const found = table.parts.find(part);
        if (found == table.parts.end())
            continue;
        found->second.soundAt = now;
        isCleared = table.refused.erase(part) > 0 || isCleared;
    }
    return isCleared ? updateRefused(table, now) : std::vector<PromptPartHash> {};
}

std::vector<PromptPartHash> mergeSuspect(CrashSuspectTable& table, PromptPartHash part, SuspectPart const& evidence, Core::MonotonicTime now)
{
    auto& known = evidenceOn(table, part);
    bool isChanged = evidence.isPrefix && !known.isPrefix;
    known.isPrefix = known.isPrefix || evidence.isPrefix;
    if (evidence.soundAt && evidence.soundAt > known.soundAt) {
        known.soundAt = evidence.soundAt;
        isChanged = isChanged || !known.crashes.empty();
    }
    for (auto const& [id, crash] : evidence.crashes) {
        if (isEvidence(known, crash.at))
            isChanged = addCrash(known, id, crash) || isChanged;
        else
            known.contradictedAt = now;
    }
    for (auto const& [id, crash] : evidence.otherCrashes) {
        if (isEvidence(known, crash.at))
            isChanged = addOtherCrash(known, id, crash) || isChanged;
    }
    return isChanged ? updateRefused(table, now) : std::vector<PromptPartHash> {};
}

bool crashesServers(CrashSuspectTable const& table, PromptPartHash part, Core::MonotonicTime now)
{
    if (!table.refused.contains(part))
        return false;
    auto const found = table.parts.find(part);
    return found != table.parts.end() && isSuspect(table, found->second, now);
}

// The latest crashes, which the other nodes are likely to lack, except those that are reported as evidence.
static std::map<CrashId, SuspectCrash> otherCrashesToReport(SuspectPart const& evidence, std::map<CrashId, SuspectCrash> const& reported, Core::MonotonicTime now)
{
    auto crashes = evidence.otherCrashes;
    crashes.insert(evidence.crashes.begin(), evidence.crashes.end());
    std::erase_if(crashes, [&](auto const& crash) { return reported.contains(crash.first) || !isEvidence(evidence, crash.second.at) || now - crash.second.at > reportDuration; });
    while (crashes.size() > maximumReportedOtherCrashes)
        eraseOldest(crashes);
    return crashes;
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
        for (auto const& [id, crash] : evidence.crashes) {
            if (isEvidence(evidence, crash.at) && (isRefused || isRecent(crash.at)) && reported.crashes.size() < maximumReportedCrashes)
                reported.crashes.emplace(id, crash);
        }
        reported.otherCrashes = otherCrashesToReport(evidence, reported.crashes, now);
        if (reported.soundAt || !reported.crashes.empty() || !reported.otherCrashes.empty())
            suspects.emplace_back(part, std::move(reported));
    }
    auto const strength = [](auto const& suspect) { return std::pair(countCrashTimes(suspect.second), suspect.second.otherCrashes.size()); };
    std::stable_sort(suspects.begin(), suspects.end(), [&](auto const& a, auto const& b) { return strength(a) > strength(b); });
    suspects.resize(std::min(suspects.size(), maximumReportedSuspects));
    for (std::size_t i = maximumReportedExplanations; i < suspects.size(); ++i)
        suspects[i].second.otherCrashes.clear();
    return suspects;
}

std::vector<PromptPartHash> expire(CrashSuspectTable& table, Core::MonotonicTime now)
{
    for (auto& item : table.parts) {
        auto& evidence = item.second;
        auto const isOutdated = [&](auto const& crash) { return now - crash.second.at >= table.evidenceDuration || !isEvidence(evidence, crash.second.at); };
        std::erase_if(evidence.crashes, isOutdated);
        std::erase_if(evidence.otherCrashes, isOutdated);
    }
    std::erase_if(table.parts, [&](auto const& item) {
        auto const& evidence = item.second;
        return evidence.crashes.empty() && evidence.otherCrashes.empty() && (!evidence.soundAt || now - *evidence.soundAt > table.evidenceDuration);
    });
    std::erase_if(table.soundServices, [&](auto const& item) { return now - item.second > table.evidenceDuration; });
    bool const isRefusalOutdated = std::any_of(table.refused.begin(), table.refused.end(), [&](auto const part) { return !crashesServers(table, part, now); });
    return isRefusalOutdated ? updateRefused(table, now) : std::vector<PromptPartHash> {};
}

}
