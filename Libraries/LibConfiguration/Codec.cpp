#include <LibConfiguration/Codec.h>

#include <LibConfiguration/Decoder.h>
#include <LibConfiguration/Schema.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <tuple>

namespace Configuration {

namespace {

/// Encodes entities as JSON by the schema.
class Encoder {
public:
    template <typename Entity>
    [[nodiscard]] static boost::json::value encode(Entity const& entity)
    {
        Encoder encoder;
        describeFields(encoder, entity);
        return std::move(encoder.m_object);
    }

    void text(std::string_view name, std::string const& value, TextRule const&, Presence) { m_object[name] = value; }

    template <typename Number>
    void number(std::string_view name, Number value, NumberRange const&, Presence) { m_object[name] = value; }

    template <typename Enumeration, typename Choices>
    void choice(std::string_view name, Enumeration value, Choices const& choices, Presence)
    {
        for (auto const& [choiceName, choice] : choices) {
            if (choice == value)
                m_object[name] = choiceName;
        }
    }

    void texts(std::string_view name, std::vector<std::string> const& values, TextRule const&, ListLimit, Presence)
    {
        m_object[name] = boost::json::array(values.begin(), values.end());
    }

    template <typename Entity>
    void entities(std::string_view name, std::vector<Entity> const& values, ListLimit, Presence)
    {
        boost::json::array array;
        for (auto const& value : values)
            array.push_back(encode(value));
        m_object[name] = std::move(array);
    }

    template <typename Entity>
    void entity(std::string_view name, Entity const& value, Presence) { m_object[name] = encode(value); }

private:
    boost::json::object m_object;
};

template <typename Entity>
std::optional<Entity> decodeEntity(boost::json::value const& value, ValidationErrors& errors)
{
    Entity entity;
    ValidationErrors found;
    Decoder(found).decode(value, "", entity);
    if (found.empty())
        return entity;
    errors.insert(errors.end(), found.begin(), found.end());
    return std::nullopt;
}

template <typename Entity, typename Decode>
std::optional<Entity> decodeText(std::string_view text, Decode const& decode, Core::Error& error)
{
    boost::json::error_code errorCode;
    auto const value = boost::json::parse(text, errorCode);
    if (errorCode)
        return Core::fail(error, Core::ErrorKind::InvalidConfiguration, "not valid JSON: " + errorCode.message());
    ValidationErrors errors;
    auto entity = decode(value, errors);
    if (!entity)
        return Core::fail(error, Core::ErrorKind::InvalidConfiguration, joinErrors(errors));
    return entity;
}

template <typename Entity>
void sortList(std::vector<Entity>& entities)
{
    std::stable_sort(entities.begin(), entities.end(), [](auto const& a, auto const& b) { return a.name < b.name; });
}

}

boost::json::value toJson(DesiredState const& state) { return Encoder::encode(state); }
boost::json::value toJson(AppliedState const& state) { return Encoder::encode(state); }
boost::json::value toJson(AuditEntry const& entry) { return Encoder::encode(entry); }
boost::json::value toJson(ApplyRequest const& request) { return Encoder::encode(request); }

std::string toJsonText(DesiredState const& state) { return boost::json::serialize(toJson(state)); }
std::string toJsonText(AppliedState const& state) { return boost::json::serialize(toJson(state)); }

std::optional<DesiredState> desiredStateFromJson(boost::json::value const& value, ValidationErrors& errors)
{
    auto state = decodeEntity<DesiredState>(value, errors);
    if (state)
        sortByName(*state);
    return state;
}

std::optional<AppliedState> appliedStateFromJson(boost::json::value const& value, ValidationErrors& errors)
{
    auto state = decodeEntity<AppliedState>(value, errors);
    if (state)
        sortByName(state->desired);
    return state;
}

std::optional<AuditEntry> auditEntryFromJson(boost::json::value const& value, ValidationErrors& errors)
{
    return decodeEntity<AuditEntry>(value, errors);
}

std::optional<ApplyRequest> applyRequestFromJson(boost::json::value const& value, ValidationErrors& errors)
{
    auto request = decodeEntity<ApplyRequest>(value, errors);
    if (request)
        sortByName(request->desired);
    return request;
}

std::optional<DesiredState> desiredStateFromJsonText(std::string_view text, Core::Error& error)
{
    return decodeText<DesiredState>(text, desiredStateFromJson, error);
}

std::optional<AppliedState> appliedStateFromJsonText(std::string_view text, Core::Error& error)
{
    return decodeText<AppliedState>(text, appliedStateFromJson, error);
}

void sortByName(DesiredState& state)
{
    sortList(state.services);
    for (auto& service : state.services) {
        sortList(service.versions);
        sortList(service.adapters);
    }
    sortList(state.teams);
    for (auto& team : state.teams) {
        std::sort(team.keyDigests.begin(), team.keyDigests.end());
        std::sort(team.services.begin(), team.services.end());
    }
    std::stable_sort(state.places.begin(), state.places.end(), [](auto const& a, auto const& b) { return a.dataCentre < b.dataCentre; });
    for (auto& place : state.places) {
        std::stable_sort(place.machineClasses.begin(), place.machineClasses.end(), [](auto const& a, auto const& b) {
            return std::tie(a.name, a.zone) < std::tie(b.name, b.zone);
        });
    }
}

}
