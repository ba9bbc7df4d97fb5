#include <Support/MemoryObjectStore.h>

namespace TestSupport {

using Core::ErrorKind;
using Core::RunState;
using Platform::ObjectKey;

std::uint64_t MemoryObjects::put(ObjectKey const& key, std::string value)
{
    objects[key] = { key, ++version, std::move(value) };
    history.push_back({ Platform::ObjectEventKind::Put, objects[key] });
    for (auto* watcher : watchers)
        watcher->notifyAll();
    return version;
}

void MemoryObjects::erase(ObjectKey const& key)
{
    auto object = objects[key];
    object.resourceVersion = ++version;
    objects.erase(key);
    history.push_back({ Platform::ObjectEventKind::Removed, std::move(object) });
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

Core::Duration MemoryObjectStore::randomDelay(Core::Duration bound)
{
    return bound.count() == 0 ? bound : Core::Duration(m_random.below(static_cast<std::uint64_t>(bound.count())));
}

namespace {

struct CallInFlight {
    explicit CallInFlight(Core::Runtime& runtime)
        : done(runtime)
    {
    }

    Core::AsyncEvent done;
    bool isDone { false };
    bool succeeded { false };
    Core::Error reason;
};

}

Core::Awaitable<bool> MemoryObjectStore::perform(CallKind kind, Effect effect, Core::MonotonicTime deadline, Core::Error& reason)
{
    ++(kind == CallKind::Read ? calls.reads : calls.writes);
    auto const lostState = kind == CallKind::Read ? RunState::NotRun : RunState::Unknown;
    auto const requestDelay = randomDelay(faults.requestDelay);
    auto const answerDelay = randomDelay(faults.answerDelay);
    bool const isRequestLost = faults.lostRequest > 0 && m_random.unit() < faults.lostRequest;
    bool isAnswerLost = faults.lostAnswer > 0 && m_random.unit() < faults.lostAnswer;
    if (kind == CallKind::Write && faults.lostWriteAnswers > 0) {
        --faults.lostWriteAnswers;
        isAnswerLost = true;
    }
    if (faults.isDown) {
        co_await m_runtime.sleepFor(requestDelay);
        Core::fail(reason, ErrorKind::StoreUnavailable, "down");
        co_return false;
    }
    auto call = std::make_shared<CallInFlight>(m_runtime);
    auto transmit = [](MemoryObjectStore& store, std::shared_ptr<CallInFlight> current, Effect run, Core::Duration before, Core::Duration after, bool isRejected, bool isLost, RunState lost) -> Core::Awaitable<void> {
        if (before.count() > 0)
            co_await store.m_network.sleepFor(before);
        if (isRejected || store.faults.isDown)
            Core::fail(current->reason, ErrorKind::StoreUnavailable, "request lost", lost);
        else
            current->succeeded = run(current->reason);
        if (after.count() > 0)
            co_await store.m_network.sleepFor(after);
        if (isLost) {
            current->succeeded = false;
            Core::fail(current->reason, ErrorKind::StoreUnavailable, "answer lost", lost);
        }
        current->isDone = true;
        current->done.notifyAll();
    };
    auto task = transmit(*this, call, std::move(effect), requestDelay, answerDelay, isRequestLost, isAnswerLost, lostState);
    if (requestDelay.count() == 0 && answerDelay.count() == 0) {
        co_await std::move(task);
    } else {
        m_network.spawn(std::move(task));
        while (!call->isDone) {
            bool const isNotified = co_await call->done.waitUntil(deadline);
            if (!isNotified)
                break;
        }
        // A caller whose clock stands still does not see the answer before its clock moves again.
        co_await m_runtime.sleepFor(std::chrono::nanoseconds(1));
    }
    if (!call->isDone) {
        Core::fail(reason, ErrorKind::StoreUnavailable, "deadline", lostState);
        co_return false;
    }
    if (!call->succeeded)
        reason = call->reason;
    if (!call->succeeded && reason.kind == ErrorKind::StoreConflict)
        ++calls.conflicts;
    co_return call->succeeded;
}

Core::Awaitable<std::optional<Platform::StoredObject>> MemoryObjectStore::read(ObjectKey key, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto result = std::make_shared<Platform::StoredObject>();
    Effect effect = [objects = m_objects, key, result](Core::Error& failure) {
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end())
            return Core::fail(failure, ErrorKind::NotFound, key.name), false;
        *result = position->second;
        return true;
    };
    bool const succeeded = co_await perform(CallKind::Read, std::move(effect), deadline, reason);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<Platform::ObjectList>> MemoryObjectStore::list(std::string kind, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto result = std::make_shared<Platform::ObjectList>();
    Effect effect = [objects = m_objects, kind, result](Core::Error&) {
        result->resourceVersion = objects->version;
        for (auto const& [key, object] : objects->objects) {
            if (key.kind == kind)
                result->objects.push_back(object);
        }
        return true;
    };
    bool const succeeded = co_await perform(CallKind::Read, std::move(effect), deadline, reason);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<std::uint64_t>> MemoryObjectStore::create(ObjectKey key, std::string value, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto result = std::make_shared<std::uint64_t>(0);
    Effect effect = [objects = m_objects, key, value, result](Core::Error& failure) {
        if (value.size() > Platform::maximumValueBytes)
            return Core::fail(failure, ErrorKind::StoreValueTooLarge, key.name), false;
        if (objects->objects.contains(key))
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        *result = objects->put(key, value);
        return true;
    };
    bool const succeeded = co_await perform(CallKind::Write, std::move(effect), deadline, reason);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<std::optional<std::uint64_t>> MemoryObjectStore::update(ObjectKey key, std::string value, std::uint64_t expectedVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    auto result = std::make_shared<std::uint64_t>(0);
    Effect effect = [objects = m_objects, key, value, expectedVersion, result](Core::Error& failure) {
        if (value.size() > Platform::maximumValueBytes)
            return Core::fail(failure, ErrorKind::StoreValueTooLarge, key.name), false;
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end() || position->second.resourceVersion != expectedVersion)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        *result = objects->put(key, value);
        return true;
    };
    bool const succeeded = co_await perform(CallKind::Write, std::move(effect), deadline, reason);
    if (!succeeded)
        co_return std::nullopt;
    co_return *result;
}

Core::Awaitable<bool> MemoryObjectStore::remove(ObjectKey key, std::uint64_t expectedVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    Effect effect = [objects = m_objects, key, expectedVersion](Core::Error& failure) {
        auto const position = objects->objects.find(key);
        if (position == objects->objects.end())
            return Core::fail(failure, ErrorKind::NotFound, key.name), false;
        if (position->second.resourceVersion != expectedVersion)
            return Core::fail(failure, ErrorKind::StoreConflict, key.name), false;
        objects->erase(key);
        return true;
    };
    co_return co_await perform(CallKind::Write, std::move(effect), deadline, reason);
}

Core::Awaitable<std::optional<Platform::ObjectChanges>> MemoryObjectStore::waitForChanges(std::string kind, std::uint64_t afterVersion, Core::MonotonicTime deadline, Core::Error& reason)
{
    ++calls.reads;
    while (true) {
        if (faults.isDown)
            co_return Core::fail(reason, ErrorKind::StoreUnavailable, "down");
        if (afterVersion < m_objects->oldestWatchVersion)
            co_return Core::fail(reason, ErrorKind::StoreVersionExpired, kind);
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
