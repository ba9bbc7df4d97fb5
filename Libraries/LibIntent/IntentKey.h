#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Runtime.h>
#include <LibIntent/IntentSettings.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Intent {

/// An idempotency key: a UUIDv7 (RFC 9562, section 5.7).
struct IntentKey {
    /// The UUID in lower case.
    std::string text;
    /// The time embedded in the UUID, in milliseconds since the Unix epoch.
    std::uint64_t unixMilliseconds { 0 };

    auto operator<=>(IntentKey const&) const = default;
};

enum class KeyAge {
    Valid,
    Expired,
    /// Later than now by more than the clock skew bound.
    InFuture,
};

/// The bucket and shard that store the record of a key.
struct IntentLocation {
    std::uint64_t bucket { 0 };
    std::uint32_t shard { 0 };

    auto operator<=>(IntentLocation const&) const = default;
};

/// Parses a UUIDv7. Fails with IdempotencyKeyInvalid (NotRun) for anything else. Thread safe.
[[nodiscard]] std::optional<IntentKey> parseIntentKey(std::string_view text, Core::Error&);

/// Thread safe.
[[nodiscard]] KeyAge keyAge(IntentKey const&, Core::WallTime now, IntentSettings const&);

/// Derives the bucket from the key's time and the shard from XXH3 of team, service and key. Thread safe.
[[nodiscard]] IntentLocation locationOf(std::string_view team, std::string_view service, IntentKey const&, IntentSettings const&);

/// Returns the first 128 bits of SHA-256 of team, service and key in hexadecimal. The digest is cryptographic because a
/// collision would return one team's answer to another. Thread safe.
[[nodiscard]] std::string keyDigest(std::string_view team, std::string_view service, IntentKey const&);

/// Returns the first 128 bits of SHA-256 of method, path and body in hexadecimal. Thread safe.
[[nodiscard]] std::string requestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// Returns the name of an object of kind `intents`: <bucket>-<shard>, or <bucket>-<shard>-<continuation> if the continuation
/// is at least 1. Thread safe.
[[nodiscard]] std::string shardObjectName(IntentLocation, std::size_t continuation);

/// Returns the milliseconds since the Unix epoch, or 0 for earlier times. Thread safe.
[[nodiscard]] std::uint64_t unixMilliseconds(Core::WallTime);

}
