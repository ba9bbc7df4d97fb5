#include <LibRouting/ServerTable.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace Routing {

using namespace std::chrono_literals;

static constexpr double serviceTimeWeight = 0.2;
static constexpr double stragglerRatio = 2.0;
// Lower than stragglerRatio, so that a server near the threshold does not flap.
static constexpr double recoveryRatio = 1.5;
static constexpr std::size_t minimumPeers = 3;
static constexpr std::uint32_t minimumSamples = 5;
static constexpr auto serviceTimeLifetime = 10s;
static constexpr auto probeInterval = 1s;
static constexpr double assumedPrefillSecondsPerToken = 0.0004;
static constexpr std::uint32_t assumedSlots = 16;
static constexpr auto reportLifetime = 5s;
static constexpr auto initialBackoff = 100ms;
static constexpr auto maximumBackoff = 5s;

template <typename Table>
static auto* findRow(Table& table, std::string_view id)
{
    auto const found = std::find_if(table.rows.begin(), table.rows.end(), [&](auto const& row) { return row.id == id; });
    return found == table.rows.end() ? nullptr : &*found;
}

ServerRow* findServer(ServerTable& table, std::string_view id)
{
    return findRow(table, id);
}

ServerRow const* findServer(ServerTable const& table, std::string_view id)
{
    return findRow(table, id);
}

static ServerRow rowFromListed(ListedServer const& listed, Core::MonotonicTime now)
{
    ServerRow row;
    row.id = listed.id;
    row.endpoint = listed.endpoint;
    row.service = listed.service;
    row.version = listed.version;
    row.dataCentre = listed.dataCentre;
    row.zone = listed.zone;
    row.incarnation = listed.incarnation;
    row.lifecycle = listed.lifecycle;
    row.slots = listed.slots;
    row.reclaimable = listed.reclaimable;
    row.revision = listed.revision;
    row.firstListedAt = now;
    return row;
}

// Start times are of other hosts' clocks, so that a later entry may have a lower one.
static bool isLaterEntry(ListedServer const& listed, ServerRow const& row)
{
    return listed.incarnation > row.incarnation || (listed.incarnation < row.incarnation && listed.revision > row.revision);
}

std::size_t countDataCentres(ServerTable const& table)
{
    std::set<std::string_view> dataCentres;
    for (auto const& row : table.rows)
        dataCentres.insert(row.dataCentre);
    return dataCentres.size();
}

void mergeHostList(ServerTable& table, std::vector<ListedServer> const& list, Core::MonotonicTime now)
{
    for (auto const& listed : list) {
        auto* row = findServer(table, listed.id);
        if (!row) {
            row = &table.rows.emplace_back(rowFromListed(listed, now));
        } else if (isLaterEntry(listed, *row)) {
            auto const outstanding = row->outstanding;
            *row = rowFromListed(listed, now);
            row->outstanding = outstanding;
        } else if (listed.incarnation == row->incarnation) {
            if (listed.revision > row->revision)
                row->absence.reset();
            row->revision = std::max(row->revision, listed.revision);
            if (listed.lifecycle == Lifecycle::Leaving || row->isMissing)
                row->lifecycle = listed.lifecycle;
            row->isMissing = false;
        }
        row->lastListedAt = now;
    }
    for (auto& row : table.rows) {
        if (row.lastListedAt == now)
            continue;
        row.isMissing = row.isMissing || row.lifecycle == Lifecycle::Live;
        row.lifecycle = Lifecycle::Leaving;
    }
    std::erase_if(table.rows, [&](auto const& row) { return row.lastListedAt != now && row.outstanding == 0; });
}

bool markLeaving(ServerTable& table, std::string_view id, std::uint64_t incarnation)
{
    auto* row = findServer(table, id);
    if (!row || row->incarnation != incarnation || row->lifecycle == Lifecycle::Leaving)
        return false;
    row->lifecycle = Lifecycle::Leaving;
    row->isMissing = false;
    return true;
}

void recordReport(ServerRow& row, LoadReport report)
{
    report.ownOutstandingAtReport = row.outstanding;
    row.report = report;
}

bool hasRecentReport(ServerRow const& row, Core::MonotonicTime now)
{
    return row.report && now - row.report->receivedAt <= reportLifetime;
}

std::uint32_t estimatedLoad(ServerRow const& row, Core::MonotonicTime now)
{
    if (!hasRecentReport(row, now))
        return std::max(row.outstanding, row.assumedLoad);
    auto const reported = row.report->running + row.report->waiting;
    // The report does not include the requests that this node has sent or finished since.
    auto const changeSinceReport = static_cast<std::int64_t>(row.outstanding) - row.report->ownOutstandingAtReport;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(reported + changeSinceReport, row.outstanding));
}

std::uint32_t slotsOf(ServerRow const& row)
{
    if (!row.report)
        return row.assumedSlots > 0 ? row.assumedSlots : assumedSlots;
    return std::max(row.report->running + row.report->freeSlots, 1U);
}

void recordServiceTime(ServerRow& row, double seconds, Core::MonotonicTime now)
{
    auto& serviceTime = row.serviceTime;
    bool const stale = serviceTime.samples == 0 || now - serviceTime.lastAt > serviceTimeLifetime;
    serviceTime.secondsPerUnit = stale ? seconds : serviceTime.secondsPerUnit + serviceTimeWeight * (seconds - serviceTime.secondsPerUnit);
    serviceTime.samples = stale ? 1 : serviceTime.samples + 1;
    serviceTime.lastAt = now;
}

void recordPrefill(ServerTable& table, std::string_view service, std::uint32_t tokens, double seconds)
{
    static constexpr std::uint32_t minimumPrefillTokens = 128;
    // The delay includes queueing for a slot, so lower measurements are closer to the prefill time and weigh more.
    static constexpr double weightDown = 0.2;
    static constexpr double weightUp = 0.02;
    if (tokens < minimumPrefillTokens)
        return;
    double const measured = std::max(seconds, 0.0) / tokens;
    auto const found = table.prefillSecondsPerToken.find(service);
    if (found == table.prefillSecondsPerToken.end()) {
        table.prefillSecondsPerToken.emplace(service, std::min(measured, assumedPrefillSecondsPerToken));
        return;
    }
    found->second += (measured < found->second ? weightDown : weightUp) * (measured - found->second);
}

double prefillSecondsPerToken(ServerTable const& table, std::string_view service)
{
    auto const found = table.prefillSecondsPerToken.find(service);
    return found == table.prefillSecondsPerToken.end() ? assumedPrefillSecondsPerToken : found->second;
}

void recordDelay(DelayEstimate& estimate, double seconds)
{
    static constexpr double weight = 0.05;
    double const effectiveWeight = std::max(weight, 1.0 / (estimate.samples + 1));
    double const error = seconds - estimate.meanSeconds;
    estimate.meanSeconds += effectiveWeight * error;
    estimate.deviationSeconds += effectiveWeight * ((estimate.samples == 0 ? 0 : std::abs(error)) - estimate.deviationSeconds);
    ++estimate.samples;
}

std::optional<double> delayOutlierThreshold(DelayEstimate const& estimate)
{
    static constexpr std::uint32_t minimumDelaySamples = 10;
    static constexpr double deviations = 4;
    // Below this delay a second attempt costs more than it saves.
    static constexpr double minimumThresholdSeconds = 0.2;
    if (estimate.samples < minimumDelaySamples)
        return std::nullopt;
    return std::max(minimumThresholdSeconds, estimate.meanSeconds + deviations * estimate.deviationSeconds);
}

static void extendAbsence(Absence& absence, Core::MonotonicTime now)
{
    // Short for a server that refused by mistake.
    static constexpr Core::Duration initialDuration = 1s;
    // About the time in which the entry of a server that has left expires.
    static constexpr Core::Duration maximumDuration = 6s;
    static constexpr std::uint32_t maximumDoublings = 3;
    absence.until = now + std::min<Core::Duration>(initialDuration * (1U << std::min(absence.refusals - 1, maximumDoublings)), maximumDuration);
}

bool recordAbsence(ServerRow& row, Core::StoreRevision revision, Core::MonotonicTime now)
{
    // Requests that were sent together are refused together.
    bool const isRecorded = row.absence && now < row.absence->until;
    if (row.revision != revision || isRecorded)
        return false;
    bool const wasPresent = !row.absence;
    if (wasPresent)
        row.absence.emplace();
    ++row.absence->refusals;
    extendAbsence(*row.absence, now);
    return wasPresent;
}

void recordPresence(ServerRow& row)
{
    row.absence.reset();
}

bool isAbsent(ServerRow const& row, Core::MonotonicTime now)
{
    return row.absence && (now < row.absence->until || row.outstanding > 0);
}

bool recordPause(ServerTable& table, std::string_view id, std::uint64_t incarnation, Core::MonotonicTime until, Core::MonotonicTime now)
{
    std::erase_if(table.pauses, [&](auto const& entry) { return entry.second.until <= now; });
    if (until <= now)
        return false;
    auto const [entry, isNew] = table.pauses.try_emplace(std::string(id), ServerPause { incarnation, until });
    auto& pause = entry->second;
    // A late response of an earlier incarnation.
    if (!isNew && pause.incarnation > incarnation)
        return false;
    bool const wasPaused = !isNew && pause.incarnation == incarnation;
    pause = { incarnation, wasPaused ? std::max(pause.until, until) : until };
    return !wasPaused;
}

bool isPaused(ServerTable const& table, ServerRow const& row, Core::MonotonicTime now)
{
    auto const found = table.pauses.find(row.id);
    return found != table.pauses.end() && found->second.incarnation == row.incarnation && now < found->second.until;
}

std::optional<Core::MonotonicTime> firstEndOfPause(ServerTable const& table, std::string_view service, Core::MonotonicTime now)
{
    std::optional<Core::MonotonicTime> first;
    for (auto const& row : table.rows) {
        if (row.service != service || row.lifecycle != Lifecycle::Live || isAbsent(row, now) || !isPaused(table, row, now))
            continue;
        auto const until = table.pauses.find(row.id)->second.until;
        first = std::min(first.value_or(until), until);
    }
    return first;
}

void recordFailure(ServerRow& row, Core::MonotonicTime now)
{
    if (row.absence)
        extendAbsence(*row.absence, now);
    static constexpr std::uint32_t maximumDoublings = 8;
    auto const doublings = std::min(row.consecutiveFailures, maximumDoublings);
    auto const backoff = std::min<Core::Duration>(initialBackoff * (1U << doublings), maximumBackoff);
    row.backoffUntil = now + backoff;
    ++row.consecutiveFailures;
}

void recordSuccess(ServerRow& row)
{
    row.consecutiveFailures = 0;
    row.backoffUntil = {};
}

void updateAssumedLoads(ServerTable& table, Core::MonotonicTime now)
{
    struct Sum {
        std::uint32_t servers { 0 };
        std::uint32_t load { 0 };
        std::uint32_t slots { 0 };
    };
    std::map<std::string_view, Sum> sums;
    for (auto const& row : table.rows) {
        if (!hasRecentReport(row, now))
            continue;
        auto& sum = sums[row.service];
        ++sum.servers;
        sum.load += estimatedLoad(row, now);
        sum.slots += slotsOf(row);
    }
    for (auto& row : table.rows) {
        auto const found = sums.find(row.service);
        if (found == sums.end())
            continue;
        row.assumedLoad = found->second.load / found->second.servers;
        row.assumedSlots = found->second.slots / found->second.servers;
    }
}

static bool isRecent(ServiceTimeEstimate const& serviceTime, Core::MonotonicTime now)
{
    return serviceTime.samples > 0 && now - serviceTime.lastAt <= serviceTimeLifetime;
}

static std::map<std::string_view, std::vector<double>> recentServiceTimesByService(ServerTable const& table, Core::MonotonicTime now)
{
    std::map<std::string_view, std::vector<double>> serviceTimes;
    for (auto const& row : table.rows) {
        if (isRecent(row.serviceTime, now))
            serviceTimes[row.service].push_back(row.serviceTime.secondsPerUnit);
    }
    return serviceTimes;
}

static double medianOf(std::vector<double>& values)
{
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void updateStragglerStates(ServerTable& table, Core::MonotonicTime now)
{
    auto serviceTimes = recentServiceTimesByService(table, now);
    std::map<std::string_view, double> medians;
    for (auto& [service, values] : serviceTimes) {
        if (values.size() > minimumPeers)
            medians[service] = medianOf(values);
    }
    for (auto& row : table.rows) {
        auto const median = medians.find(row.service);
        if (median == medians.end() || !isRecent(row.serviceTime, now))
            continue;
        auto const ratio = row.serviceTime.secondsPerUnit / std::max(median->second, 1e-9);
        if (row.stragglerState == StragglerState::Normal && ratio > stragglerRatio && row.serviceTime.samples >= minimumSamples) {
            row.stragglerState = StragglerState::Straggler;
            row.nextProbeAt = now + probeInterval;
        } else if (row.stragglerState == StragglerState::Straggler && ratio < recoveryRatio) {
            row.stragglerState = StragglerState::Normal;
        }
    }
}

}
