#include <LibMembership/ConfigurationHolder.h>

#include <boost/json.hpp>

namespace Membership {

bool ConfigurationHolder::applyIfNewer(std::uint64_t generation, std::string json)
{
    if (generation <= m_generation)
        return false;
    m_generation = generation;
    m_json = std::move(json);
    for (auto const& listener : m_listeners)
        listener();
    return true;
}

bool ConfigurationHolder::applyJsonIfNewer(std::string json)
{
    boost::system::error_code errorCode;
    auto const value = boost::json::parse(json, errorCode);
    if (errorCode || !value.is_object())
        return false;
    auto const* const member = value.as_object().if_contains("generation");
    if (!member)
        return false;
    auto const generation = member->to_number<std::uint64_t>(errorCode);
    return !errorCode && applyIfNewer(generation, std::move(json));
}

void ConfigurationHolder::onChange(std::function<void()> listener)
{
    m_listeners.push_back(std::move(listener));
}

}
