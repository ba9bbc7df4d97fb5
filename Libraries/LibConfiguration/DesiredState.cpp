#include <LibConfiguration/DesiredState.h>

#include <algorithm>
#include <array>
#include <openssl/sha.h>

namespace Configuration {

template <typename T>
static T const* findByName(std::vector<T> const& entities, std::string_view name)
{
    auto const found = std::find_if(entities.begin(), entities.end(), [&](auto const& entity) { return entity.name == name; });
    return found == entities.end() ? nullptr : &*found;
}

Service const* findService(DesiredState const& state, std::string_view name)
{
    return findByName(state.services, name);
}

Team const* findTeam(DesiredState const& state, std::string_view name)
{
    return findByName(state.teams, name);
}

std::string keyDigest(std::string_view bearerKey)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<unsigned char const*>(bearerKey.data()), bearerKey.size(), digest.data());
    std::string hexadecimal;
    for (unsigned char const byte : digest) {
        hexadecimal += digits[byte >> 4];
        hexadecimal += digits[byte & 0xf];
    }
    return hexadecimal;
}

Team const* findTeamByKey(DesiredState const& state, std::string_view bearerKey)
{
    auto const digest = keyDigest(bearerKey);
    auto const found = std::find_if(state.teams.begin(), state.teams.end(), [&](auto const& team) {
        return std::find(team.keyDigests.begin(), team.keyDigests.end(), digest) != team.keyDigests.end();
    });
    return found == state.teams.end() ? nullptr : &*found;
}

Operation const* findOperation(Service const& service, std::string_view method, std::string_view path)
{
    auto const found = std::find_if(service.operations.begin(), service.operations.end(), [&](auto const& operation) {
        return operation.method == method && path.starts_with(operation.pathPrefix);
    });
    return found == service.operations.end() ? nullptr : &*found;
}

}
