#include <Support/MemoryObjectStore.h>

namespace TestSupport {

using Core::ErrorKind;
using Core::RunState;
using Platform::ObjectKey;

Core::StoreRevision MemoryObjects::put(ObjectKey const& key, std::string value)
{
    auto status = std::move(objects[key].status);
    objects[key] = { key, { era, ++version }, std::move(value), std::move(status) };
    history.push_back({ Platform::ObjectEventKind::Put, objects[key] });
    for (auto* watcher : watchers)
        watcher->notifyAll();
    return { era, version };
}

Core::StoreRevision MemoryObjects::putStatus(ObjectKey const& key, std::string status)
{
    auto& object = objects.at(key);
    object.status = std::move(status);
    return put(key, object.value);
}

void MemoryObjects::erase(ObjectKey const& key)
{
    auto object = objects[key];
    object.resourceVersion = { era, ++version };
    objects.erase(key);
    history.push_back({ Platform::ObjectEventKind::Removed, std::move(object) });
    for (auto* watcher : watchers)
        watcher->notifyAll();
}

void MemoryObjects::restore(MemoryObjects const& copy)
{
    ++era;
    objects = copy.objects;
    version = copy.version;
    history = copy.history;
    for (auto& [key, object] : objects)
        object.resourceVersion.era = era;
    for (auto& event : history)
        event.object.resourceVersion.era = era;
    for (auto* watcher : watchers)
        watcher->notifyAll();
}

MemoryObjectStore::MemoryObjectStore(Core::Runtime& runtime, Core::Random& random, std::shared_ptr<MemoryObjects> objects, Core::Runtime* network)
    : m_runtime(runtime)
    , m_random(random)
    , m_objects(std::move(objects))
    , m_network(network ? *network : runtime)
    , m_changed(runtime)
{
    m_objects->watchers.insert(&m_changed);
}

MemoryObjectStore::~MemoryObjectStore()
{
    m_objects->watchers.erase(&m_changed);
}

Core::Duration MemoryObjectStore::randomDelay(Core::Duration maximum)
{
    return maximum.count() == 0 ? maximum : Core::Duration(m_random.below(static_cast<std::uint64_t>(maximum.count())));
}

namespace {

struct PendingCall {
    explicit PendingCall(Core::Runtime& runtime)
        : done(runtime)
    {
    }

    Core::AsyncEvent done;
    bool isDone { false };
    bool succeeded { false };
    /// The store's era when the call took effect; empty if the request or the response was lost.
    std::optional<std::uint64_t> era;
    Core::Error error;
};

}

Core::Awaitable<bool> MemoryObjectStore::callWithFaults(CallKind kind, Effect effect, Core::MonotonicTime deadline, Core::Error& error)
{
    ++(kind == CallKind::Read ? calls.reads : calls.writes);
    auto const runStateIfLost = kind == CallKind::Read ? RunState::NotRun : RunState::Unknown;
    auto const requestDelay = randomDelay(faults.requestDelay);
    auto const responseDelay = randomDelay(faults.responseDelay);
    bool const isRequestLost = faults.requestLossProbability > 0 && m_random.unit() < faults.requestLossProbability;
    bool isResponseLost = faults.responseLossProbability > 0 && m_random.unit() < faults.responseLossProbability;
    if (kind == CallKind::Write && faults.lostWriteResponses > 0) {
        --faults.lostWriteResponses;
        isResponseLost = true;
    }
    if (faults.isDown) {
        co_await m_runtime.sleepFor(requestDelay);
        Core::fail(error, ErrorKind::StoreUnavailable, "the object store is down");
        co_return false;
    }
    auto call = std::make_shared<PendingCall>(m_runtime);
    auto transmit = [](MemoryObjectStore& store, std::shared_ptr<PendingCall> current, Effect run, Core::Duration delayBefore, Core::Duration delayAfter, bool losesRequest, bool losesResponse, RunState runState) -> Core::Awaitable<void> {
        if (delayBefore.count() > 0)
            co_await store.m_network.sleepFor(delayBefore);
        if (losesRequest || store.faults.isDown)
            Core::fail(current->error, ErrorKind::StoreUnavailable, "the request was lost", runState);
        else {
            current->era = store.m_objects->era;
            current->succeeded = run(current->error);
        }
        if (delayAfter.count() > 0)
            co_await store.m_network.sleepFor(delayAfter);
        if (losesResponse) {
            current->succeeded = false;
            current->era.reset();
            Core::fail(current->error, ErrorKind::StoreUnavailable, "the response was lost", runState);
        }
        current->isDone = true;
        current->done.notifyAll();
    };
    auto task = transmit(*this, call, std::move(effect), requestDelay, responseDelay, isRequestLost, isResponseLost, runStateIfLost);
    if (requestDelay.count() == 0 && responseDelay.count() == 0) {
        co_await std::move(task);
    } else {
        m_network.spawn(std::move(task));
        while (!call->isDone) {
            bool const isNotified = co_await call->done.waitUntil(deadline);
            if (!isNotified)
                break;
        }
        // A caller whose clock stands still sees the response only after its clock moves again.
        co_await m_runtime.sleepFor(std::chrono::nanoseconds(1));
    }
    if (!call->isDone) {
        Core::fail(error, ErrorKind::StoreUnavailable, "the deadline passed before the response arrived", runStateIfLost);
        co_return false;
    }
    if (call->era && *call->era < m_era) {
        Core::fail(error, ErrorKind::StoreUnavailable, "the response is of an earlier era", runStateIfLost);
        co_return false;
    }
    m_era = call->era.value_or(m_era);
    if (!call->succeeded)
        error = call->error;
    if (!call->succeeded && error.kind == ErrorKind::StoreConflict)
        ++calls.conflicts;
    co_return call->succeeded;
}

Core::Awaitable<std::optional<Platform::StoredObject>> MemoryObjectStore::read(ObjectKey key, Core::MonotonicTime deadline, Core::Error& error)
{
    auto result = std::make_shared<Platform::StoredObject>();
    Effect effect = [objects = m_objects, key, result](Core::Error& failure) {
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end())
            return Core::fail(failure, ErrorKind::NotFound, key.name), false;
        *result = position->second;
        return true;
    };
    bool const succeeded = co_await callWithFaults(CallKind::Read, std::move(effect), deadline, error);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<Platform::ObjectList>> MemoryObjectStore::list(std::string kind, Core::MonotonicTime deadline, Core::Error& error)
{
    auto result = std::make_shared<Platform::ObjectList>();
    Effect effect = [objects = m_objects, kind, result](Core::Error&) {
        result->resourceVersion = { objects->era, objects->version };
        for (auto const& [key, object] : objects->objects) {
            if (key.kind == kind)
                result->objects.push_back(object);
        }
        return true;
    };
    bool const succeeded = co_await callWithFaults(CallKind::Read, std::move(effect), deadline, error);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<Core::StoreRevision>> MemoryObjectStore::create(ObjectKey key, std::string value, Core::MonotonicTime deadline, Core::Error& error)
{
    auto result = std::make_shared<Core::StoreRevision>();
    Effect effect = [objects = m_objects, key, value, result](Core::Error& failure) {
        if (value.size() > Platform::maximumValueBytes)
            return Core::fail(failure, ErrorKind::StoreValueTooLarge, key.name), false;
        if (objects->objects.contains(key))
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        *result = objects->put(key, value);
        return true;
    };
    bool const succeeded = co_await callWithFaults(CallKind::Write, std::move(effect), deadline, error);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<Core::StoreRevision>> MemoryObjectStore::update(ObjectKey key, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    auto result = std::make_shared<Core::StoreRevision>();
    Effect effect = [objects = m_objects, key, value, expectedVersion, result](Core::Error& failure) {
        if (value.size() > Platform::maximumValueBytes)
            return Core::fail(failure, ErrorKind::StoreValueTooLarge, key.name), false;
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end() || position->second.resourceVersion.number != expectedVersion.number)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        *result = objects->put(key, value);
        // As the platform's store, which knows only numbers, this one has written.
        if (objects->era != expectedVersion.era)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name, RunState::Ran), false;
        return true;
    };
    bool const succeeded = co_await callWithFaults(CallKind::Write, std::move(effect), deadline, error);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<Core::StoreRevision>> MemoryObjectStore::updateStatus(ObjectKey key, std::string status, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    auto result = std::make_shared<Core::StoreRevision>();
    Effect effect = [objects = m_objects, key, status, expectedVersion, result](Core::Error& failure) {
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end() || position->second.resourceVersion.number != expectedVersion.number)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        *result = objects->putStatus(key, status);
        if (objects->era != expectedVersion.era)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name, RunState::Ran), false;
        return true;
    };
    bool const succeeded = co_await callWithFaults(CallKind::Write, std::move(effect), deadline, error);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<bool> MemoryObjectStore::remove(ObjectKey key, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    Effect effect = [objects = m_objects, key, expectedVersion](Core::Error& failure) {
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end())
            return Core::fail(failure, ErrorKind::NotFound, key.name), false;
        if (position->second.resourceVersion.number != expectedVersion.number)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        objects->erase(key);
        return true;
    };
    co_return co_await callWithFaults(CallKind::Write, std::move(effect), deadline, error);
}

Core::Awaitable<std::optional<Platform::ObjectChanges>> MemoryObjectStore::waitForChanges(std::string kind, Core::StoreRevision afterVersion, Core::MonotonicTime deadline, Core::Error& error)
{
    ++calls.reads;
    while (true) {
        if (faults.isDown)
            co_return Core::fail(error, ErrorKind::StoreUnavailable, "the object store is down");
        m_era = m_objects->era;
        if (afterVersion.era != m_objects->era || afterVersion.number < m_objects->oldestWatchVersion)
            co_return Core::fail(error, ErrorKind::StoreVersionExpired, kind);
        Platform::ObjectChanges changes { {}, afterVersion };
        for (auto const& event : m_objects->history) {
            if (event.object.key.kind != kind || event.object.resourceVersion <= afterVersion)
                continue;
            changes.events.push_back(event);
            changes.resourceVersion = std::max(changes.resourceVersion, event.object.resourceVersion);
        }
        if (!changes.events.empty())
            co_return changes;
        bool const isNotified = co_await m_changed.waitUntil(deadline);
        if (!isNotified)
            co_return changes;
    }
}

}
