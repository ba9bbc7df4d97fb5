#include <LibMembership/ConfigurationHolder.h>

#include <boost/json.hpp>

namespace Membership {

bool ConfigurationHolder::offer(std::uint64_t generation, std::string json)
{
    if (generation <= m_generation)
        return false;
    m_generation = generation;
    m_json = std::move(json);
    for (auto const& listener : m_listeners)
        listener();
    return true;
}

bool ConfigurationHolder::offerJson(std::string json)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(json, error);
    if (error || !value.is_object())
        return false;
    auto const* const member = value.as_object().if_contains("generation");
    if (!member)
        return false;
    auto const generation = member->to_number<std::uint64_t>(error);
    return !error && offer(generation, std::move(json));
}

void ConfigurationHolder::onChange(std::function<void()> listener)
{
    m_listeners.push_back(std::move(listener));
}

}
