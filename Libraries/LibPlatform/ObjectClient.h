#pragma once

#include <LibCore/Endpoint.h>
#include <LibHTTP/Client.h>
#include <LibPlatform/ObjectStore.h>

namespace Platform {

/// The object API over HTTP, as in docs/protocols.md. A write is never sent twice and uses a new connection. Used on the
/// runtime's thread only.
class ObjectClient final : public ObjectStore {
public:
    /// The runtime and the client must outlive it and its pending calls.
    ObjectClient(Core::Runtime&, HTTP::Client&, Core::Endpoint platform);

    [[nodiscard]] Core::Awaitable<std::optional<StoredObject>> read(ObjectKey, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<ObjectList>> list(std::string kind, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<Core::StoreRevision>> create(ObjectKey, std::string value, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<Core::StoreRevision>> update(ObjectKey, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(ObjectKey, std::string status, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) override;
    [[nodiscard]] Core::Awaitable<bool> remove(ObjectKey, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) override;

    /// A watch that the platform is asked to end shortly before the deadline. If its end does not arrive in time, the call fails
    /// with StoreUnavailable, so that an unreachable platform is not mistaken for one without changes.
    [[nodiscard]] Core::Awaitable<std::optional<ObjectChanges>> waitForChanges(std::string kind, Core::StoreRevision afterVersion, Core::MonotonicTime deadline, Core::Error&) override;

private:
    [[nodiscard]] Core::Awaitable<std::optional<Core::StoreRevision>> write(HTTP::Request, Core::MonotonicTime deadline, Core::Error&);

    Core::Runtime& m_runtime;
    HTTP::Client& m_client;
    Core::Endpoint m_platform;
};

}
