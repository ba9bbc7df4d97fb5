#include <LibConfiguration/ConfigurationStore.h>

#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Validate.h>
#include <LibCore/Log.h>
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>

namespace Configuration {

using namespace std::chrono_literals;

// Exponential backoff between attempts. The object API responds in milliseconds, so an early first retry after a lost response
// or a conflict is cheap; the maximum keeps the load low in an outage.
static constexpr Core::Duration initialRetryDelay = 20ms;
static constexpr Core::Duration maximumRetryDelay = 1s;

Platform::ObjectKey currentStateKey()
{
    return { "desiredstates", "current" };
}

ConfigurationStore::ConfigurationStore(Core::Runtime& runtime, Platform::ObjectStore& store)
    : m_runtime(runtime)
    , m_store(store)
{
}

Core::Awaitable<std::optional<StoredState>> ConfigurationStore::read(Core::MonotonicTime deadline, Core::Error& error)
{
    auto const object = co_await m_store.read(currentStateKey(), deadline, error);
    if (!object) {
        if (error.kind == Core::ErrorKind::NotFound)
            co_return StoredState {};
        co_return std::nullopt;
    }
    auto state = appliedStateFromJsonText(object->value, error);
    if (!state) {
        error.message = "object desiredstates/current: " + error.message;
        co_return std::nullopt;
    }
    co_return StoredState { std::move(*state), object->resourceVersion };
}

Core::Awaitable<std::optional<ApplyDecision>> ConfigurationStore::apply(ApplyRequest request, Core::MonotonicTime deadline, Core::Error& error)
{
    if (auto const errors = validate(request.desired); !errors.empty())
        co_return Core::fail(error, Core::ErrorKind::InvalidConfiguration, joinErrors(errors));

    // Until the first read, an earlier attempt with this apply id may have taken effect. A write whose response was lost can still
    // take effect until a newer version of the object is read.
    auto runState = Core::RunState::Unknown;
    std::optional<Core::StoreRevision> pendingVersion;
    for (unsigned attempt = 1; attempt <= maximumAttempts; ++attempt) {
        auto const current = co_await read(deadline, error);
        if (!current && error.kind == Core::ErrorKind::InvalidConfiguration)
            co_return std::nullopt;
        if (current) {
            auto decision = decideApply(current->state, request, std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.wallNow().time_since_epoch()).count());
            // If the version has changed and the apply id is absent, a pending write was refused or will be.
            if (!pendingVersion || current->resourceVersion != *pendingVersion)
                runState = Core::RunState::NotRun;
            if (decision.outcome != ApplyOutcome::Accepted)
                co_return decision;
            bool const archived = co_await archive(decision.entriesToArchive, deadline, error);
            if (archived && co_await write(decision.state, current->resourceVersion, deadline, error))
                co_return decision;
            if (error.kind == Core::ErrorKind::StoreValueTooLarge)
                co_return std::nullopt;
            if (archived && error.kind != Core::ErrorKind::StoreConflict && error.runState != Core::RunState::NotRun) {
                runState = Core::RunState::Unknown;
                pendingVersion = current->resourceVersion;
            }
        }
        if (attempt == maximumAttempts || !co_await waitBeforeRetry(attempt, deadline))
            break;
    }
    co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, "the desired state could not be written in time: " + error.message, runState);
}

Core::Awaitable<bool> ConfigurationStore::archive(std::vector<AuditEntry> entries, Core::MonotonicTime deadline, Core::Error& error)
{
    if (entries.empty())
        co_return true;
    boost::json::array list;
    for (auto const& entry : entries)
        list.push_back(toJson(entry));
    Platform::ObjectKey key { std::string(auditArchiveKind), archiveName(entries) };
    auto const version = co_await m_store.create(std::move(key), boost::json::serialize(list), deadline, error);
    // Entries of a generation never change, so an existing object holds the same entries, from an earlier attempt or from a
    // concurrent apply.
    co_return version || error.kind == Core::ErrorKind::StoreConflict;
}

Core::Awaitable<std::optional<std::vector<AuditEntry>>> ConfigurationStore::readArchive(std::uint64_t beforeGeneration, std::size_t limit, Core::MonotonicTime deadline, Core::Error& error)
{
    auto const list = co_await m_store.list(std::string(auditArchiveKind), deadline, error);
    if (!list)
        co_return std::nullopt;
    // Concurrent applies, of which only one took effect, may have archived different ranges, so generations can occur twice.
    std::map<std::uint64_t, AuditEntry> entries;
    for (auto object = list->objects.rbegin(); object != list->objects.rend() && entries.size() < limit; ++object) {
        boost::json::error_code errorCode;
        auto const archive = boost::json::parse(object->value, errorCode);
        if (errorCode || !archive.is_array())
            co_return Core::fail(error, Core::ErrorKind::InvalidConfiguration, "object auditentries/" + object->key.name + " is not a JSON list");
        ValidationErrors errors;
        for (auto const& element : archive.get_array()) {
            auto entry = auditEntryFromJson(element, errors);
            if (!entry)
                co_return Core::fail(error, Core::ErrorKind::InvalidConfiguration, "object auditentries/" + object->key.name + ": " + joinErrors(errors));
            if (entry->generation < beforeGeneration)
                entries.emplace(entry->generation, std::move(*entry));
        }
    }
    while (entries.size() > limit)
        entries.erase(entries.begin());
    std::vector<AuditEntry> ordered;
    ordered.reserve(entries.size());
    for (auto& [generation, entry] : entries)
        ordered.push_back(std::move(entry));
    co_return ordered;
}

Core::Awaitable<bool> ConfigurationStore::write(AppliedState const& state, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    auto text = toJsonText(state);
    std::optional<Core::StoreRevision> version;
    if (expectedVersion.number == 0)
        version = co_await m_store.create(currentStateKey(), std::move(text), deadline, error);
    else
        version = co_await m_store.update(currentStateKey(), std::move(text), expectedVersion, deadline, error);
    if (!version) {
        Core::logEvent(Core::LogLevel::Warning, "configuration_write_failed", { { "generation", state.generation }, { "kind", Core::errorResponseFor(error.kind).name }, { "run_state", Core::runStateName(error.runState) }, { "detail", error.message } });
        co_return false;
    }
    Core::logEvent(Core::LogLevel::Info, "configuration_applied", { { "generation", state.generation }, { "by", state.audit.back().appliedBy }, { "apply_id", state.audit.back().applyId }, { "changes", static_cast<std::uint64_t>(state.audit.back().changes.size()) } });
    co_return true;
}

Core::Awaitable<bool> ConfigurationStore::waitBeforeRetry(unsigned attempt, Core::MonotonicTime deadline)
{
    auto const delay = std::min<Core::Duration>(initialRetryDelay * (1U << (attempt - 1)), maximumRetryDelay);
    if (m_runtime.now() + delay >= deadline)
        co_return false;
    co_await m_runtime.sleepFor(delay);
    co_return true;
}

}
