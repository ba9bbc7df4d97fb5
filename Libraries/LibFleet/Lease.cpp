#include <LibFleet/Lease.h>

#include <LibCore/Log.h>
#include <LibPlatform/JsonFields.h>
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
    object["era"] = record.era;
    object["formerHolders"] = json::value_from(record.formerHolders);
    object["hasAllFormerHolders"] = record.hasAllFormerHolders;
    return json::serialize(object);
}

// Another writer's record may exceed these; this system's does not. The next epoch and the end of the lease stay in range.
static constexpr std::uint64_t maximumEpoch = UINT64_MAX / 2;
static constexpr std::uint64_t maximumDurationMilliseconds = 3'600'000;
static constexpr std::size_t maximumTextBytes = 1024;
static constexpr std::size_t maximumFormerHolders = 256;

std::optional<LeaseRecord> decodeLease(std::string_view text, Core::Error& error)
{
    json::error_code errorCode;
    auto const value = json::parse({ text.data(), text.size() }, errorCode);
    Platform::JsonFields fields(value);
    LeaseRecord record;
    record.holder = fields.text("holder");
    record.epoch = fields.number("epoch");
    auto const milliseconds = fields.number("durationMs");
    record.writeId = fields.text("writeId");
    bool isInRange = record.epoch <= maximumEpoch && milliseconds <= maximumDurationMilliseconds && record.holder.size() <= maximumTextBytes && record.writeId.size() <= maximumTextBytes;
    // Earlier versions do not write these.
    if (fields.has("era"))
        record.era = fields.number("era");
    if (fields.has("formerHolders")) {
        auto const& formerHolders = fields.elements("formerHolders");
        isInRange = isInRange && formerHolders.size() <= maximumFormerHolders;
        for (auto const& holder : formerHolders) {
            isInRange = isInRange && holder.is_string() && holder.get_string().size() <= maximumTextBytes;
            if (isInRange)
                record.formerHolders.emplace_back(std::string_view(holder.get_string()));
        }
    }
    record.hasAllFormerHolders = fields.has("hasAllFormerHolders") && fields.flag("hasAllFormerHolders");
    if (errorCode || !fields.areValid() || !isInRange)
        return Core::fail(error, Core::ErrorKind::Internal, "the lease record is not JSON, or lacks a field, or has one of the wrong type or out of range");
    record.duration = std::chrono::milliseconds(milliseconds);
    return record;
}

static void addFormerHolder(std::vector<std::string>& holders, std::string holder)
{
    holders.push_back(std::move(holder));
    if (holders.size() > maximumFormerHolders)
        holders.erase(holders.begin());
}

static std::vector<std::string> holdersIncludingLast(LeaseRecord const& record)
{
    auto holders = record.formerHolders;
    if (!record.holder.empty())
        addFormerHolder(holders, record.holder);
    return holders;
}

static bool mayHaveBeenFollowed(LeaseRecord const& record, std::string const& nodeId)
{
    auto const holders = holdersIncludingLast(record);
    bool const isLast = !holders.empty() && holders.back() == nodeId;
    return !isLast && (!record.hasAllFormerHolders || std::find(holders.begin(), holders.end(), nodeId) != holders.end());
}

Lease::Lease(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, std::string role, std::string nodeId, std::chrono::milliseconds duration, SystemStart systemStart)
    : m_runtime(runtime)
    , m_store(store)
    , m_random(random)
    , m_key { "leases", std::move(role) }
    , m_nodeId(std::move(nodeId))
    , m_duration(duration)
    , m_systemStart(systemStart)
    , m_inactiveSince(runtime.now())
{
}

std::string Lease::newWriteId()
{
    char buffer[40];
    std::snprintf(buffer, sizeof(buffer), ".%016llx", static_cast<unsigned long long>(m_random.bits()));
    return m_nodeId + buffer;
}

void Lease::endTenure()
{
    if (m_heldUntil)
        m_inactiveSince = std::min(m_runtime.now(), *m_heldUntil);
    m_heldUntil.reset();
}

std::optional<std::uint64_t> Lease::epoch() const
{
    if (remaining() <= Core::Duration::zero())
        return std::nullopt;
    return m_epoch;
}

Core::MonotonicTime Lease::callDeadline(Core::Duration timeout) const
{
    return m_runtime.now() + std::min(timeout, remaining());
}

Core::Duration Lease::remaining() const
{
    if (!m_heldUntil)
        return Core::Duration::zero();
    return std::max(*m_heldUntil - m_runtime.now(), Core::Duration::zero());
}

// Reads the record and notes when it last changed. Returns an object of version number 0 if there is none.
Core::Awaitable<std::optional<Platform::StoredObject>> Lease::observe(Core::MonotonicTime deadline, Core::Error& error)
{
    auto stored = co_await m_store.read(m_key, deadline, error);
    if (!stored && error.kind != Core::ErrorKind::NotFound)
        co_return std::nullopt;
    if (!stored)
        stored = Platform::StoredObject { m_key, { m_store.era(), 0 }, {} };
    m_firstEra = m_firstEra.value_or(stored->resourceVersion.era);
    if (m_unchangedSince && stored->resourceVersion == m_lastVersion)
        co_return stored;
    LeaseRecord record;
    m_isLastRecordDamaged = false;
    if (stored->resourceVersion.number != 0) {
        Core::Error damage;
        auto decoded = decodeLease(stored->value, damage);
        m_isLastRecordDamaged = !decoded;
        if (!decoded)
            Core::logEvent(Core::LogLevel::Warning, "lease_record_damaged", { { "role", m_key.name }, { "revision", stored->resourceVersion.toString() }, { "reason", damage.message } });
        record = std::move(decoded).value_or(LeaseRecord { .era = stored->resourceVersion.era, .hasAllFormerHolders = false });
    }
    m_lastRecord = std::move(record);
    m_lastVersion = stored->resourceVersion;
    // Taken after the read, so that it is not before the write of the record.
    m_unchangedSince = m_runtime.now();
    co_return stored;
}

// Replaces the last observed record. If the response is lost, reads the record back and compares the write id.
Core::Awaitable<bool> Lease::write(LeaseRecord record, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const expected = m_lastVersion;
    record.era = expected.era;
    auto const text = encodeLease(record);
    std::optional<Core::StoreRevision> version;
    if (expected.number == 0)
        version = co_await m_store.create(m_key, text, deadline, error);
    else
        version = co_await m_store.update(m_key, text, expected, deadline, error);
    if (version && version->era == expected.era) {
        m_lastRecord = std::move(record);
        m_isLastRecordDamaged = false;
        m_lastVersion = *version;
        m_unchangedSince = m_runtime.now();
        co_return true;
    }
    if (version)
        Core::fail(error, Core::ErrorKind::StoreConflict, "the store was restored while the lease was written", Core::RunState::Ran);
    auto const failure = error;
    if (failure.kind != Core::ErrorKind::StoreConflict && failure.runState == Core::RunState::NotRun)
        co_return false;
    auto const stored = co_await observe(deadline, error);
    // In another era, the write may have replaced the record of a holder that this candidate had not observed.
    if (stored && m_lastVersion.number != 0 && m_lastVersion.era == expected.era && m_lastRecord.writeId == record.writeId)
        co_return true;
    error = failure;
    co_return false;
}

Core::Awaitable<bool> Lease::acquire(Core::MonotonicTime deadline, Core::Error& error)
{
    if (remaining() > Core::Duration::zero())
        co_return co_await renew(deadline, error);
    endTenure();
    auto const stored = co_await observe(deadline, error);
    if (!stored)
        co_return false;
    // No other candidate was given this epoch, and this candidate no longer holds it, so there is nothing to wait for.
    bool const isOwnExpired = m_epoch != 0 && m_lastRecord.holder == m_nodeId && m_lastRecord.epoch == m_epoch;
    bool const wasNeverHeld = m_lastVersion.number == 0 && m_systemStart == SystemStart::First && m_lastVersion.era == m_firstEra;
    bool const isFree = wasNeverHeld || (isLastRecordCurrent() && !m_isLastRecordDamaged && (m_lastVersion.number == 0 || m_lastRecord.holder.empty() || isOwnExpired));
    auto const duration = std::max(m_lastRecord.duration, m_duration);
    if (mayHaveBeenFollowed(m_lastRecord, m_nodeId) && m_runtime.now() - m_inactiveSince < duration) {
        Core::fail(error, Core::ErrorKind::StoreConflict, "another holder may have followed this one less than the lease's duration ago");
        co_return false;
    }
    if (!isFree && m_runtime.now() - *m_unchangedSince < duration) {
        auto const reason = m_isLastRecordDamaged ? "the record is damaged, and a holder may still hold the lease" : "the lease is held by " + m_lastRecord.holder;
        Core::fail(error, Core::ErrorKind::StoreConflict, isLastRecordCurrent() ? reason : "a holder of era " + std::to_string(m_lastRecord.era) + " may still hold the lease");
        co_return false;
    }
    // The epoch also increases if this candidate was the last holder, since commands of its earlier lease may still be in flight.
    // In a store without eras, epochs rise by one with a write, which raises the version too.
    auto const lowest = m_lastVersion.era > 0 || m_isLastRecordDamaged ? epochAfter(m_lastVersion) : firstEpochOfEra(0);
    auto const epoch = std::max({ m_lastRecord.epoch + 1, m_epoch + 1, lowest });
    auto formerHolders = holdersIncludingLast(m_lastRecord);
    std::erase(formerHolders, m_nodeId);
    // A holder from before a restoration whose record is gone may have acted until now.
    bool const hasAllFormerHolders = wasNeverHeld || (isLastRecordCurrent() && m_lastRecord.hasAllFormerHolders);
    LeaseRecord record { .holder = m_nodeId, .epoch = epoch, .duration = m_duration, .writeId = newWriteId(), .formerHolders = formerHolders, .hasAllFormerHolders = hasAllFormerHolders };
    auto const startedAt = m_runtime.now();
    bool const isWritten = co_await write(std::move(record), deadline, error);
    if (!isWritten)
        co_return false;
    m_epoch = epoch;
    m_formerHolders = std::move(formerHolders);
    m_hasAllFormerHolders = hasAllFormerHolders;
    m_acquiredAt = m_runtime.now();
    m_heldUntil = startedAt + m_duration;
    co_return remaining() > Core::Duration::zero();
}

Core::Awaitable<bool> Lease::writeRenewal(Core::MonotonicTime deadline, Core::Error& error)
{
    if (m_runtime.now() - m_acquiredAt > m_duration) {
        m_formerHolders.clear();
        m_hasAllFormerHolders = true;
    }
    LeaseRecord record { .holder = m_nodeId, .epoch = m_epoch, .duration = m_duration, .writeId = newWriteId(), .formerHolders = m_formerHolders, .hasAllFormerHolders = m_hasAllFormerHolders };
    auto const startedAt = m_runtime.now();
    bool const isWritten = co_await write(std::move(record), deadline, error);
    if (isWritten)
        m_heldUntil = startedAt + m_duration;
    co_return isWritten;
}

Core::Awaitable<bool> Lease::renew(Core::MonotonicTime deadline, Core::Error& error)
{
    if (remaining() <= Core::Duration::zero() || isHeldByAnother()) {
        endTenure();
        Core::fail(error, Core::ErrorKind::StoreConflict, "the lease is not held");
        co_return false;
    }
    // A damaged record may have replaced that of another holder; acquire() replaces it in time.
    if (m_isLastRecordDamaged) {
        Core::fail(error, Core::ErrorKind::StoreConflict, "the record is damaged");
        co_return false;
    }
    auto const era = m_lastVersion.era;
    bool isWritten = co_await writeRenewal(deadline, error);
    // The store was restored. Nobody else acquires the lease before this holder's has expired, so that it may replace the copy's record.
    if (!isWritten && m_lastVersion.era != era && !m_isLastRecordDamaged && !isHeldByAnother() && remaining() > Core::Duration::zero())
        isWritten = co_await writeRenewal(deadline, error);
    if (isWritten)
        co_return remaining() > Core::Duration::zero();
    // The write may have failed because an earlier renewal of this holder took effect late. Only another holder or epoch ends the lease
    // at once.
    if (isHeldByAnother())
        endTenure();
    co_return false;
}

Core::Awaitable<bool> Lease::release(Core::MonotonicTime deadline, Core::Error& error)
{
    bool const wasHeld = remaining() > Core::Duration::zero();
    endTenure();
    if (!wasHeld)
        co_return true;
    if (m_isLastRecordDamaged) {
        Core::fail(error, Core::ErrorKind::StoreConflict, "the record is damaged");
        co_return false;
    }
    LeaseRecord record { .epoch = m_epoch, .duration = m_duration, .writeId = newWriteId(), .formerHolders = m_formerHolders, .hasAllFormerHolders = m_hasAllFormerHolders };
    addFormerHolder(record.formerHolders, m_nodeId);
    co_return co_await write(std::move(record), deadline, error);
}

LeaseManager::LeaseManager(Core::Runtime& runtime, Platform::ObjectStore& store, Core::Random& random, Core::Metrics& metrics, std::string role, std::string nodeId, LeaseManagerSettings settings)
    : m_runtime(runtime)
    , m_metrics(metrics)
    , m_role(role)
    , m_settings(settings)
    , m_lease(runtime, store, random, std::move(role), std::move(nodeId), settings.duration)
    , m_stateChanged(runtime)
{
}

void LeaseManager::start()
{
    if (m_running)
        return;
    m_running = true;
    m_stopping = false;
    m_runtime.spawn(run());
}

Core::Awaitable<void> LeaseManager::stop()
{
    m_stopping = true;
    m_stateChanged.notifyAll();
    while (m_running)
        (void)co_await m_stateChanged.waitUntil(m_runtime.now() + m_settings.storeCallTimeout);
}

Core::Awaitable<void> LeaseManager::run()
{
    bool wasHeld = false;
    while (!m_stopping) {
        Core::Error error;
        auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
        (void)co_await m_lease.acquire(deadline, error);
        auto const epoch = m_lease.epoch();
        m_metrics.gauge("hyssopstep_lease_held", { { "role", m_role } }).set(epoch ? 1 : 0);
        if (epoch.has_value() != wasHeld) {
            wasHeld = epoch.has_value();
            Core::logEvent(Core::LogLevel::Info, wasHeld ? "lease_acquired" : "lease_lost", { { "role", m_role }, { "epoch", epoch.value_or(0) } });
        }
        if (!m_stopping)
            (void)co_await m_stateChanged.waitUntil(m_runtime.now() + m_settings.interval);
    }
    Core::Error error;
    auto const deadline = m_runtime.now() + m_settings.storeCallTimeout;
    (void)co_await m_lease.release(deadline, error);
    m_metrics.gauge("hyssopstep_lease_held", { { "role", m_role } }).set(0);
    m_running = false;
    m_stateChanged.notifyAll();
}

}
