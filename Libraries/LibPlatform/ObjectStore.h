#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibCore/StoreRevision.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// The largest value the object API accepts, in bytes.
inline constexpr std::size_t maximumValueBytes = 1024 * 1024;

/// Identifies an object: a kind in lower-case plural, such as "intents", and a name of [a-z0-9.-], at most 253 characters.
struct ObjectKey {
    std::string kind;
    std::string name;

    auto operator<=>(ObjectKey const&) const = default;
};

/// One version of an object. The value and the status are JSON texts.
struct StoredObject {
    ObjectKey key;
    /// Increases with each change of any object; the same version of a key always has the same value.
    Core::StoreRevision resourceVersion;
    std::string value;
    /// What the object's controller wrote about it with ObjectStore::updateStatus(); empty if there is none.
    std::string status {};

    bool operator==(StoredObject const&) const = default;
};

struct ObjectList {
    std::vector<StoredObject> objects;
    /// The version of the store at the time of the list; a watch continues from it.
    Core::StoreRevision resourceVersion;

    bool operator==(ObjectList const&) const = default;
};

enum class ObjectEventKind {
    Put,
    Removed,
};

struct ObjectEvent {
    ObjectEventKind kind { ObjectEventKind::Put };
    StoredObject object;

    bool operator==(ObjectEvent const&) const = default;
};

/// The changes of a kind, in the order in which they took effect.
struct ObjectChanges {
    std::vector<ObjectEvent> events;
    /// The version from which the next wait continues.
    Core::StoreRevision resourceVersion;

    bool operator==(ObjectChanges const&) const = default;
};

/// The platform's object API. State that must be durable or agreed on between nodes is changed by conditional updates.
/// Implementations: ObjectClient (over HTTP), and in-memory fakes in tests. Called on the runtime's thread only.
///
/// Failures common to all calls: StoreUnavailable (outage, rate limit, deadline). For a write the run state says whether the
/// write may have taken effect: NotRun if not, Unknown if it may have; the caller then reads the object back.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// The newest era in a response so far. Other responses of an earlier era than that fail with StoreUnavailable.
    [[nodiscard]] virtual std::uint64_t era() const { return 0; }

    /// Reads one object. NotFound if it does not exist.
    [[nodiscard]] virtual Core::Awaitable<std::optional<StoredObject>> read(ObjectKey, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Lists the objects of a kind, in the order of their names.
    [[nodiscard]] virtual Core::Awaitable<std::optional<ObjectList>> list(std::string kind, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Creates an object and returns its version. StoreConflict if it exists, StoreValueTooLarge if the value is over
    /// maximumValueBytes.
    [[nodiscard]] virtual Core::Awaitable<std::optional<Core::StoreRevision>> create(ObjectKey, std::string value, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Replaces an object if its version is still the expected one, and returns the new version. StoreConflict if it changed
    /// or no longer exists, or, with the run state Ran, if the store was restored meanwhile and the number of the expected version
    /// belongs to another change now; StoreValueTooLarge if the value is over maximumValueBytes.
    [[nodiscard]] virtual Core::Awaitable<std::optional<Core::StoreRevision>> update(ObjectKey, std::string value, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Replaces the status of an object if its version is still the expected one, and returns the new version. The value stays. Fails as update().
    [[nodiscard]] virtual Core::Awaitable<std::optional<Core::StoreRevision>> updateStatus(ObjectKey, std::string status, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Removes an object if its version is still the expected one. StoreConflict if it changed, NotFound if it does not exist.
    [[nodiscard]] virtual Core::Awaitable<bool> remove(ObjectKey, Core::StoreRevision expectedVersion, Core::MonotonicTime deadline, Core::Error&) = 0;

    /// Waits for changes of a kind after a version and returns them; none if the deadline passes first.
    /// StoreVersionExpired if the version is too old to continue from or of an earlier era; the caller then lists again.
    [[nodiscard]] virtual Core::Awaitable<std::optional<ObjectChanges>> waitForChanges(std::string kind, Core::StoreRevision afterVersion, Core::MonotonicTime deadline, Core::Error&) = 0;
};

}
