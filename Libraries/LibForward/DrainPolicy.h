#pragma once

#include <LibCore/Runtime.h>

namespace Forward {

/// The schedule of a planned stop of this node.
struct DrainSchedule {
    /// Until then clients may not know that the node is stopping, and new connections still arrive.
    Core::MonotonicTime intakeEnd;
    /// Requests that are still in progress are cancelled then.
    Core::MonotonicTime end;

    bool operator==(DrainSchedule const&) const = default;
};

/// Whether to accept a request that arrives in a planned stop. After the intake period, only a request that ends before the node does, by its
/// own deadline at the latest, is accepted; another node can still serve the others. Thread safe.
[[nodiscard]] bool acceptsWhileDraining(DrainSchedule const&, Core::MonotonicTime requestDeadline, Core::MonotonicTime now);

}
