#include <LibConfiguration/Diff.h>

#include <LibConfiguration/Codec.h>
#include <boost/json/serialize.hpp>
#include <map>

namespace Configuration {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

std::string concatenate(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (auto const part : parts)
        text += part;
    return text;
}

std::string stringField(object const& fields, std::string_view name)
{
    auto const* found = fields.if_contains(name);
    return found && found->is_string() ? std::string(std::string_view(found->get_string())) : std::string();
}

/// The key that identifies an element of a list: its name, with the zone for a machine class, or the value itself.
std::string elementKey(value const& element)
{
    if (!element.is_object())
        return boost::json::serialize(element);
    auto const& fields = element.get_object();
    if (fields.contains("dataCentre"))
        return stringField(fields, "dataCentre");
    auto const zone = stringField(fields, "zone");
    return stringField(fields, "name") + (zone.empty() ? "" : " in " + zone);
}

void diffValues(std::string const& entity, std::string const& path, value const& before, value const& after, std::vector<std::string>& lines);

std::string linePrefix(std::string const& entity, std::string const& path)
{
    return entity + ": " + (path.empty() ? "" : path + ": ");
}

void diffLists(std::string const& entity, std::string const& path, array const& before, array const& after, std::vector<std::string>& lines)
{
    std::map<std::string, value const*> elementsBefore;
    std::map<std::string, value const*> elementsAfter;
    for (auto const& element : before)
        elementsBefore.emplace(elementKey(element), &element);
    for (auto const& element : after)
        elementsAfter.emplace(elementKey(element), &element);
    for (auto const& [key, element] : elementsBefore) {
        if (!elementsAfter.contains(key))
            lines.push_back(linePrefix(entity, concatenate({ path, "[", key, "]" })) + "removed");
    }
    for (auto const& [key, element] : elementsAfter) {
        auto const elementPath = concatenate({ path, "[", key, "]" });
        if (auto const found = elementsBefore.find(key); found != elementsBefore.end())
            diffValues(entity, elementPath, *found->second, *element, lines);
        else
            lines.push_back(linePrefix(entity, elementPath) + "added");
    }
    // The first operation that matches applies, so their order is part of the state.
    if (path != "operations")
        return;
    auto const commonOrder = [](array const& list, std::map<std::string, value const*> const& others) {
        std::string order;
        for (auto const& element : list) {
            if (auto const key = elementKey(element); others.contains(key))
                order += (order.empty() ? "" : ", ") + key;
        }
        return order;
    };
    auto const orderBefore = commonOrder(before, elementsAfter);
    auto const orderAfter = commonOrder(after, elementsBefore);
    if (orderBefore != orderAfter)
        lines.push_back(linePrefix(entity, path) + "order: " + orderBefore + " -> " + orderAfter);
}

void diffValues(std::string const& entity, std::string const& path, value const& before, value const& after, std::vector<std::string>& lines)
{
    if (before.is_object() && after.is_object()) {
        for (auto const& field : after.get_object()) {
            std::string const name = field.key();
            if (auto const* found = before.get_object().if_contains(name))
                diffValues(entity, path.empty() ? name : concatenate({ path, ".", name }), *found, field.value(), lines);
        }
        return;
    }
    if (before.is_array() && after.is_array()) {
        diffLists(entity, path, before.get_array(), after.get_array(), lines);
        return;
    }
    if (before != after)
        lines.push_back(linePrefix(entity, path) + boost::json::serialize(before) + " -> " + boost::json::serialize(after));
}

}

std::vector<std::string> diff(DesiredState const& before, DesiredState const& after)
{
    std::vector<std::string> lines;
    auto const jsonBefore = toJson(before);
    auto const jsonAfter = toJson(after);
    for (std::string const list : { "services", "teams", "places" }) {
        std::map<std::string, std::pair<value const*, value const*>> entities;
        for (auto const& entity : jsonBefore.at(list).get_array())
            entities[elementKey(entity)].first = &entity;
        for (auto const& entity : jsonAfter.at(list).get_array())
            entities[elementKey(entity)].second = &entity;
        for (auto const& [name, pair] : entities) {
            auto const entity = concatenate({ list, "/", name });
            if (!pair.first)
                lines.push_back(entity + ": added");
            else if (!pair.second)
                lines.push_back(entity + ": removed");
            else
                diffValues(entity, "", *pair.first, *pair.second, lines);
        }
    }
    return lines;
}

}
