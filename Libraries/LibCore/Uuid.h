#pragma once

#include <LibCore/ErrorKind.h>
#include <LibCore/Random.h>
#include <LibCore/Runtime.h>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

/// A universally unique identifier (RFC 9562).
struct Uuid {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(Uuid const&) const = default;

    /// The lower-case form, for example "01890a5d-ac96-774b-bcce-b302099a8057".
    [[nodiscard]] std::string toString() const;

    [[nodiscard]] unsigned version() const { return bytes[6] >> 4; }
};

/// Generates a UUID of version 7 (RFC 9562, section 5.7) from a wall time, in milliseconds, and 74 random bits.
/// Precondition: the time is not before the Unix epoch.
[[nodiscard]] Uuid generateUuidV7(Random&, WallTime);

/// Parses the form with four hyphens; hexadecimal digits of either case. Anything else is IdempotencyKeyInvalid. Thread safe.
[[nodiscard]] std::optional<Uuid> parseUuid(std::string_view, Error&);

/// The time embedded in a UUID of version 7, in whole milliseconds; nothing for other versions or another variant than that
/// of RFC 9562. Thread safe.
[[nodiscard]] std::optional<WallTime> uuidTime(Uuid const&);

}
