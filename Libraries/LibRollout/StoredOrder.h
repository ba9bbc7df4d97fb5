#pragma once

#include <LibCore/ErrorKind.h>
#include <LibPlatform/ObjectStore.h>
#include <LibRollout/RolloutTable.h>
#include <LibRouting/ServerTable.h>
#include <optional>
#include <string>
#include <vector>

namespace Rollout {

/// The status of an order in the store. It may be that of an earlier order of the same name.
struct StoredStatus {
    OrderId id;
    State state { State::Running };
    std::int64_t startedAt { 0 };
    std::string reason;
    std::vector<std::string> rejectedVersions;

    bool operator==(StoredStatus const&) const = default;
};

/// An order as it is in the store.
struct StoredOrder {
    OrderId id;
    Core::StoreRevision revision;
    std::optional<StoredStatus> status;
    /// Why the order cannot be served; empty if it can.
    std::string fault;

    bool operator==(StoredOrder const&) const = default;
};

/// Encodings of orders and their status in the platform's store. Implementations are stateless and thread safe.
class Codec {
public:
    virtual ~Codec() = default;

    /// The object kind of the orders.
    [[nodiscard]] virtual std::string kind() const = 0;

    /// Fails with InvalidConfiguration for an order whose service or version cannot be read.
    [[nodiscard]] virtual std::optional<StoredOrder> decodeOrder(Platform::StoredObject const&, Core::Error&) const = 0;

    /// Returns the JSON text of the status. A state that is not written to the store is encoded as the one before it.
    [[nodiscard]] virtual std::string encodeStatus(Order const&) const = 0;
};

/// Returns the state of an order that was read from the store, for mergeState(). A missing status, or one of another order, means a new order,
/// unless the known order is the same one: then the store was restored from a copy without it, or the status is not written yet. A
/// version that a known order rejected stays so when a restored store brings back an earlier order. An order whose version all servers run,
/// but for those of rejected versions, is completed without an evaluation. Thread safe.
[[nodiscard]] Order adoptOrder(RolloutTable const&, StoredOrder const&, Routing::ServerTable const&, std::int64_t unixMilliseconds);

/// Whether an order takes effect. One with a fault does only if it names a version that registered after it, which then gets no request: an order
/// with a wrong name must not stop the version that serves. Thread safe.
[[nodiscard]] bool mayTakeEffect(RolloutTable const&, StoredOrder const&, std::string const& objectName);

/// Whether the status in the store lacks what is known of an order. Thread safe.
[[nodiscard]] bool needsStatusWrite(Order const& known, StoredOrder const&);

}
