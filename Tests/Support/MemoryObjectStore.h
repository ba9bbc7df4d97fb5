#pragma once

#include <LibCore/Random.h>
#include <LibPlatform/ObjectStore.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace TestSupport {

/// The objects of an in-memory platform, shared by the MemoryObjectStores of several nodes.
struct MemoryObjects {
    std::map<Platform::ObjectKey, Platform::StoredObject> objects;
    std::uint64_t version { 0 };
    std::uint64_t era { 0 };
    std::vector<Platform::ObjectEvent> history;
    /// A watch from an earlier version fails with StoreVersionExpired.
    std::uint64_t oldestWatchVersion { 0 };
    std::set<Core::AsyncEvent*> watchers;

    /// The status of the object stays.
    Core::StoreRevision put(Platform::ObjectKey const&, std::string value);
    /// Precondition: the object exists.
    Core::StoreRevision putStatus(Platform::ObjectKey const&, std::string status);
    void erase(Platform::ObjectKey const&);
    /// Returns to the state of a copy of this object, in a new era.
    void restore(MemoryObjects const& copy);
};

/// Injected faults of one store. Probabilities are per call.
struct MemoryObjectFaults {
    bool isDown { false };
    /// Maxima of the random delays before a call takes effect and before its response arrives. If a delay exceeds the caller's
    /// deadline, the call fails with StoreUnavailable, but a write still takes effect later.
    Core::Duration requestDelay { 0 };
    Core::Duration responseDelay { 0 };
    double responseLossProbability { 0 };
    double requestLossProbability { 0 };
    /// The number of following writes whose responses are lost.
    unsigned lostWriteResponses { 0 };
};

struct MemoryObjectCalls {
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t conflicts { 0 };
};

/// An in-memory ObjectStore with the semantics of the platform. Calls in flight run on the network's runtime, so that they take
/// effect while the clock of the caller's runtime stands still. Not thread safe.
class MemoryObjectStore final : public Platform::ObjectStore {
public:
    MemoryObjectStore(Core::Runtime&, Core::Random&, std::shared_ptr<MemoryObjects> = std::make_shared<MemoryObjects>(), Core::Runtime* network = nullptr);
    ~MemoryObjectStore() override;

    MemoryObjectFaults faults;
    MemoryObjectCalls calls;
    [[nodiscard]] MemoryObjects& objects() { return *m_objects; }

    [[nodiscard]] std::uint64_t era() const override { return m_era; }
    Core::Awaitable<std::optional<Platform::StoredObject>> read(Platform::ObjectKey, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<std::optional<Platform::ObjectList>> list(std::string kind, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<std::optional<Core::StoreRevision>> create(Platform::ObjectKey, std::string value, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<std::optional<Core::StoreRevision>> update(Platform::ObjectKey, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(Platform::ObjectKey, std::string status, Core::StoreRevision, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<bool> remove(Platform::ObjectKey, Core::StoreRevision expectedVersion, Core::MonotonicTime, Core::Error&) override;
    Core::Awaitable<std::optional<Platform::ObjectChanges>> waitForChanges(std::string kind, Core::StoreRevision afterVersion, Core::MonotonicTime, Core::Error&) override;

private:
    enum class CallKind {
        Read,
        Write,
    };
    /// Reads or changes the objects. Returns false and fills the error on failure.
    using Effect = std::function<bool(Core::Error&)>;

    /// Runs the effect with the injected faults. Returns whether the effect succeeded and its response arrived.
    [[nodiscard]] Core::Awaitable<bool> callWithFaults(CallKind, Effect, Core::MonotonicTime deadline, Core::Error&);
    [[nodiscard]] Core::Duration randomDelay(Core::Duration maximum);

    Core::Runtime& m_runtime;
    Core::Random& m_random;
    std::shared_ptr<MemoryObjects> m_objects;
    Core::Runtime& m_network;
    Core::AsyncEvent m_changed;
    /// The newest era of a response.
    std::uint64_t m_era { 0 };
};

}
