#include <Node/FleetController.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace Node {

static Platform::ObjectKey const recordKey { "fleetdecisions", "current" };

FleetController::FleetController(FleetDependencies dependencies, FleetControllerSettings settings)
    : m_dependencies(std::move(dependencies))
    , m_runtime(m_dependencies.runtime)
    , m_settings(settings)
    , m_leaseManager(m_runtime, m_dependencies.store, m_dependencies.random, m_dependencies.metrics, "fleet", m_dependencies.nodeId, m_settings.lease)
    , m_engines(m_dependencies.backends)
{
}

void FleetController::start()
{
    m_running = true;
    m_leaseManager.start();
    m_runtime.spawn(run());
}

Core::Awaitable<void> FleetController::stop()
{
    m_running = false;
    co_await m_leaseManager.stop();
}

Core::Awaitable<void> FleetController::run()
{
    while (m_running) {
        auto const epoch = m_leaseManager.lease().epoch();
        if (epoch && *epoch != m_epoch)
            beginEpoch(*epoch);
        if (epoch)
            co_await runRound();
        co_await m_runtime.sleepFor(m_settings.planInterval);
    }
}

void FleetController::beginEpoch(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_leaseHeldSince = m_runtime.now();
    m_demand = std::make_unique<DemandObserver>(m_settings.demand);
    m_record.reset();
    m_unsentStarts.clear();
    m_firstSeen.clear();
    m_unreachableSince.clear();
    m_confirmedEngines.clear();
    m_sentCommands.clear();
    m_stoppedAt.clear();
    m_servicesWithShortage.clear();
    Core::logEvent(Core::LogLevel::Info, "fleet_control_begins", { { "epoch", epoch } });
}

// Checked right before each call that changes something, since the process may have been paused since the last check.
bool FleetController::canAct() const
{
    return m_running && m_leaseManager.lease().epoch() == m_epoch && m_leaseManager.lease().remaining() > m_settings.actionTimeout;
}

Fleet::LeaseStatus FleetController::leaseStatus() const
{
    auto const epoch = m_leaseManager.lease().epoch();
    if (!m_running || epoch != m_epoch)
        return {};
    return { m_epoch, m_leaseManager.lease().remaining(), m_runtime.now() - m_leaseHeldSince };
}

std::int64_t FleetController::wallMilliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count();
}

Core::MonotonicTime FleetController::monotonicTime(std::int64_t wall) const
{
    return m_runtime.now() - std::chrono::milliseconds(wallMilliseconds() - wall);
}

void FleetController::logDecision(Fleet::FleetDecision const& decision)
{
    Core::logEvent(Core::LogLevel::Info, "fleet_decision", { { "epoch", decision.epoch }, { "subject", decision.subject }, { "decision", decision.text } });
    m_dependencies.decisions.add(decision.subject, decision.text);
}

void FleetController::recordDecision(std::string subject, std::string text)
{
    Fleet::FleetDecision decision { wallMilliseconds(), m_epoch, std::move(subject), std::move(text) };
    logDecision(decision);
    Fleet::addDecision(*m_record, std::move(decision));
}

Core::Awaitable<void> FleetController::runRound()
{
    bool const isLoaded = co_await loadRecord();
    if (!isLoaded)
        co_return;
    Core::Error error;
    auto const hosts = co_await m_dependencies.cloud.hosts(m_runtime.now() + m_settings.readTimeout, error);
    if (!hosts || !canAct())
        co_return;
    plan(*hosts);
    bool const isWritten = co_await writeRecord();
    if (!isWritten)
        co_return;
    markDrains();
    co_await startHosts();
    co_await stopDrainedHosts();
    commandEngines(*hosts);
}

Core::Awaitable<bool> FleetController::loadRecord()
{
    if (m_record)
        co_return true;
    Core::Error error;
    auto const stored = co_await m_dependencies.store.read(recordKey, m_runtime.now() + m_settings.readTimeout, error);
    if (!stored && error.kind != Core::ErrorKind::NotFound)
        co_return false;
    Fleet::FleetRecord record;
    if (stored) {
        auto decoded = Fleet::decodeFleetRecord(stored->value, error);
        if (!decoded) {
            Core::logEvent(Core::LogLevel::Error, "fleet_record_unreadable", { { "reason", error.message } });
            co_return false;
        }
        record = std::move(*decoded);
    }
    if (record.epoch > m_epoch || !canAct())
        co_return false;
    m_storedRecord = record;
    m_storedVersion = stored ? stored->resourceVersion : Core::StoreRevision {};
    // Drops starts of this epoch whose calls were never made, since the response to the write of the record was lost.
    std::erase_if(record.starts, [&](auto const& start) { return std::find(m_unsentStarts.begin(), m_unsentStarts.end(), start.token) != m_unsentStarts.end(); });
    m_unsentStarts.clear();
    record.epoch = m_epoch;
    m_record = std::move(record);
    co_return true;
}

// Writes the record if it changed. If the response is lost, reads the record back; if that fails too, the round has no effects
// and the next one loads the record again.
Core::Awaitable<bool> FleetController::writeRecord()
{
    m_record->writeId = m_storedRecord.writeId;
    if (*m_record == m_storedRecord)
        co_return canAct();
    m_record->writeId = m_dependencies.nodeId + "." + std::to_string(m_dependencies.random.bits());
    auto const value = Fleet::encodeFleetRecord(*m_record);
    auto const deadline = m_runtime.now() + m_settings.readTimeout;
    Core::Error error;
    std::optional<Core::StoreRevision> version;
    if (m_storedVersion.number == 0)
        version = co_await m_dependencies.store.create(recordKey, value, deadline, error);
    else
        version = co_await m_dependencies.store.update(recordKey, value, m_storedVersion, deadline, error);
    if (!version && error.runState != Core::RunState::NotRun) {
        auto const stored = co_await m_dependencies.store.read(recordKey, m_runtime.now() + m_settings.readTimeout, error);
        if (stored && stored->value == value)
            version = stored->resourceVersion;
    }
    if (!version) {
        Core::logEvent(Core::LogLevel::Warning, "fleet_record_not_written", { { "reason", error.message } });
        m_record.reset();
        co_return false;
    }
    m_storedRecord = *m_record;
    m_storedVersion = *version;
    co_return canAct();
}

Fleet::DrainRecord const* FleetController::findDrain(std::string const& hostId) const
{
    auto const found = std::find_if(m_record->drains.begin(), m_record->drains.end(), [&](auto const& drain) { return drain.hostId == hostId; });
    return found == m_record->drains.end() ? nullptr : &*found;
}

std::vector<Fleet::FleetHost> FleetController::fleetHosts(std::vector<Platform::Host> const& hosts)
{
    std::vector<Fleet::FleetHost> result;
    for (auto const& host : hosts) {
        if (host.role != Platform::HostRole::Backend)
            continue;
        auto const* service = Configuration::findService(m_dependencies.tables.configuration.desired, host.service);
        auto const* row = Routing::findServer(m_dependencies.tables.servers, host.id);
        auto phase = Fleet::HostPhase::Running;
        // An engine counts as starting until its first load report.
        if (service && service->kind == Configuration::ServiceKind::Model && (!row || !row->report))
            phase = Fleet::HostPhase::Starting;
        if (host.state == Platform::HostState::Leaving || (row && row->lifecycle == Routing::Lifecycle::Leaving) || findDrain(host.id))
            phase = Fleet::HostPhase::Leaving;
        auto const firstSeen = m_firstSeen.try_emplace(host.id, m_runtime.now()).first->second;
        result.push_back({ host.id, host.service, Fleet::poolOf(host), phase, firstSeen });
    }
    for (auto const& start : m_record->starts)
        result.push_back({ start.token, start.request.service, Fleet::poolOf(start.request), Fleet::HostPhase::Starting, monotonicTime(start.requestedAtMilliseconds) });
    return result;
}

void FleetController::plan(std::vector<Platform::Host> const& hosts)
{
    for (auto const& decision : Fleet::reconcile(*m_record, hosts, wallMilliseconds(), m_settings.startExpiry))
        logDecision(decision);
    auto const& desired = m_dependencies.tables.configuration.desired;
    m_demand->observe(m_dependencies.tables, hosts, m_dependencies.teamDemand, m_runtime.now());
    Fleet::FleetInputs inputs { m_demand->demands(desired, m_runtime.now()), desired.places, fleetHosts(hosts), {}, m_runtime.now(), m_settings.policy };
    for (auto const& refusal : m_record->refusals)
        inputs.refusals.push_back({ refusal.pool, monotonicTime(refusal.lastAtMilliseconds), refusal.count });
    auto const plan = Fleet::planFleet(inputs);
    for (auto const& start : plan.starts) {
        Fleet::StartRecord record { "start-" + std::to_string(m_epoch) + "-" + std::to_string(++m_nextToken), start.request, wallMilliseconds(), Fleet::StartState::Requested, {}, {} };
        for (auto const& host : hosts) {
            if (host.service == start.request.service && Fleet::poolOf(host) == Fleet::poolOf(start.request))
                record.listedBefore.push_back(host.id);
        }
        recordDecision(record.token, "start: " + start.reason);
        m_unsentStarts.push_back(record.token);
        m_record->starts.push_back(std::move(record));
    }
    for (auto const& drain : plan.drains) {
        auto const host = std::find_if(hosts.begin(), hosts.end(), [&](auto const& candidate) { return candidate.id == drain.hostId; });
        if (host == hosts.end())
            continue;
        recordDecision(drain.hostId, "drain: " + drain.reason);
        m_record->drains.push_back({ drain.hostId, host->incarnation, wallMilliseconds(), drain.reason });
    }
    // Shortages persist over many rounds; only their beginning is recorded.
    std::set<std::string> servicesWithShortage;
    for (auto const& shortage : plan.shortages) {
        servicesWithShortage.insert(shortage.service);
        if (m_servicesWithShortage.contains(shortage.service))
            continue;
        recordDecision(shortage.service, "shortage: " + shortage.reason);
    }
    m_servicesWithShortage = std::move(servicesWithShortage);
}

void FleetController::markDrains()
{
    for (auto const& drain : m_record->drains)
        m_dependencies.markLeaving(drain.hostId, drain.incarnation);
}

Core::Awaitable<void> FleetController::startHosts()
{
    auto const tokens = m_unsentStarts;
    std::set<Fleet::Pool> refused;
    for (auto const& token : tokens) {
        auto const find = [&] { return std::find_if(m_record->starts.begin(), m_record->starts.end(), [&](auto const& start) { return start.token == token; }); };
        auto const pool = Fleet::poolOf(find()->request);
        if (!canAct())
            co_return;
        if (refused.contains(pool)) {
            recordDecision(token, "not requested, since the platform just refused " + Fleet::describe(pool));
            m_record->starts.erase(find());
        } else {
            co_await startHost(token);
            bool const isRefused = std::any_of(m_record->refusals.begin(), m_record->refusals.end(), [&](auto const& refusal) { return refusal.pool == pool; });
            if (isRefused)
                refused.insert(pool);
        }
        std::erase(m_unsentStarts, token);
    }
}

Core::Awaitable<void> FleetController::startHost(std::string token)
{
    auto const find = [&] { return std::find_if(m_record->starts.begin(), m_record->starts.end(), [&](auto const& start) { return start.token == token; }); };
    auto const request = find()->request;
    auto const pool = Fleet::poolOf(request);
    Core::Error error;
    auto const id = co_await m_dependencies.cloud.startHost(request, m_runtime.now() + m_settings.actionTimeout, error);
    auto const start = find();
    if (id) {
        start->state = Fleet::StartState::Granted;
        start->hostId = *id;
        Fleet::clearRefusals(*m_record, pool);
        recordDecision(*id, "granted as " + token + ", " + Fleet::describe(pool));
        co_return;
    }
    if (error.kind == Core::ErrorKind::NoServerAvailable) {
        Fleet::recordRefusal(*m_record, pool, wallMilliseconds());
        recordDecision(token, "refused: " + Fleet::describe(pool));
        m_record->starts.erase(start);
    } else if (error.runState == Core::RunState::NotRun) {
        recordDecision(token, "not requested: " + error.message);
        m_record->starts.erase(start);
    } else {
        recordDecision(token, "may have been started; not requested again until the host list shows whether it was: " + error.message);
    }
}

Core::Awaitable<void> FleetController::stopDrainedHosts()
{
    auto const drains = m_record->drains;
    for (auto const& drain : drains) {
        if (wallMilliseconds() - drain.sinceMilliseconds >= m_settings.drainPropagationTime.count())
            co_await stopIfIdle(drain);
    }
}

// Stops a host only if it reports no work, or was unreachable for unreachableTimeout.
Core::Awaitable<void> FleetController::stopIfIdle(Fleet::DrainRecord drain)
{
    auto const* row = Routing::findServer(m_dependencies.tables.servers, drain.hostId);
    if (!row || row->outstanding > 0 || !canAct())
        co_return;
    // The host list lags and still shows a host for a while after its stop.
    auto const stopped = m_stoppedAt.find(drain.hostId);
    if (stopped != m_stoppedAt.end() && m_runtime.now() - stopped->second < m_settings.stopRetryInterval)
        co_return;
    auto const endpoint = row->endpoint;
    auto const* service = Configuration::findService(m_dependencies.tables.configuration.desired, row->service);
    auto const kind = service && service->kind == Configuration::ServiceKind::Model ? ServerKind::Engine : ServerKind::PlainService;
    Core::Error error;
    auto const load = co_await m_engines.load(endpoint, kind, m_runtime.now() + m_settings.actionTimeout, error);
    auto const since = m_unreachableSince.try_emplace(drain.hostId, m_runtime.now()).first->second;
    if (load)
        m_unreachableSince.erase(drain.hostId);
    bool const isIdle = load && load->running == 0 && load->waiting == 0 && (load->isLeaving || kind == ServerKind::PlainService);
    bool const isGone = !load && m_runtime.now() - since >= m_settings.unreachableTimeout;
    if (!(isIdle || isGone) || !canAct())
        co_return;
    recordDecision(drain.hostId, isIdle ? "stop: it has no work left" : "stop: it has been unreachable for too long");
    bool const isStopped = co_await m_dependencies.cloud.stopHost(drain.hostId, m_runtime.now() + m_settings.actionTimeout, error);
    m_stoppedAt[drain.hostId] = m_runtime.now();
    if (!isStopped && error.kind != Core::ErrorKind::NotFound)
        recordDecision(drain.hostId, "the stop failed and will be retried: " + error.message);
}

std::vector<Fleet::DesiredEngine> FleetController::desiredEngines(std::vector<Platform::Host> const& hosts) const
{
    std::vector<Fleet::DesiredEngine> desired;
    for (auto const& service : m_dependencies.tables.configuration.desired.services) {
        if (service.kind != Configuration::ServiceKind::Model || service.machineClasses.empty())
            continue;
        std::vector<std::string> versions;
        auto const first = desired.size();
        for (auto const& host : hosts) {
            auto const* row = Routing::findServer(m_dependencies.tables.servers, host.id);
            if (host.service != service.name || !row)
                continue;
            bool const isDrained = findDrain(host.id) != nullptr;
            // Engines that are leaving for another reason, such as a reclaim, need no command.
            if (!isDrained && row->lifecycle == Routing::Lifecycle::Leaving)
                continue;
            desired.push_back({ host.id, row->incarnation, std::string(isDrained ? Fleet::leavingRole : Fleet::servingRole), {} });
            auto const confirmed = m_confirmedEngines.find({ host.id, row->incarnation });
            versions.push_back(confirmed != m_confirmedEngines.end() && !confirmed->second.version.empty() ? confirmed->second.version : host.version);
        }
        auto const assigned = Fleet::assignVersions(service.versions, versions);
        for (std::size_t index = 0; index < assigned.size(); ++index) {
            if (desired[first + index].role == Fleet::servingRole)
                desired[first + index].version = assigned[index];
        }
    }
    return desired;
}

void FleetController::commandEngines(std::vector<Platform::Host> const& hosts)
{
    if (!m_record)
        return;
    auto const desired = desiredEngines(hosts);
    std::vector<Fleet::ReportedEngine> reported;
    for (auto const& engine : desired) {
        auto report = m_confirmedEngines[{ engine.serverId, engine.incarnation }];
        report.serverId = engine.serverId;
        report.incarnation = engine.incarnation;
        reported.push_back(std::move(report));
    }
    Fleet::CommandPolicy const policy { m_settings.actionTimeout, m_settings.lease.duration, m_settings.fencing };
    for (auto const& command : Fleet::decideCommands(desired, reported, leaseStatus(), policy)) {
        auto& sent = m_sentCommands[{ command.serverId, command.kind }];
        bool const isRepeated = sent.value == command.value && sent.incarnation == command.incarnation;
        if (isRepeated && m_runtime.now() - sent.at < m_settings.commandRetryInterval)
            continue;
        sent = { command.value, command.incarnation, m_runtime.now() };
        auto const* row = Routing::findServer(m_dependencies.tables.servers, command.serverId);
        m_runtime.spawn(sendCommand(row->endpoint, command));
    }
}

Core::Awaitable<void> FleetController::sendCommand(Core::Endpoint endpoint, Fleet::EngineCommand command)
{
    if (!canAct())
        co_return;
    bool const isRole = command.kind == Fleet::EngineCommandKind::Role;
    auto const description = std::string(isRole ? "role " : "version ") + command.value;
    logDecision({ wallMilliseconds(), m_epoch, command.serverId, "command " + description + ": " + command.reason });
    Core::Error error;
    bool const isDone = co_await m_engines.send(endpoint, command, m_runtime.now() + m_settings.actionTimeout, error);
    if (command.fencingToken != m_epoch)
        co_return;
    if (!isDone) {
        Core::logEvent(Core::LogLevel::Warning, "engine_command_failed", { { "server", command.serverId }, { "command", description }, { "reason", error.message } });
        co_return;
    }
    auto& confirmed = m_confirmedEngines[{ command.serverId, command.incarnation }];
    (isRole ? confirmed.role : confirmed.version) = command.value;
    (isRole ? confirmed.roleEpoch : confirmed.versionEpoch) = m_epoch;
}

}
