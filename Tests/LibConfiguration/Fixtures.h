#pragma once

#include <LibConfiguration/DesiredState.h>
#include <LibCore/Random.h>
#include <LibPlatform/ObjectStore.h>
#include <map>

namespace ConfigurationTests {

/// A valid state with one entity of each kind, sorted by name.
inline Configuration::DesiredState exampleState()
{
    Configuration::DesiredState state;
    state.services.push_back({ "advisor", Configuration::ServiceKind::Model, { { "v1", "advisor-v1", 90 }, { "v2", "advisor-v2", 10 } }, { { "orders", "advisor-orders" } }, { 440, 76 }, {}, 50, 2, 12 });
    state.services.push_back({ "storefront", Configuration::ServiceKind::Plain, {}, {}, {}, { { "refund", "POST", "/refunds", Configuration::Idempotency::NonIdempotent }, { "lookup", "GET", "/", Configuration::Idempotency::Idempotent } }, 80, 2, 4 });
    state.teams.push_back({ "classroom", { std::string(64, 'a') }, { "advisor", "storefront" }, { 10, 4000, 0 }, 2 });
    state.places.push_back({ "south-1", "us-south", { { "large", "zone-a", 900000, 2400000, 1500, 8 }, { "large", "zone-b", 850000, 2400000, 1500, 8 } } });
    return state;
}

/// The fault that the fake store injects into a call.
enum class StoreFault {
    None,
    /// The call fails without effect.
    NotExecuted,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The response is lost, and the call takes effect only before the next call on the store.
    ExecutedLate,
};

/// An in-memory object store with seeded fault injection.
class FakeObjectStore final : public Platform::ObjectStore {
public:
    FakeObjectStore(Core::Runtime& runtime, std::uint64_t seed, unsigned faultPercent)
        : m_runtime(runtime)
        , m_random(seed)
        , m_faultPercent(faultPercent)
    {
    }

    Core::Awaitable<std::optional<Platform::StoredObject>> read(Platform::ObjectKey key, Core::MonotonicTime, Core::Error& error) override
    {
        if (co_await beginCall() != StoreFault::None)
            co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, "read failed");
        auto const found = objects.find(key);
        if (found == objects.end())
            co_return Core::fail(error, Core::ErrorKind::NotFound, "no such object");
        co_return found->second;
    }

    Core::Awaitable<std::optional<Core::StoreRevision>> create(Platform::ObjectKey key, std::string value, Core::MonotonicTime, Core::Error& error) override
    {
        auto const fault = co_await beginCall();
        co_return write({ key, {}, std::move(value) }, fault, error);
    }

    Core::Awaitable<std::optional<Core::StoreRevision>> update(Platform::ObjectKey key, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime, Core::Error& error) override
    {
        auto const fault = co_await beginCall();
        co_return write({ key, expectedVersion, std::move(value) }, fault, error);
    }

    Core::Awaitable<std::optional<Platform::ObjectList>> list(std::string kind, Core::MonotonicTime, Core::Error& error) override
    {
        if (co_await beginCall() != StoreFault::None)
            co_return Core::fail(error, Core::ErrorKind::StoreUnavailable, "list failed");
        Platform::ObjectList list { {}, { 0, m_version } };
        for (auto const& [key, object] : objects) {
            if (key.kind == kind)
                list.objects.push_back(object);
        }
        co_return list;
    }

    Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(Platform::ObjectKey, std::string, Core::StoreRevision, Core::MonotonicTime, Core::Error& error) override { co_return Core::fail(error, Core::ErrorKind::Internal, "not used"); }
    Core::Awaitable<bool> remove(Platform::ObjectKey, Core::StoreRevision, Core::MonotonicTime, Core::Error&) override { co_return false; }
    Core::Awaitable<std::optional<Platform::ObjectChanges>> waitForChanges(std::string, Core::StoreRevision, Core::MonotonicTime, Core::Error& error) override { co_return Core::fail(error, Core::ErrorKind::Internal, "not used"); }

    std::map<Platform::ObjectKey, Platform::StoredObject> objects;
    /// Faults of the next calls, before the seeded ones.
    std::vector<StoreFault> nextFaults;
    /// Every value that desiredstates/current had, in order.
    std::vector<std::string> history;
    std::size_t calls { 0 };

private:
    Core::Awaitable<StoreFault> beginCall()
    {
        ++calls;
        // Lets other tasks run between any two calls, so that operators interleave.
        co_await m_runtime.sleepFor(std::chrono::microseconds(m_random.below(1000)));
        if (m_lateWrite)
            (void)execute(*m_lateWrite);
        m_lateWrite.reset();
        if (!nextFaults.empty()) {
            auto const fault = nextFaults.front();
            nextFaults.erase(nextFaults.begin());
            co_return fault;
        }
        if (m_random.below(100) >= m_faultPercent)
            co_return StoreFault::None;
        co_return static_cast<StoreFault>(1 + m_random.below(3));
    }

    std::optional<Core::StoreRevision> execute(Platform::StoredObject object)
    {
        auto const found = objects.find(object.key);
        auto const version = found == objects.end() ? Core::StoreRevision {} : found->second.resourceVersion;
        if (version != object.resourceVersion)
            return std::nullopt;
        object.resourceVersion = { 0, ++m_version };
        if (object.key.kind == "desiredstates")
            history.push_back(object.value);
        objects[object.key] = object;
        return object.resourceVersion;
    }

    std::optional<Core::StoreRevision> write(Platform::StoredObject const& object, StoreFault fault, Core::Error& error)
    {
        if (object.value.size() > Platform::maximumValueBytes)
            return Core::fail(error, Core::ErrorKind::StoreValueTooLarge, "too large");
        if (fault == StoreFault::NotExecuted)
            return Core::fail(error, Core::ErrorKind::StoreUnavailable, "outage");
        if (fault == StoreFault::ExecutedLate)
            m_lateWrite = object;
        else if (auto const version = execute(object); !version)
            return Core::fail(error, Core::ErrorKind::StoreConflict, "the object changed");
        else if (fault == StoreFault::None)
            return version;
        return Core::fail(error, Core::ErrorKind::StoreUnavailable, "the response was lost", Core::RunState::Unknown);
    }

    Core::Runtime& m_runtime;
    Core::Random m_random;
    unsigned m_faultPercent;
    std::uint64_t m_version { 0 };
    std::optional<Platform::StoredObject> m_lateWrite;
};

}
