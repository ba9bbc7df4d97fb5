#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibPlatform/ObjectStore.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Fleet {

/// The value of an object leases/<role>.
struct LeaseRecord {
    /// The node id of the holder; empty after a release.
    std::string holder;
    /// The fencing token. Grows with each change of holder, and when a holder lost its lease and takes it again.
    std::uint64_t epoch { 0 };
    std::chrono::milliseconds duration { 0 };
    /// Changes with each write, so that a renewal is told from an unchanged record and a lost answer is resolved.
    std::string writeId;

    bool operator==(LeaseRecord const&) const = default;
};

/// JSON codec of LeaseRecord; Internal for a text that is not one. Thread safe.
[[nodiscard]] std::string encodeLease(LeaseRecord const&);
[[nodiscard]] std::optional<LeaseRecord> decodeLease(std::string_view text, Core::Error&);

/// One candidate's view of a lease. The clocks of candidates are never compared: the holder's view ends at the start of its
/// last successful renewal plus the duration, and a taker waits until it has itself seen the record unchanged for the whole
/// duration. Called on the runtime's thread only; one call of acquire, renew or release at a time.
class Lease {
public:
    /// Precondition: duration > 0.
    Lease(Core::Runtime&, Platform::ObjectStore&, Core::Random&, std::string role, std::string nodeId, std::chrono::milliseconds duration);

    /// Takes the lease if it is free, released, or was seen unchanged for its whole duration. Returns whether it is held.
    /// StoreConflict if another holds it; else the store's reasons.
    [[nodiscard]] Core::Awaitable<bool> acquire(Core::MonotonicTime deadline, Core::Error&);

    /// Extends a held lease. False with StoreConflict if it is no longer this candidate's.
    [[nodiscard]] Core::Awaitable<bool> renew(Core::MonotonicTime deadline, Core::Error&);

    /// Ends the own view at once, then marks the record as free. False if the record may still name this holder.
    [[nodiscard]] Core::Awaitable<bool> release(Core::MonotonicTime deadline, Core::Error&);

    /// Ends the own view without writing, for example when the clock stood still; the record stays until it lapses.
    void abandon() { m_heldUntil.reset(); }

    /// The fencing token while the lease is held, and nothing else.
    [[nodiscard]] std::optional<std::uint64_t> epoch() const;

    /// How long the lease is still held by the own clock; 0 if it is not.
    [[nodiscard]] Core::Duration remaining() const;

private:
    [[nodiscard]] Core::Awaitable<std::optional<Platform::StoredObject>> observe(Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> write(LeaseRecord, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] std::string newWriteId();

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    Core::Random& m_random;
    Platform::ObjectKey m_key;
    std::string m_nodeId;
    std::chrono::milliseconds m_duration;
    /// The version last seen (0: no object) and the time it was first seen.
    std::uint64_t m_lastVersion { 0 };
    std::optional<Core::MonotonicTime> m_unchangedSince;
    LeaseRecord m_lastRecord;
    std::optional<Core::MonotonicTime> m_heldUntil;
    std::uint64_t m_epoch { 0 };
};

struct LeaseManagerSettings {
    std::chrono::milliseconds duration { 10000 };
    /// Time between renewals, and between attempts to take the lease.
    std::chrono::milliseconds interval { 3000 };
    std::chrono::milliseconds storeCallTimeout { 2000 };
};

/// Keeps taking and renewing one lease on the runtime. Must outlive its task, which ends after stop(). Called on the
/// runtime's thread only.
class LeaseManager {
public:
    LeaseManager(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, std::string role, std::string nodeId, LeaseManagerSettings);

    void start();

    /// Ends the own view, releases the lease and returns once the task has ended.
    [[nodiscard]] Core::Awaitable<void> stop();

    [[nodiscard]] Lease const& lease() const { return m_lease; }

private:
    [[nodiscard]] Core::Awaitable<void> run();

    Core::Runtime& m_runtime;
    Core::Metrics& m_metrics;
    std::string m_role;
    LeaseManagerSettings m_settings;
    Lease m_lease;
    Core::AsyncEvent m_stateChanged;
    bool m_stopping { false };
    bool m_running { false };
};

}
