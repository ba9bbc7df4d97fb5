#include <Edge/DutyRunner.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <ctime>

namespace Edge {

using namespace std::chrono_literals;
namespace json = boost::json;

static constexpr Core::Duration checkInterval = 500ms;
static constexpr Core::Duration renewInterval = 1500ms;
static constexpr Core::Duration acquireInterval = 1000ms;
static constexpr Core::Duration callTimeout = 800ms;
// Added to the period during which a former holder must not acquire the duties again.
static constexpr std::chrono::milliseconds leaseMargin { 1500 };

static Platform::ObjectKey const usageRecordKey { "usagereports", "recorded" };

DutyRunner::DutyRunner(Core::Runtime& runtime, Platform::ObjectStore& store, Forward::DutyApi& dutyApi, EdgeTables& tables, EdgeSettings const& settings, Core::Random& random, Core::Metrics& metrics)
    : m_runtime(runtime)
    , m_store(store)
    , m_dutyApi(dutyApi)
    , m_tables(tables)
    , m_settings(settings)
    , m_random(random)
    , m_metrics(metrics)
    , m_lease(runtime, store, random, "duties", settings.nodeId, settings.leaseDuration + leaseMargin)
{
}

void DutyRunner::start()
{
    m_runtime.spawn(run());
}

Core::Awaitable<void> DutyRunner::stop()
{
    m_stopping = true;
    Core::Error error;
    bool const isReleased = co_await m_lease.release(m_runtime.now() + callTimeout, error);
    if (m_wasHeld)
        Core::logEvent(Core::LogLevel::Info, "lease_released", { { "role", "duties" }, { "written", isReleased ? "yes" : "no" } });
}

Core::Awaitable<void> DutyRunner::run()
{
    while (!m_stopping) {
        co_await maintainLease();
        observeDemands();
        if (currentCredentials()) {
            if (m_settings.reportsUsage)
                co_await reportUsage();
            if (m_settings.ordersServers)
                co_await orderServers();
        }
        co_await m_runtime.sleepFor(checkInterval);
    }
}

// The monotonic clock stops while the host is suspended, so a lease that expired meanwhile would still appear to be held.
bool DutyRunner::wasSuspended()
{
    static constexpr auto tolerance = 200ms;
    timespec boot {};
    timespec monotonic {};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &monotonic);
    auto const toDuration = [](timespec const& time) { return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec); };
    auto const suspended = toDuration(boot) - toDuration(monotonic);
    auto const before = std::exchange(m_suspendedTime, suspended);
    return before && suspended - *before > tolerance;
}

std::optional<Forward::LeaseCredentials> DutyRunner::currentCredentials()
{
    if (m_stopping)
        return std::nullopt;
    if (wasSuspended()) {
        Core::logEvent(Core::LogLevel::Warning, "clock_stood_still", { { "role", "duties" } });
        m_lease.abandon();
    }
    // Covers the transit time of a call that is sent now.
    static constexpr Core::Duration minimumRemaining = 300ms;
    auto const epoch = m_lease.epoch();
    if (!epoch || m_lease.remaining() < minimumRemaining)
        return std::nullopt;
    return Forward::LeaseCredentials { m_settings.nodeId, *epoch };
}

Core::Awaitable<void> DutyRunner::maintainLease()
{
    auto const now = m_runtime.now();
    Core::Error error;
    if (m_lease.epoch()) {
        if (now - m_renewedAt >= renewInterval) {
            m_renewedAt = now;
            (void)co_await m_lease.renew(now + callTimeout, error);
        }
    } else {
        bool const isHeldElsewhere = Forward::areDutiesHeldElsewhere(m_tables.peers, now);
        // The others would only add calls to the store, and in a large deployment lack the usage counts.
        bool const isCandidate = Forward::shouldWatchStore(m_tables.peers, m_settings.nodeId, m_settings.dataCentre, now);
        bool const isReacquireAllowed = m_leaseLostAt == Core::MonotonicTime {} || now - m_leaseLostAt > m_settings.leaseDuration + leaseMargin;
        if (isCandidate && !isHeldElsewhere && isReacquireAllowed && !m_tables.isDraining && now - m_acquireAttemptedAt >= acquireInterval) {
            m_acquireAttemptedAt = now;
            m_renewedAt = now;
            (void)co_await m_lease.acquire(now + callTimeout, error);
        }
    }
    bool const isHeld = m_lease.epoch().has_value();
    if (isHeld == m_wasHeld)
        co_return;
    m_wasHeld = isHeld;
    m_usageRecordLoaded = false;
    m_orderTable = {};
    if (!isHeld)
        m_leaseLostAt = m_runtime.now();
    m_metrics.gauge("hyssopstep_lease_held", { { "role", "duties" } }).set(isHeld ? 1 : 0);
    Core::logEvent(Core::LogLevel::Info, isHeld ? "lease_acquired" : "lease_lost", { { "role", "duties" }, { "epoch", std::uint64_t(m_lease.epoch().value_or(0)) }, { "reason", error.message } });
}

std::int64_t DutyRunner::medianUnixMilliseconds() const
{
    auto const own = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch());
    return (own + Forward::medianClockOffset(m_tables.peers, m_runtime.now())).count();
}

static std::string encodeWindows(Forward::CountsByWindow const& windows)
{
    json::object object;
    for (auto const& [window, counts] : windows) {
        json::object countsByTeam;
        for (auto const& [team, count] : counts)
            countsByTeam[team] = count;
        object[std::to_string(window)] = std::move(countsByTeam);
    }
    return json::serialize(json::object { { "windows", std::move(object) } });
}

static std::optional<Forward::CountsByWindow> decodeWindows(std::string const& text)
{
    json::error_code errorCode;
    auto const value = json::parse(text, errorCode);
    auto const* object = errorCode ? nullptr : value.if_object();
    auto const* windows = object ? object->if_contains("windows") : nullptr;
    if (!windows || !windows->is_object())
        return std::nullopt;
    Forward::CountsByWindow counts;
    for (auto const& [window, countsByTeam] : windows->get_object()) {
        auto& teams = counts[std::strtoll(std::string(std::string_view(window)).c_str(), nullptr, 10)];
        if (!countsByTeam.is_object())
            return std::nullopt;
        for (auto const& [team, count] : countsByTeam.get_object())
            teams[std::string(std::string_view(team))] = count.to_number<std::uint64_t>();
    }
    return counts;
}

Core::Awaitable<bool> DutyRunner::loadUsageRecord(Core::Error& error)
{
    auto const stored = co_await m_store.read(usageRecordKey, m_runtime.now() + callTimeout, error);
    if (!stored && error.kind != Core::ErrorKind::NotFound)
        co_return false;
    m_usageRecordVersion = stored ? stored->resourceVersion : Core::StoreRevision {};
    m_recordedCounts = stored ? decodeWindows(stored->value).value_or(Forward::CountsByWindow {}) : Forward::CountsByWindow {};
    m_lastAcceptedWindow = 0;
    m_usageRecordLoaded = true;
    co_return true;
}

// The counts of a window are stored before they are reported, so that a later holder reports the same counts or none.
Core::Awaitable<bool> DutyRunner::storeWindowCounts(std::int64_t window, Forward::TeamCounts const& counts, Core::Error& error)
{
    static constexpr std::size_t retainedWindows = 4;
    auto recorded = m_recordedCounts;
    recorded[window] = counts;
    while (recorded.size() > retainedWindows)
        recorded.erase(recorded.begin());
    auto text = encodeWindows(recorded);
    auto const deadline = m_runtime.now() + callTimeout;
    std::optional<Core::StoreRevision> version;
    if (m_usageRecordVersion.number == 0)
        version = co_await m_store.create(usageRecordKey, std::move(text), deadline, error);
    else
        version = co_await m_store.update(usageRecordKey, std::move(text), m_usageRecordVersion, deadline, error);
    if (!version) {
        // Another holder wrote the record, or the response was lost; reading the record again tells which.
        m_usageRecordLoaded = false;
        co_return false;
    }
    m_usageRecordVersion = *version;
    m_recordedCounts = std::move(recorded);
    co_return true;
}

Core::Awaitable<void> DutyRunner::reportUsage()
{
    // The other nodes' last reports about a window arrive within this time after its end.
    std::int64_t const settlingMilliseconds = m_tables.peers.isAggregated ? 2500 : 1500;
    static constexpr std::int64_t maximumPendingWindows = 2;
    auto const length = m_settings.usageWindow.count();
    auto const newest = Forward::usageWindow(medianUnixMilliseconds() - settlingMilliseconds, length) - 1;
    if (newest <= m_lastAcceptedWindow)
        co_return;
    Core::Error error;
    if (!m_usageRecordLoaded) {
        bool const isLoaded = co_await loadUsageRecord(error);
        if (!isLoaded)
            co_return;
    }
    auto const first = std::max(m_lastAcceptedWindow + 1, newest - maximumPendingWindows + 1);
    for (auto window = first; window <= newest; ++window) {
        if (!m_recordedCounts.contains(window)) {
            auto const counts = Forward::totalCounts(m_tables.usage, window);
            bool const isPast = !m_recordedCounts.empty() && m_recordedCounts.rbegin()->first > window;
            if (counts.empty() || isPast) {
                m_lastAcceptedWindow = window;
                continue;
            }
            bool const isRecorded = co_await storeWindowCounts(window, counts, error);
            if (!isRecorded)
                co_return;
        }
        auto const credentials = currentCredentials();
        if (!credentials)
            co_return;
        bool const isAccepted = co_await m_dutyApi.reportUsage(*credentials, window, m_recordedCounts.at(window), m_lease.callDeadline(callTimeout), error);
        Core::logEvent(isAccepted ? Core::LogLevel::Info : Core::LogLevel::Warning, "usage_reported", { { "window", std::int64_t(window) }, { "teams", std::uint64_t(m_recordedCounts.at(window).size()) }, { "epoch", std::uint64_t(credentials->token) }, { "accepted", isAccepted ? "yes" : "no" }, { "reason", isAccepted ? std::string() : error.message } });
        if (!isAccepted)
            co_return;
        m_lastAcceptedWindow = window;
    }
}

void DutyRunner::observeDemands()
{
    if (!m_tables.routes)
        return;
    auto const now = m_runtime.now();
    auto const servers = Forward::serversInUse(m_tables.directory, now);
    for (auto const& service : m_tables.routes->services) {
        if (!service.scale)
            continue;
        std::uint32_t inProgress = 0;
        for (auto const& row : m_tables.servers.rows) {
            if (row.service == service.name)
                inProgress += Routing::requestsInProgress(row);
        }
        Forward::observeDemand(m_demands[service.name], inProgress, Forward::countServers(servers, service.name), now);
    }
}

Core::Awaitable<void> DutyRunner::orderServers()
{
    if (!m_tables.routes)
        co_return;
    auto const routes = m_tables.routes;
    auto const servers = Forward::serversInUse(m_tables.directory, m_runtime.now());
    for (auto const& service : routes->services) {
        if (!service.scale)
            continue;
        auto const serverCounts = Forward::countServers(servers, service.name);
        auto const orders = Forward::decideOrders(service, serverCounts, m_demands[service.name], m_orderTable, m_scalingPolicy, m_runtime.now());
        for (auto const& order : orders) {
            auto const credentials = currentCredentials();
            if (!credentials)
                co_return;
            Core::Error error;
            bool const isAccepted = co_await m_dutyApi.orderServers(*credentials, order, m_lease.callDeadline(callTimeout), error);
            Forward::recordOrder(m_orderTable, order, isAccepted, m_runtime.now());
            Core::logEvent(Core::LogLevel::Info, "servers_ordered", { { "service", order.service }, { "data_centre", order.dataCentre }, { "reclaimable", order.reclaimable ? "yes" : "no" }, { "desired", order.desired }, { "accepted", isAccepted ? "yes" : "no" }, { "reason", isAccepted ? std::string() : error.message } });
        }
    }
}

}
