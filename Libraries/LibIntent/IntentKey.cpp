#include <LibIntent/IntentKey.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <cctype>
#include <cstdio>
#include <initializer_list>
#include <iterator>
#include <openssl/evp.h>
#include <xxhash.h>

namespace Intent {

// The length prefixes make ("ab", "c") and ("a", "bc") different.
static std::string joinLengthPrefixed(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (auto const part : parts) {
        joined += std::to_string(part.size());
        joined += ':';
        joined += part;
    }
    return joined;
}

static std::string truncatedSha256(std::string const& input)
{
    static constexpr std::size_t digestBytes = 16;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + digestBytes, std::back_inserter(text));
    return text;
}

std::optional<IntentKey> parseIntentKey(std::string_view text, Core::Error& error)
{
    static constexpr std::size_t uuidLength = 36;
    static constexpr std::size_t versionPosition = 14;
    static constexpr std::size_t variantPosition = 19;
    auto const invalid = [&](char const* message) { return Core::fail(error, Core::ErrorKind::IdempotencyKeyInvalid, message); };
    if (text.size() != uuidLength)
        return invalid("the key is not a UUID of 36 characters");
    IntentKey key;
    std::string timeDigits;
    for (std::size_t index = 0; index < uuidLength; ++index) {
        auto const c = static_cast<unsigned char>(text[index]);
        bool const isSeparator = index == 8 || index == 13 || index == 18 || index == 23;
        if (isSeparator ? c != '-' : !std::isxdigit(c))
            return invalid("the key is not a UUID");
        key.text += static_cast<char>(std::tolower(c));
        if (index < 13 && !isSeparator)
            timeDigits += static_cast<char>(c);
    }
    if (key.text[versionPosition] != '7' || std::string_view("89ab").find(key.text[variantPosition]) == std::string_view::npos)
        return invalid("the key is a UUID, but not of version 7");
    key.unixMilliseconds = std::stoull(timeDigits, nullptr, 16);
    return key;
}

std::uint64_t unixMilliseconds(Core::WallTime time)
{
    auto const count = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

KeyAge keyAge(IntentKey const& key, Core::WallTime now, IntentSettings const& settings)
{
    auto const current = unixMilliseconds(now);
    if (key.unixMilliseconds > current + static_cast<std::uint64_t>(settings.clockSkewBound.count()))
        return KeyAge::InFuture;
    if (key.unixMilliseconds + static_cast<std::uint64_t>(settings.retention.count()) < current)
        return KeyAge::Expired;
    return KeyAge::Valid;
}

IntentLocation locationOf(std::string_view team, std::string_view service, IntentKey const& key, IntentSettings const& settings)
{
    auto const joined = joinLengthPrefixed({ team, service, key.text });
    auto const hash = XXH3_64bits(joined.data(), joined.size());
    return { key.unixMilliseconds / static_cast<std::uint64_t>(settings.bucketDuration.count()), static_cast<std::uint32_t>(hash % settings.shardsPerBucket) };
}

std::string keyDigest(std::string_view team, std::string_view service, IntentKey const& key)
{
    return truncatedSha256(joinLengthPrefixed({ team, service, key.text }));
}

std::string requestFingerprint(std::string_view method, std::string_view path, std::string_view body)
{
    return truncatedSha256(joinLengthPrefixed({ method, path, body }));
}

std::string shardObjectName(IntentLocation location, std::size_t continuation)
{
    char buffer[64];
    int const length = std::snprintf(buffer, sizeof(buffer), "%012llu-%u", static_cast<unsigned long long>(location.bucket), location.shard);
    std::string name(buffer, static_cast<std::size_t>(length));
    if (continuation > 0)
        name += "-" + std::to_string(continuation);
    return name;
}

}
