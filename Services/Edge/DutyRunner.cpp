#include <Edge/DutyRunner.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <ctime>

namespace Edge {

using namespace std::chrono_literals;

static constexpr Core::Duration checkInterval = 500ms;
static constexpr Core::Duration renewInterval = 1500ms;
// After a failed renewal, so that the lease outlasts an outage of the store of two seconds.
static constexpr Core::Duration renewRetryInterval = 500ms;
static constexpr Core::Duration acquireInterval = 1000ms;
static constexpr Core::Duration callTimeout = 800ms;
// Added to the period during which a former holder must not act again after another one did.
static constexpr std::chrono::milliseconds leaseMargin { 1500 };

static Platform::ObjectKey const usageRecordKey { "usagereports", "recorded" };

DutyRunner::DutyRunner(Core::Runtime& runtime, Platform::ObjectStore& store, Forward::DutyApi* dutyApi, EdgeTables& tables, EdgeSettings const& settings, Core::Random& random, Core::Metrics& metrics)
    : m_runtime(runtime)
    , m_store(store)
    , m_dutyApi(dutyApi)
    , m_tables(tables)
    , m_settings(settings)
    , m_random(random)
    , m_metrics(metrics)
    , m_lease(runtime, store, random, "duties", settings.nodeId, settings.leaseDuration + leaseMargin, settings.isFirstStart ? Fleet::SystemStart::First : Fleet::SystemStart::Unknown)
    , m_runStateChanged(runtime)
{
}

void DutyRunner::start()
{
    m_isRunning = true;
    m_runtime.spawn(run());
}

Core::Awaitable<void> DutyRunner::stop()
{
    m_stopping = true;
    m_runStateChanged.notifyAll();
    auto const deadline = m_runtime.now() + callTimeout;
    while (m_isRunning && m_runtime.now() < deadline)
        (void)co_await m_runStateChanged.waitUntil(deadline);
    if (m_isRunning) {
        Core::logEvent(Core::LogLevel::Warning, "lease_not_released", { { "role", "duties" }, { "reason", "a call is still in flight" } });
        co_return;
    }
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
        if (m_dutyApi && currentCredentials()) {
            if (m_settings.reportsUsage)
                co_await reportUsage();
            if (m_settings.ordersServers)
                co_await orderServers();
        }
        if (!m_stopping)
            (void)co_await m_runStateChanged.waitUntil(m_runtime.now() + checkInterval);
    }
    m_isRunning = false;
    m_runStateChanged.notifyAll();
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

std::optional<Core::MonotonicTime> DutyRunner::callDeadline(Core::Duration timeout)
{
    if (!currentCredentials())
        return std::nullopt;
    return m_lease.callDeadline(timeout);
}

Core::Awaitable<void> DutyRunner::maintainLease()
{
    auto const now = m_runtime.now();
    Core::Error error;
    if (m_lease.epoch()) {
        if (now - m_renewedAt >= renewInterval) {
            bool const isRenewed = co_await m_lease.renew(now + callTimeout, error);
            m_renewedAt = isRenewed ? now : now - renewInterval + renewRetryInterval;
        }
    } else {
        bool const isHeldElsewhere = Forward::areDutiesHeldElsewhere(m_tables.peers, now);
        // The others would only add calls to the store, and in a large deployment lack the usage counts.
        bool const isCandidate = Forward::shouldWatchStore(m_tables.peers, m_settings.nodeId, m_settings.dataCentre, now);
        if (isCandidate && !isHeldElsewhere && !m_tables.isDraining() && now - m_acquireAttemptedAt >= acquireInterval) {
            m_acquireAttemptedAt = now;
            m_renewedAt = now;
            (void)co_await m_lease.acquire(now + callTimeout, error);
        }
    }
    bool const isHeld = m_lease.epoch().has_value();
    if (isHeld == m_wasHeld)
        co_return;
    m_wasHeld = isHeld;
    m_isUsageRecordLoaded = false;
    m_usageLedger = {};
    m_orderTable = {};
    m_metrics.gauge("hyssopstep_lease_held", { { "role", "duties" } }).set(isHeld ? 1 : 0);
    Core::logEvent(Core::LogLevel::Info, isHeld ? "lease_acquired" : "lease_lost", { { "role", "duties" }, { "epoch", std::uint64_t(m_lease.epoch().value_or(0)) }, { "reason", error.message } });
}

std::int64_t DutyRunner::medianUnixMilliseconds() const
{
    auto const own = std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch());
    return (own + Forward::medianClockOffset(m_tables.peers, m_runtime.now())).count();
}

Core::Awaitable<bool> DutyRunner::loadUsageRecord(std::int64_t newestWindow, Core::Error& error)
{
    auto const stored = co_await m_store.read(usageRecordKey, m_runtime.now() + callTimeout, error);
    if (!stored && error.kind != Core::ErrorKind::NotFound)
        co_return false;
    m_usageRecordVersion = stored ? stored->resourceVersion : Core::StoreRevision { m_store.era(), 0 };
    std::optional<Forward::UsageRecord> record;
    if (stored)
        record = Forward::decodeUsageRecord(stored->value);
    auto const settledBefore = m_usageLedger.settledUntil;
    if (stored && !record) {
        Core::logEvent(Core::LogLevel::Warning, "usage_record_damaged", { { "revision", m_usageRecordVersion.toString() } });
        Forward::loadDamagedUsageRecord(m_usageLedger, newestWindow);
    } else {
        Forward::loadUsageRecord(m_usageLedger, record, m_usageRecordVersion.era, newestWindow);
    }
    if (m_usageLedger.settledUntil != settledBefore)
        Core::logEvent(Core::LogLevel::Info, "usage_record_outdated", { { "record_era", record ? record->era : 0 }, { "revision", m_usageRecordVersion.toString() }, { "settled_until", m_usageLedger.settledUntil } });
    m_isUsageRecordLoaded = true;
    co_return true;
}

Core::Awaitable<bool> DutyRunner::storeWindowCounts(std::int64_t window, Forward::TeamCounts const& counts, Core::Error& error)
{
    Forward::UsageRecord record { Forward::withWindow(m_usageLedger, window, counts), m_usageRecordVersion.era };
    auto text = Forward::encodeUsageRecord(record);
    auto const deadline = m_runtime.now() + callTimeout;
    std::optional<Core::StoreRevision> version;
    if (m_usageRecordVersion.number == 0)
        version = co_await m_store.create(usageRecordKey, std::move(text), deadline, error);
    else
        version = co_await m_store.update(usageRecordKey, std::move(text), m_usageRecordVersion, deadline, error);
    if (!version || version->era != m_usageRecordVersion.era) {
        // Another holder wrote the record, the response was lost, or the store was restored; reading the record again tells which.
        m_isUsageRecordLoaded = false;
        co_return false;
    }
    m_usageRecordVersion = *version;
    m_usageLedger.decided = std::move(record.counts);
    co_return true;
}

Core::Awaitable<void> DutyRunner::reportUsage()
{
    // The other nodes' last reports about a window arrive within this time after its end.
    std::int64_t const settlingMilliseconds = m_tables.peers.isAggregated ? 2500 : 1500;
    static constexpr std::int64_t maximumPendingWindows = 2;
    auto const length = m_settings.usageWindow.count();
    auto const newest = Forward::usageWindow(medianUnixMilliseconds() - settlingMilliseconds, length) - 1;
    if (newest <= m_usageLedger.settledUntil)
        co_return;
    Core::Error error;
    if (!m_isUsageRecordLoaded) {
        bool const isLoaded = co_await loadUsageRecord(newest, error);
        if (!isLoaded)
            co_return;
    }
    auto const first = std::max(m_usageLedger.settledUntil + 1, newest - maximumPendingWindows + 1);
    for (auto window = first; window <= newest; ++window) {
        auto const counts = Forward::totalCounts(m_tables.usage, window);
        auto const decision = Forward::decideUsageReport(m_usageLedger, counts, window);
        if (decision == Forward::UsageDecision::Settled) {
            m_usageLedger.settledUntil = window;
            continue;
        }
        if (decision == Forward::UsageDecision::StoreFirst) {
            bool const isRecorded = co_await storeWindowCounts(window, counts, error);
            if (!isRecorded)
                co_return;
        }
        auto const credentials = currentCredentials();
        if (!credentials)
            co_return;
        auto const decided = m_usageLedger.decided.at(window);
        bool const isAccepted = co_await m_dutyApi->reportUsage(*credentials, window, decided, m_lease.callDeadline(callTimeout), error);
        Core::logEvent(isAccepted ? Core::LogLevel::Info : Core::LogLevel::Warning, "usage_reported", { { "window", std::int64_t(window) }, { "teams", std::uint64_t(decided.size()) }, { "epoch", std::uint64_t(credentials->token) }, { "accepted", isAccepted ? "yes" : "no" }, { "reason", isAccepted ? std::string() : error.message } });
        if (!isAccepted)
            co_return;
        m_usageLedger.settledUntil = window;
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
            bool const isAccepted = co_await m_dutyApi->orderServers(*credentials, order, m_lease.callDeadline(callTimeout), error);
            Forward::recordOrder(m_orderTable, order, isAccepted, m_runtime.now());
            Core::logEvent(Core::LogLevel::Info, "servers_ordered", { { "service", order.service }, { "data_centre", order.dataCentre }, { "reclaimable", order.reclaimable ? "yes" : "no" }, { "desired", order.desired }, { "accepted", isAccepted ? "yes" : "no" }, { "reason", isAccepted ? std::string() : error.message } });
        }
    }
}

}
