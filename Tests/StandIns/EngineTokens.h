#pragma once

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace StandIns {

/// A token is a hash as 16 hexadecimal digits.
[[nodiscard]] inline std::string tokenFromHash(std::uint64_t hash)
{
    std::string text(16, '0');
    std::snprintf(text.data(), text.size() + 1, "%016llx", static_cast<unsigned long long>(hash));
    return text;
}

[[nodiscard]] inline std::string joinTokens(std::span<std::string const> tokens)
{
    std::string joined;
    for (auto const& token : tokens)
        joined.append(joined.empty() ? "" : " ").append(token);
    return joined;
}

/// The first token of an output. It depends on prompt, seed and attempt, as with sampling.
[[nodiscard]] inline std::string firstToken(std::span<std::string const> prompt, std::uint64_t seed, std::string_view attemptId)
{
    auto const text = joinTokens(prompt) + '\n' + std::string(attemptId);
    return tokenFromHash(XXH3_64bits_withSeed(text.data(), text.size(), seed));
}

/// The token at an index > 0. It is derived from the previous token, and so depends on all earlier tokens.
[[nodiscard]] inline std::string nextToken(std::string_view previous, std::size_t index)
{
    return tokenFromHash(XXH3_64bits_withSeed(previous.data(), previous.size(), index));
}

/// Whether the tokens are the output of one attempt from its first token on: none missing, repeated or out of order, and none
/// of another attempt.
[[nodiscard]] inline bool isConsistentOutput(std::span<std::string const> tokens)
{
    for (std::size_t index = 1; index < tokens.size(); ++index) {
        if (tokens[index] != nextToken(tokens[index - 1], index))
            return false;
    }
    return true;
}

/// The length in tokens of the output for a prompt: the number in the last prompt token of the form "length=200", else 8 to 39
/// by the hash of the prompt.
[[nodiscard]] inline std::size_t outputLength(std::span<std::string const> prompt)
{
    static constexpr std::string_view marker = "length=";
    for (auto token = prompt.rbegin(); token != prompt.rend(); ++token) {
        std::size_t length = 0;
        if (token->starts_with(marker) && std::from_chars(token->data() + marker.size(), token->data() + token->size(), length).ec == std::errc {})
            return length;
    }
    auto const text = joinTokens(prompt);
    return 8 + XXH3_64bits(text.data(), text.size()) % 32;
}

}
