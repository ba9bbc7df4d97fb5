#include <Edge/RolloutRunner.h>

#include <Edge/RolloutState.h>
#include <Edge/StoreWatcher.h>
#include <LibCore/Log.h>
#include <LibRollout/VersionGroup.h>
#include <algorithm>

namespace Edge {

using namespace std::chrono_literals;
using Rollout::State;
using Rollout::Verdict;

static constexpr Core::Duration callTimeout = 800ms;
// Short, since a period may be of some seconds.
static constexpr Core::Duration decisionInterval = 100ms;
// Several nodes may act in place of the holder, and calls are billed.
static constexpr Core::Duration standbyRetryDelay = 1s;
// After a write that failed.
static constexpr Core::Duration writeRetryInterval = 500ms;

RolloutRunner::RolloutRunner(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_writeEnded(dependencies.runtime)
{
}

void RolloutRunner::start()
{
    m_dependencies.runtime.spawn(watchOrders());
    m_dependencies.runtime.spawn(decideOrders());
}

Core::Awaitable<void> RolloutRunner::stop()
{
    m_stopping = true;
    auto const deadline = m_dependencies.runtime.now() + callTimeout;
    while (m_isWriting && m_dependencies.runtime.now() < deadline)
        (void)co_await m_writeEnded.waitUntil(deadline);
}

void RolloutRunner::notifyChange()
{
    if (m_changeListener)
        m_changeListener();
}

std::int64_t RolloutRunner::medianUnixMilliseconds() const
{
    auto const own = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.runtime.wallNow().time_since_epoch());
    return (own + Forward::medianClockOffset(m_dependencies.tables.peers, m_dependencies.runtime.now())).count();
}

void RolloutRunner::updateVacancy()
{
    auto const& peers = m_dependencies.tables.peers;
    auto const now = m_dependencies.runtime.now();
    bool const isHeld = m_dependencies.duties.holdsDuties() || Forward::areDutiesHeldElsewhere(peers, now);
    if (isHeld)
        m_vacantSince.reset();
    else if (!m_vacantSince)
        m_vacantSince = now;
}

std::optional<Core::MonotonicTime> RolloutRunner::actionDeadline()
{
    // A node that has just started, or was suspended, hears of the holder within this time.
    static constexpr Core::Duration vacancyTime = 1500ms;
    auto const& settings = m_dependencies.settings;
    auto const& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    if (m_stopping || !tables.isUsable())
        return std::nullopt;
    if (auto const deadline = m_dependencies.duties.callDeadline(callTimeout))
        return deadline;
    bool const isVacant = m_vacantSince && now - *m_vacantSince >= vacancyTime;
    if ((!isVacant && !isAnyOverdue()) || tables.isDraining() || m_dependencies.duties.holdsDuties() || !Forward::shouldWatchStore(tables.peers, settings.nodeId, settings.dataCentre, now))
        return std::nullopt;
    return now + callTimeout;
}

Core::Duration RolloutRunner::elapsedSinceOrder(Rollout::Order const& order) const
{
    return std::chrono::milliseconds(std::max<std::int64_t>(medianUnixMilliseconds() - order.startedAt, 0));
}

bool RolloutRunner::isAnyOverdue() const
{
    auto const now = m_dependencies.runtime.now();
    auto const& rows = m_dependencies.tables.rollouts.rows;
    return std::any_of(rows.begin(), rows.end(), [&](auto const& item) { return Rollout::isOverdue(item.second.order, elapsedSinceOrder(item.second.order), now - item.second.changedAt); });
}

Rollout::Judgement RolloutRunner::judge(Rollout::RolloutTable::Row const& row) const
{
    return Rollout::decideVerdict(Rollout::observe(row, elapsedSinceOrder(row.order), m_dependencies.runtime.now()));
}

void RolloutRunner::tick()
{
    auto& tables = m_dependencies.tables;
    auto const now = m_dependencies.runtime.now();
    updateVacancy();
    Rollout::observeVersions(tables.rollouts, tables.servers);
    for (auto& [service, row] : tables.rollouts.rows) {
        auto const& order = row.order;
        auto const state = Rollout::isRejected(order) ? State::RolledBack : order.state;
        m_dependencies.metrics.gauge("hyssopstep_rollout_state", { { "service", service } }).set(static_cast<double>(state));
        if (Rollout::isFinal(order.state))
            continue;
        Rollout::recordSums(row, Forward::summedEvidence(tables.peers, order.id, row.own), now);
        if (Rollout::isRejected(order))
            continue;
        auto judgement = judge(row);
        if (judgement.verdict != Verdict::Bad)
            continue;
        auto bad = order;
        bad.isFoundBad = true;
        bad.reason = std::move(judgement.reason);
        apply(bad, "own");
    }
}

void RolloutRunner::apply(Rollout::Order const& order, std::string_view source)
{
    if (applyOrder(m_dependencies.tables, order, source, m_dependencies.runtime.now()))
        notifyChange();
}

void RolloutRunner::refuseOrder(Platform::StoredObject const& object, std::string const& reason)
{
    auto const [found, isNew] = m_refused.try_emplace(object.key.name, object.resourceVersion);
    if (!isNew && std::exchange(found->second, object.resourceVersion) == object.resourceVersion)
        return;
    Core::logEvent(Core::LogLevel::Warning, "rollout_refused", { { "order", object.key.name }, { "revision", object.resourceVersion.toString() }, { "reason", reason } });
}

void RolloutRunner::readOrder(Platform::StoredObject const& object)
{
    auto& tables = m_dependencies.tables;
    Core::Error error;
    auto stored = m_dependencies.codec.decodeOrder(object, error);
    if (!stored) {
        refuseOrder(object, error.message);
        return;
    }
    if (stored->fault.empty() && !Forward::findService(*tables.routes, stored->id.service))
        stored->fault = "the configuration has no service " + stored->id.service;
    if (!stored->fault.empty() && !(stored->status && stored->status->id == stored->id))
        refuseOrder(object, stored->fault);
    auto const order = Rollout::adoptOrder(tables.rollouts, *stored, tables.servers, medianUnixMilliseconds());
    bool const mayApply = Rollout::mayTakeEffect(tables.rollouts, *stored, object.key.name);
    m_stored[object.key.name] = std::move(*stored);
    if (mayApply)
        apply(order, "store");
}

Core::Awaitable<bool> RolloutRunner::list(Core::Error& error)
{
    auto& ordersRevision = m_dependencies.tables.rollouts.ordersRevision;
    auto const list = co_await m_dependencies.store.list(m_dependencies.codec.kind(), m_dependencies.runtime.now() + callTimeout, error);
    if (!list)
        co_return false;
    // Another node may have read the restored store before this response of the earlier era arrived.
    if (list->resourceVersion.era < ordersRevision.era)
        co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, "the list is of an earlier era of the store"), false;
    m_stored.clear();
    for (auto const& object : list->objects)
        readOrder(object);
    m_version = list->resourceVersion;
    m_returnedVersion = list->resourceVersion;
    ordersRevision = std::max(ordersRevision, list->resourceVersion);
    notifyChange();
    co_return true;
}

Core::Awaitable<void> RolloutRunner::watchOrders()
{
    auto& runtime = m_dependencies.runtime;
    auto& ordersRevision = m_dependencies.tables.rollouts.ordersRevision;
    while (!m_stopping) {
        if (!actionDeadline()) {
            m_version.reset();
            m_stored.clear();
            co_await runtime.sleepFor(decisionInterval);
            continue;
        }
        Core::Error error;
        if (!m_version) {
            bool const isListed = co_await list(error);
            if (!isListed) {
                if (m_failures++ == 0)
                    Core::logEvent(Core::LogLevel::Warning, "dependency_lost", { { "dependency", "store" }, { "kind", m_dependencies.codec.kind() }, { "reason", error.message } });
                bool const isHolder = m_dependencies.duties.holdsDuties();
                co_await runtime.sleepFor(isHolder ? maximumStoreRetryDelay : standbyRetryDelay);
                continue;
            }
            m_failures = 0;
        }
        auto const duration = minimumWatchDuration + std::chrono::milliseconds(m_dependencies.random.below((maximumWatchDuration - minimumWatchDuration).count()));
        auto const changes = co_await m_dependencies.store.waitForChanges(m_dependencies.codec.kind(), *m_version, runtime.now() + duration, error);
        if (!changes || changes->resourceVersion.era < ordersRevision.era) {
            m_version.reset();
            co_await runtime.sleepFor(initialStoreRetryDelay);
            continue;
        }
        // A watch that ended while the store delivered no changes may have missed some, so that the next one covers its time as well.
        m_version = changes->events.empty() ? m_returnedVersion : changes->resourceVersion;
        m_returnedVersion = changes->resourceVersion;
        for (auto const& event : changes->events) {
            if (event.kind == Platform::ObjectEventKind::Removed)
                m_stored.erase(event.object.key.name);
            else
                readOrder(event.object);
        }
        ordersRevision = std::max(ordersRevision, *m_version);
    }
}

Core::Awaitable<void> RolloutRunner::decideOrders()
{
    while (!m_stopping) {
        std::vector<std::string> services;
        for (auto const& [service, stored] : m_stored)
            services.push_back(service);
        for (auto const& service : services)
            co_await decide(service);
        co_await m_dependencies.runtime.sleepFor(decisionInterval);
    }
}

// The platform stops the incumbents at once when an order is completed.
bool RolloutRunner::areIncumbentsIdle(Rollout::Order const& order) const
{
    // All nodes know that the order is completing after the first one, and most requests have ended after the second.
    static constexpr int periodFractionToInform = 20;
    static constexpr Core::Duration maximumInformTime = 1s;
    auto const since = m_completingSince.find(order.id.service);
    auto const elapsed = since == m_completingSince.end() ? Core::Duration(0) : m_dependencies.runtime.now() - since->second;
    bool hasIncumbents = false;
    std::uint32_t inProgress = 0;
    for (auto const& row : m_dependencies.tables.servers.rows) {
        if (row.service != order.id.service || row.version == order.id.to)
            continue;
        hasIncumbents = true;
        inProgress += Routing::requestsInProgress(row);
    }
    if (!hasIncumbents || elapsed >= Rollout::drainTime(order.id.period, elapsedSinceOrder(order)))
        return true;
    return inProgress == 0 && elapsed >= std::min<Core::Duration>(order.id.period / periodFractionToInform, maximumInformTime);
}

Core::Awaitable<void> RolloutRunner::decide(std::string service)
{
    auto const& rows = m_dependencies.tables.rollouts.rows;
    auto const stored = m_stored.find(service);
    if (stored == m_stored.end() || !actionDeadline())
        co_return;
    auto const found = rows.find(stored->second.id.service);
    bool const isKnown = found != rows.end() && found->second.order.id == stored->second.id;
    if (!isKnown && !stored->second.fault.empty()) {
        Rollout::Order refused { .id = stored->second.id, .state = State::RolledBack, .startedAt = medianUnixMilliseconds(), .revision = stored->second.revision, .reason = stored->second.fault, .rejectedVersions = {} };
        if (Rollout::needsStatusWrite(refused, stored->second))
            co_await writeStatus(std::move(service), std::move(refused));
        co_return;
    }
    if (!isKnown)
        co_return;
    auto const& row = found->second;
    auto order = row.order;
    if (order.state == State::Running && !Rollout::isRejected(order)) {
        auto judgement = judge(row);
        if (judgement.verdict == Verdict::Good)
            order.state = State::Completing;
        else if (judgement.verdict == Verdict::NotProven)
            order.isFoundBad = true;
        if (order != row.order) {
            order.reason = std::move(judgement.reason);
            apply(order, "own");
        }
    }
    if (order.state == State::Completing)
        m_completingSince.try_emplace(service, m_dependencies.runtime.now());
    else
        m_completingSince.erase(service);
    if (Rollout::isRejected(order))
        order.state = State::RolledBack;
    else if (order.state == State::Completing && areIncumbentsIdle(order))
        order.state = State::Completed;
    bool const isDue = Rollout::needsStatusWrite(order, stored->second);
    if (isDue)
        co_await writeStatus(std::move(service), std::move(order));
}

Core::Awaitable<void> RolloutRunner::writeStatus(std::string service, Rollout::Order order)
{
    auto const deadline = actionDeadline();
    auto const stored = m_stored.find(service);
    if (!deadline || stored == m_stored.end())
        co_return;
    Platform::ObjectKey const key { m_dependencies.codec.kind(), service };
    auto const expected = stored->second.revision;
    Core::Error error;
    m_isWriting = true;
    auto const version = co_await m_dependencies.store.updateStatus(key, m_dependencies.codec.encodeStatus(order), expected, *deadline, error);
    m_isWriting = false;
    m_writeEnded.notifyAll();
    Core::logEvent(version ? Core::LogLevel::Info : Core::LogLevel::Warning, "rollout_status_written", { { "service", order.id.service }, { "to", order.id.to }, { "state", Rollout::stateName(order.state) }, { "revision", version.value_or(expected).toString() }, { "written", version ? "yes" : "no" }, { "reason", version ? order.reason : error.message } });
    if (version) {
        // A list or a watch may have replaced the entry meanwhile.
        auto const known = m_stored.find(service);
        if (known != m_stored.end() && known->second.revision < *version) {
            known->second.revision = *version;
            known->second.status = Rollout::StoredStatus { order.id, order.state == State::Completing ? State::Running : order.state, order.startedAt, order.reason, order.rejectedVersions };
        }
        order.revision = *version;
        auto const row = m_dependencies.tables.rollouts.rows.find(order.id.service);
        if (row != m_dependencies.tables.rollouts.rows.end() && row->second.order.id == order.id)
            apply(order, "own");
        co_return;
    }
    // Another node wrote it, the response was lost, or there is another order; the object tells which.
    if (error.kind == Core::ErrorKind::StoreConflict) {
        auto const object = co_await m_dependencies.store.read(key, m_dependencies.runtime.now() + callTimeout, error);
        if (object)
            readOrder(*object);
        else if (error.kind == Core::ErrorKind::NotFound)
            m_stored.erase(service);
        if (object)
            co_return;
    }
    co_await m_dependencies.runtime.sleepFor(writeRetryInterval);
}

}
