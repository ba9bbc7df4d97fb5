#include <LibFleet/Lease.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>

namespace Fleet {

namespace json = boost::json;

std::string encodeLease(LeaseRecord const& record)
{
    json::object object;
    object["holder"] = record.holder;
    object["epoch"] = record.epoch;
    object["durationMs"] = record.duration.count();
    object["writeId"] = record.writeId;
    return json::serialize(object);
}

std::optional<LeaseRecord> decodeLease(std::string_view text, Core::Error& reason)
{
    try {
        auto const value = json::parse({ text.data(), text.size() });
        LeaseRecord record;
        record.holder = value.at("holder").as_string();
        record.epoch = value.at("epoch").to_number<std::uint64_t>();
        record.duration = std::chrono::milliseconds(value.at("durationMs").to_number<std::int64_t>());
        record.writeId = value.at("writeId").as_string();
        return record;
    } catch (std::exception const& error) {
        return Core::fail(reason, Core::ErrorKind::Internal, std::string("the lease cannot be read: ") + error.what());
    }
}

Lease::Lease(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, std::string role, std::string nodeId, std::chrono::milliseconds duration)
    : m_runtime(runtime)
    , m_store(store)
    , m_random(random)
    , m_key { "leases", std::move(role) }
    , m_nodeId(std::move(nodeId))
    , m_duration(duration)
{
}

std::string Lease::newWriteId()
{
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), ".%016llx", static_cast<unsigned long long>(m_random.bits()));
    return m_nodeId + buffer;
}

std::optional<std::uint64_t> Lease::epoch() const
{
    if (remaining() <= Core::Duration::zero())
        return std::nullopt;
    return m_epoch;
}

Core::Duration Lease::remaining() const
{
    if (!m_heldUntil)
        return Core::Duration::zero();
    return std::max(*m_heldUntil - m_runtime.now(), Core::Duration::zero());
}

// Returns an object of version 0 if there is none.
Core::Awaitable<std::optional<Platform::StoredObject>> Lease::observe(Core::MonotonicTime deadline, Core::Error& reason)
{
    auto stored = co_await m_store.read(m_key, deadline, reason);
    if (!stored && reason.kind != Core::ErrorKind::NotFound)
        co_return std::nullopt;
    if (!stored)
        stored = Platform::StoredObject { m_key, 0, {} };
    if (m_seenSince && stored->resourceVersion == m_seenVersion)
        co_return stored;
    LeaseRecord record;
    if (stored->resourceVersion != 0) {
        auto const decoded = decodeLease(stored->value, reason);
        if (!decoded)
            co_return std::nullopt;
        record = *decoded;
    }
    m_seen = record;
    m_seenVersion = stored->resourceVersion;
    // The time after the read: the record was written before it.
    m_seenSince = m_runtime.now();
    co_return stored;
}

// Replaces the record last seen. A lost answer is resolved by reading back and comparing the write id.
Core::Awaitable<bool> Lease::write(LeaseRecord record, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto const text = encodeLease(record);
    std::optional<std::uint64_t> version;
    if (m_seenVersion == 0)
        version = co_await m_store.create(m_key, text, deadline, reason);
    else
        version = co_await m_store.update(m_key, text, m_seenVersion, deadline, reason);
    if (version) {
        m_seen = std::move(record);
        m_seenVersion = *version;
        m_seenSince = m_runtime.now();
        co_return true;
    }
    auto const failure = reason;
    if (failure.kind != Core::ErrorKind::StoreConflict && failure.runState == Core::RunState::NotRun)
        co_return false;
    auto const stored = co_await observe(deadline, reason);
    if (stored && m_seenVersion != 0 && m_seen.writeId == record.writeId)
        co_return true;
    reason = failure;
    co_return false;
}

Core::Awaitable<bool> Lease::acquire(Core::MonotonicTime deadline, Core::Error& reason)
{
    if (remaining() > Core::Duration::zero())
        co_return co_await renew(deadline, reason);
    m_heldUntil.reset();
    auto const observed = co_await observe(deadline, reason);
    if (!observed)
        co_return false;
    // Nobody else was given the epoch that this object held, and its own view of it has ended.
    bool const isOwnLapsed = m_epoch != 0 && m_seen.holder == m_nodeId && m_seen.epoch == m_epoch;
    bool const isFree = m_seenVersion == 0 || m_seen.holder.empty() || isOwnLapsed;
    if (!isFree && m_runtime.now() - *m_seenSince < m_seen.duration) {
        Core::fail(reason, Core::ErrorKind::StoreConflict, "the lease is held by " + m_seen.holder);
        co_return false;
    }
    // The epoch grows for an own earlier lease too: commands sent under it may still be on their way.
    LeaseRecord record { m_nodeId, std::max(m_seen.epoch, m_epoch) + 1, m_duration, newWriteId() };
    auto const epoch = record.epoch;
    auto const start = m_runtime.now();
    bool const isWritten = co_await write(std::move(record), deadline, reason);
    if (!isWritten)
        co_return false;
    m_epoch = epoch;
    m_heldUntil = start + m_duration;
    co_return remaining() > Core::Duration::zero();
}

Core::Awaitable<bool> Lease::renew(Core::MonotonicTime deadline, Core::Error& reason)
{
    if (remaining() <= Core::Duration::zero() || m_seen.holder != m_nodeId || m_seen.epoch != m_epoch) {
        m_heldUntil.reset();
        Core::fail(reason, Core::ErrorKind::StoreConflict, "the lease is not held");
        co_return false;
    }
    LeaseRecord record { m_nodeId, m_epoch, m_duration, newWriteId() };
    auto const start = m_runtime.now();
    bool const isWritten = co_await write(std::move(record), deadline, reason);
    if (isWritten) {
        m_heldUntil = start + m_duration;
        co_return remaining() > Core::Duration::zero();
    }
    // Another write of the own earlier renewal may have been seen; only another holder or epoch ends the lease at once.
    if (m_seen.holder != m_nodeId || m_seen.epoch != m_epoch)
        m_heldUntil.reset();
    co_return false;
}

Core::Awaitable<bool> Lease::release(Core::MonotonicTime deadline, Core::Error& reason)
{
    bool const wasHeld = remaining() > Core::Duration::zero();
    m_heldUntil.reset();
    if (!wasHeld)
        co_return true;
    LeaseRecord record { "", m_epoch, m_duration, newWriteId() };
    co_return co_await write(std::move(record), deadline, reason);
}

LeaseKeeper::LeaseKeeper(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, Core::Metrics& metrics, std::string role, std::string nodeId, LeaseKeeperSettings settings)
    : m_runtime(runtime)
    , m_metrics(metrics)
    , m_role(role)
    , m_settings(settings)
    , m_lease(runtime, store, random, std::move(role), std::move(nodeId), settings.duration)
    , m_changed(runtime)
{
}

void LeaseKeeper::start()
{
    if (m_running)
        return;
    m_running = true;
    m_stopping = false;
    m_runtime.spawn(run());
}

Core::Awaitable<void> LeaseKeeper::stop()
{
    m_stopping = true;
    m_changed.notifyAll();
    while (m_running)
        (void)co_await m_changed.waitUntil(m_runtime.now() + m_settings.storeCallTimeout);
}

Core::Awaitable<void> LeaseKeeper::run()
{
    bool wasHeld = false;
    while (!m_stopping) {
        Core::Error reason;
        auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
        (void)co_await m_lease.acquire(deadline, reason);
        auto const epoch = m_lease.epoch();
        m_metrics.gauge("hyssopstep_lease_held", { { "role", m_role } }).set(epoch ? 1 : 0);
        if (epoch.has_value() != wasHeld) {
            wasHeld = epoch.has_value();
            Core::logEvent(Core::LogLevel::Info, wasHeld ? "lease_acquired" : "lease_lost", { { "role", m_role }, { "epoch", epoch.value_or(0) } });
        }
        if (!m_stopping)
            (void)co_await m_changed.waitUntil(m_runtime.now() + m_settings.interval);
    }
    Core::Error reason;
    auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
    (void)co_await m_lease.release(deadline, reason);
    m_metrics.gauge("hyssopstep_lease_held", { { "role", m_role } }).set(0);
    m_running = false;
    m_changed.notifyAll();
}

}
