#pragma once

#include <Edge/DutyRunner.h>
#include <LibRollout/StoredOrder.h>
#include <LibRollout/Verdict.h>
#include <functional>
#include <map>

namespace Edge {

/// Evaluates versions, at each node, and on the holder of the duties reads the orders from the store and writes their status. While no node reports that
/// it holds the duties, or if an order is overdue, the nodes that watch the store do this in its place: the next holder may follow only after the
/// lease has expired, which is late for an order of some seconds. This is safe because each write of a status is conditional on the version of the
/// order that was read. Used from the runtime's thread only.
class RolloutRunner {
public:
    /// All references outlive the runner, which outlives its tasks.
    struct Dependencies {
        Core::Runtime& runtime;
        Platform::ObjectStore& store;
        Rollout::Codec const& codec;
        EdgeTables& tables;
        EdgeSettings const& settings;
        DutyRunner& duties;
        Core::Random& random;
        Core::Metrics& metrics;
    };

    explicit RolloutRunner(Dependencies);

    void start();

    /// Stops writing. Returns once no write is in flight, or after a call's timeout.
    [[nodiscard]] Core::Awaitable<void> stop();

    /// Judges the running orders by the evidence that this node has, and stops the use of a version that is bad.
    void tick();

    /// Sets the function that is called after a change that the other nodes should learn without delay.
    void onChange(std::function<void()> listener) { m_changeListener = std::move(listener); }

private:
    [[nodiscard]] Core::Awaitable<void> watchOrders();
    [[nodiscard]] Core::Awaitable<void> decideOrders();
    [[nodiscard]] Core::Awaitable<bool> list(Core::Error&);
    [[nodiscard]] Core::Awaitable<void> decide(std::string service);
    [[nodiscard]] Core::Awaitable<void> writeStatus(std::string service, Rollout::Order);
    /// Returns the deadline of a call, or an empty optional if this node must not act.
    [[nodiscard]] std::optional<Core::MonotonicTime> actionDeadline();
    void updateVacancy();
    [[nodiscard]] Core::Duration elapsedSinceOrder(Rollout::Order const&) const;
    [[nodiscard]] bool isAnyOverdue() const;
    void readOrder(Platform::StoredObject const&);
    void refuseOrder(Platform::StoredObject const&, std::string const& reason);
    void apply(Rollout::Order const&, std::string_view source);
    [[nodiscard]] Rollout::Judgement judge(Rollout::RolloutTable::Row const&) const;
    [[nodiscard]] std::int64_t medianUnixMilliseconds() const;
    [[nodiscard]] bool areIncumbentsIdle(Rollout::Order const&) const;
    void notifyChange();

    Dependencies m_dependencies;
    std::function<void()> m_changeListener;
    /// The orders as last read or written, by service. Empty while this node does not read them.
    std::map<std::string, Rollout::StoredOrder> m_stored;
    /// The revision from which the next watch starts, and the last one that the store returned.
    std::optional<Core::StoreRevision> m_version;
    Core::StoreRevision m_returnedVersion;
    /// When this node first knew that an order is completing, by service.
    std::map<std::string, Core::MonotonicTime> m_completingSince;
    /// The versions of refused orders that were logged, by name.
    std::map<std::string, Core::StoreRevision> m_refused;
    /// Since when no node is known to hold the duties.
    std::optional<Core::MonotonicTime> m_vacantSince;
    std::uint32_t m_failures { 0 };
    bool m_stopping { false };
    bool m_isWriting { false };
    Core::AsyncEvent m_writeEnded;
};

}
