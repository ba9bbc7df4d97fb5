#pragma once

#include <Edge/EdgeSettings.h>
#include <Edge/EdgeTables.h>
#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibFleet/Lease.h>
#include <LibForward/PlatformCodec.h>
#include <LibForward/ServerOrders.h>
#include <LibForward/UsageRecord.h>

namespace Edge {

/// Performs the duties, which only the holder of the "duties" lease may perform: usage reports and server orders. Used from the
/// runtime's thread only.
class DutyRunner {
public:
    /// Without an API, it only holds the lease. Precondition: all references outlive the runner, which outlives its tasks.
    DutyRunner(Core::Runtime&, Platform::ObjectStore&, Forward::DutyApi*, EdgeTables&, EdgeSettings const&, Core::Random&, Core::Metrics&);

    void start();

    /// Waits until no call is in flight, then releases the lease, so that another node can take over without waiting for it to expire. A
    /// call that takes longer keeps the lease from being released.
    [[nodiscard]] Core::Awaitable<void> stop();

    /// Returns the deadline of a call that only the holder may make now; an empty optional if this node is not the holder or will soon not be.
    [[nodiscard]] std::optional<Core::MonotonicTime> callDeadline(Core::Duration timeout);

    [[nodiscard]] bool holdsDuties() const { return m_lease.epoch().has_value(); }

private:
    [[nodiscard]] Core::Awaitable<void> run();
    [[nodiscard]] Core::Awaitable<void> maintainLease();
    [[nodiscard]] Core::Awaitable<void> reportUsage();
    [[nodiscard]] Core::Awaitable<void> orderServers();
    [[nodiscard]] Core::Awaitable<bool> loadUsageRecord(std::int64_t newestWindow, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> storeWindowCounts(std::int64_t window, Forward::TeamCounts const&, Core::Error&);
    void observeDemands();
    [[nodiscard]] std::optional<Forward::LeaseCredentials> currentCredentials();
    [[nodiscard]] bool wasSuspended();
    [[nodiscard]] std::int64_t medianUnixMilliseconds() const;

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    Forward::DutyApi* m_dutyApi;
    EdgeTables& m_tables;
    EdgeSettings const& m_settings;
    Core::Random& m_random;
    Core::Metrics& m_metrics;
    Fleet::Lease m_lease;
    Core::MonotonicTime m_renewedAt {};
    Core::MonotonicTime m_acquireAttemptedAt {};
    std::optional<std::chrono::nanoseconds> m_suspendedTime;
    bool m_wasHeld { false };
    bool m_stopping { false };
    bool m_isRunning { false };
    Core::AsyncEvent m_runStateChanged;

    Forward::UsageLedger m_usageLedger;
    /// The version of the usage record in the store, as last read or written; number 0 if there is none.
    Core::StoreRevision m_usageRecordVersion;
    /// Whether the ledger holds what the store does, as far as this node knows.
    bool m_isUsageRecordLoaded { false };
    Forward::OrderTable m_orderTable;
    Forward::ScalingPolicy m_scalingPolicy;

    std::map<std::string, Forward::ServiceDemand> m_demands;
};

}
