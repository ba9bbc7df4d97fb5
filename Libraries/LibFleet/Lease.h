#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Random.h>
#include <LibPlatform/ObjectStore.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// The value of an object leases/<role>.
struct LeaseRecord {
    /// The node id of the holder; empty after a release.
    std::string holder;
    /// The fencing token. Increases with each change of holder, and when a holder reacquires a lease that it lost. In a store
    /// with eras, it also follows from the version that was replaced; see epochAfter().
    std::uint64_t epoch { 0 };
    std::chrono::milliseconds duration { 0 };
    /// Unique to each write: distinguishes a renewal from an unchanged record, and shows whether a write took effect whose response
    /// was lost.
    std::string writeId;
    /// The store's era in which it was written. In a later era, it is from a copy, and the holders since then are unknown.
    std::uint64_t era { 0 };
    /// Earlier holders, the latest last, which may have acted within the last duration.
    std::vector<std::string> formerHolders;
    /// Whether no other node may have acted within the last duration. False after a restoration, and if an earlier version wrote the
    /// record.
    bool hasAllFormerHolders { true };

    bool operator==(LeaseRecord const&) const = default;
};

/// Returns an epoch above all that were assigned in earlier eras: the era in the upper 32 bits. Thread safe.
[[nodiscard]] constexpr std::uint64_t firstEpochOfEra(std::uint64_t era)
{
    return (era << 32) + 1;
}

/// Returns the epoch that is assigned by a conditional write which replaces a version. Two such writes of one era never replace the same
/// version, so that epochs rise even if the record of a holder was overwritten by a delayed write of an earlier era. Thread safe.
[[nodiscard]] constexpr std::uint64_t epochAfter(Core::StoreRevision version)
{
    return firstEpochOfEra(version.era) + version.number;
}

/// JSON codec of LeaseRecord. Decoding fails with Internal if the text is not a valid record: a field is missing, of another type, or larger
/// than this system writes it. Thread safe.
[[nodiscard]] std::string encodeLease(LeaseRecord const&);
[[nodiscard]] std::optional<LeaseRecord> decodeLease(std::string_view text, Core::Error&);

/// What a candidate knows of the time before it started.
enum class SystemStart {
    /// Nothing: there may have been holders.
    Unknown,
    /// The whole system starts for the first time, so that there was no holder.
    First,
};

/// One candidate's view of a lease. The clocks of candidates are never compared: the holder considers its lease expired one
/// duration after the start of its last successful renewal, and another candidate acquires the lease only after it has observed the
/// record unchanged for the whole duration. After the store was restored from a copy, the holder replaces the record of the copy, and
/// another candidate waits for the whole duration whatever the copy says, also if there is no record when it starts, unless the whole
/// system does. A former holder that another one followed waits for the whole duration before it holds the lease again, also after its
/// process restarted; if the record does not name all former holders, so does a candidate that may be one. A damaged record, as of another
/// writer, counts as that of an unknown holder: it is not renewed or released, and replaced once it was unchanged for the whole duration. Must
/// be called on the runtime's thread only, with one call of acquire, renew or release at a time.
class Lease {
public:
    /// Precondition: duration > 0.
    Lease(Core::Runtime&, Platform::ObjectStore&, Core::Random&, std::string role, std::string nodeId, std::chrono::milliseconds duration, SystemStart = SystemStart::Unknown);

    /// Acquires the lease if it does not exist, was released, or was unchanged for its whole duration; renews it if held already. What a
    /// restored copy says of its absence or release does not count. Returns whether the lease is held. Fails with StoreConflict if another
    /// candidate holds it, or may have followed this one less than the duration ago; else with the store's errors.
    [[nodiscard]] Core::Awaitable<bool> acquire(Core::MonotonicTime deadline, Core::Error&);

    /// Extends a held lease. Fails with StoreConflict if this candidate no longer holds it, else with the store's errors.
    [[nodiscard]] Core::Awaitable<bool> renew(Core::MonotonicTime deadline, Core::Error&);

    /// Stops holding the lease at once, then marks the record as released. Returns false if the record may still name this holder.
    [[nodiscard]] Core::Awaitable<bool> release(Core::MonotonicTime deadline, Core::Error&);

    /// Stops holding the lease without writing, for example after the system was suspended and the monotonic clock did not advance.
    /// The record stays until it expires.
    void abandon() { endTenure(); }

    /// The fencing token, or nothing if the lease is not held.
    [[nodiscard]] std::optional<std::uint64_t> epoch() const;

    /// Time until the lease expires by the local clock; 0 if it is not held.
    [[nodiscard]] Core::Duration remaining() const;

    /// Returns the deadline of a call that only the holder may make: after the timeout, or when the lease ends, whichever is first. A
    /// process that is paused after it decided to call then does not send the call any more.
    [[nodiscard]] Core::MonotonicTime callDeadline(Core::Duration timeout) const;

private:
    [[nodiscard]] Core::Awaitable<std::optional<Platform::StoredObject>> observe(Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> write(LeaseRecord, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Awaitable<bool> writeRenewal(Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] std::string newWriteId();
    void endTenure();
    /// Whether the last observed record, or its absence, is of the store's current era.
    [[nodiscard]] bool isLastRecordCurrent() const { return m_lastRecord.era == m_lastVersion.era; }
    [[nodiscard]] bool isHeldByAnother() const { return isLastRecordCurrent() && !m_isLastRecordDamaged && (m_lastRecord.holder != m_nodeId || m_lastRecord.epoch != m_epoch); }

    Core::Runtime& m_runtime;
    Platform::ObjectStore& m_store;
    Core::Random& m_random;
    Platform::ObjectKey m_key;
    std::string m_nodeId;
    std::chrono::milliseconds m_duration;
    SystemStart m_systemStart;
    /// The store's era when this candidate first read it.
    std::optional<std::uint64_t> m_firstEra;
    /// The version last read or written (number 0: no object), and when this candidate first observed it.
    Core::StoreRevision m_lastVersion;
    std::optional<Core::MonotonicTime> m_unchangedSince;
    LeaseRecord m_lastRecord;
    /// Whether the last observed record could not be decoded; `m_lastRecord` is empty then.
    bool m_isLastRecordDamaged { false };
    std::optional<Core::MonotonicTime> m_heldUntil;
    std::uint64_t m_epoch { 0 };
    Core::MonotonicTime m_acquiredAt {};
    /// While the lease is not held: this node has not acted as its holder since then.
    Core::MonotonicTime m_inactiveSince;
    /// While the lease is held: the members of LeaseRecord.
    std::vector<std::string> m_formerHolders;
    bool m_hasAllFormerHolders { true };
};

struct LeaseManagerSettings {
    std::chrono::milliseconds duration { 10000 };
    /// Time between renewals, and between attempts to acquire the lease.
    std::chrono::milliseconds interval { 3000 };
    std::chrono::milliseconds storeCallTimeout { 2000 };
};

/// Acquires and renews one lease periodically. Must outlive its task, which ends after stop(). Must be called on the runtime's
/// thread only.
class LeaseManager {
public:
    LeaseManager(Core::Runtime&, Platform::ObjectStore&, Core::Random&, Core::Metrics&, std::string role, std::string nodeId, LeaseManagerSettings);

    void start();

    /// Releases the lease and returns once the task has ended.
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
