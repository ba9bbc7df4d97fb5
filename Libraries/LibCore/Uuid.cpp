#include <LibCore/Uuid.h>

#include <charconv>

namespace Core {

static constexpr std::size_t timeBytes = 6;
static constexpr std::size_t textLength = 36;

static bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::string Uuid::toString() const
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(textLength);
    for (auto const byte : bytes) {
        if (isHyphenPosition(text.size()))
            text += '-';
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

Uuid generateUuidV7(Random& random, WallTime time)
{
    auto const milliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    Uuid uuid;
    for (std::size_t index = 0; index < timeBytes; ++index)
        uuid.bytes[index] = static_cast<std::uint8_t>(milliseconds >> (8 * (timeBytes - 1 - index)));
    auto const bits = random.bits();
    uuid.bytes[6] = static_cast<std::uint8_t>(0x70 | (bits & 0x0f));
    uuid.bytes[7] = static_cast<std::uint8_t>(bits >> 8);
    auto const tail = random.bits();
    for (std::size_t index = 0; index < 8; ++index)
        uuid.bytes[8 + index] = static_cast<std::uint8_t>(tail >> (8 * index));
    uuid.bytes[8] = static_cast<std::uint8_t>(0x80 | (uuid.bytes[8] & 0x3f));
    return uuid;
}

std::optional<Uuid> parseUuid(std::string_view text, Error& error)
{
    auto const refuse = [&] { return fail(error, ErrorKind::IdempotencyKeyInvalid, "not a UUID of the form 01890a5d-ac96-774b-bcce-b302099a8057"); };
    if (text.size() != textLength)
        return refuse();
    Uuid uuid;
    std::size_t position = 0;
    for (auto& byte : uuid.bytes) {
        if (isHyphenPosition(position) && text[position++] != '-')
            return refuse();
        auto const* end = text.data() + position + 2;
        // from_chars() refuses a sign for unsigned types, so both characters are digits if it reads to the end.
        auto const [parsed, errorCode] = std::from_chars(text.data() + position, end, byte, 16);
        if (errorCode != std::errc {} || parsed != end)
            return refuse();
        position += 2;
    }
    return uuid;
}

std::optional<WallTime> uuidTime(Uuid const& uuid)
{
    static constexpr unsigned timeVersion = 7;
    if (uuid.version() != timeVersion || (uuid.bytes[8] & 0xc0) != 0x80)
        return std::nullopt;
    std::uint64_t milliseconds = 0;
    for (std::size_t index = 0; index < timeBytes; ++index)
        milliseconds = milliseconds << 8 | uuid.bytes[index];
    return WallTime(std::chrono::milliseconds(milliseconds));
}

}
