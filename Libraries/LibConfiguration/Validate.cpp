#include <LibConfiguration/Validate.h>

#include <LibConfiguration/Codec.h>
#include <algorithm>
#include <map>
#include <set>

namespace Configuration {

namespace {

/// Collects the errors of one entity.
class EntityErrors {
public:
    EntityErrors(ValidationErrors& errors, std::string entity)
        : m_errors(errors)
        , m_entity(std::move(entity))
    {
    }

    void add(std::string const& field, std::string message) { m_errors.push_back({ "", m_entity + ": " + field, std::move(message) }); }

    /// Adds an error for each repeated value.
    template <typename List, typename NameOf>
    void refuseDuplicates(std::string const& field, List const& list, NameOf const& nameOf)
    {
        std::set<std::string> seen;
        for (auto const& element : list) {
            auto const name = nameOf(element);
            if (!seen.insert(name).second)
                add(field, "\"" + name + "\" occurs more than once; expected once");
        }
    }

private:
    ValidationErrors& m_errors;
    std::string m_entity;
};

auto const nameOfEntity = [](auto const& entity) { return entity.name; };

void validateService(Service const& service, ValidationErrors& allErrors)
{
    EntityErrors errors(allErrors, "services/" + service.name);
    errors.refuseDuplicates("versions", service.versions, nameOfEntity);
    errors.refuseDuplicates("adapters", service.adapters, nameOfEntity);
    errors.refuseDuplicates("operations", service.operations, nameOfEntity);
    if (service.minimumServers > service.maximumServers)
        errors.add("minimumServers", "is " + std::to_string(service.minimumServers) + "; expected 0 to maximumServers (" + std::to_string(service.maximumServers) + ")");

    if (service.kind == ServiceKind::Plain) {
        if (!service.versions.empty())
            errors.add("versions", "a plain service has none; only models do");
        if (!service.adapters.empty())
            errors.add("adapters", "a plain service has none; only models do");
        if (service.target != LatencyTarget {})
            errors.add("target", "a plain service has no token latency target; only models do");
        // The first match applies, so an operation after one with the same method and a shorter prefix is never reached.
        for (std::size_t later = 0; later < service.operations.size(); ++later) {
            auto const& operation = service.operations[later];
            auto const shadowing = std::find_if(service.operations.begin(), service.operations.begin() + static_cast<std::ptrdiff_t>(later), [&](auto const& earlier) {
                return earlier.method == operation.method && operation.pathPrefix.starts_with(earlier.pathPrefix);
            });
            if (shadowing != service.operations.begin() + static_cast<std::ptrdiff_t>(later))
                errors.add("operations", "\"" + operation.name + "\" is never reached, because \"" + shadowing->name + "\" before it matches the same calls; put the longer path prefix first");
        }
        return;
    }
    if (!service.operations.empty())
        errors.add("operations", "a model has none; only plain services do");
    if (service.versions.empty())
        errors.add("versions", "a model needs at least one version");
    else if (std::all_of(service.versions.begin(), service.versions.end(), [](auto const& version) { return version.weight == 0; }))
        errors.add("versions", "at least one version needs a weight above 0");
}

void validateTeam(Team const& team, std::set<std::string> const& services, std::map<std::string, std::string>& digestOwners, ValidationErrors& allErrors)
{
    EntityErrors errors(allErrors, "teams/" + team.name);
    if (team.keyDigests.empty())
        errors.add("keyDigests", "is empty; a team needs at least one key digest");
    if (team.services.empty())
        errors.add("services", "is empty; a team needs at least one service");
    for (auto const& digest : team.keyDigests) {
        // Only the first digits, so that the error message does not disclose the whole digest.
        auto const digestPrefix = digest.substr(0, 12) + "...";
        if (auto const [owner, isNew] = digestOwners.emplace(digest, team.name); !isNew)
            errors.add("keyDigests", digestPrefix + " is also a digest of teams/" + owner->second + "; expected one team for each key");
    }
    errors.refuseDuplicates("services", team.services, [](auto const& name) { return name; });
    for (auto const& service : team.services) {
        if (!services.contains(service))
            errors.add("services", "\"" + service + "\" is not one of the services");
    }
}

void validatePlace(Place const& place, ValidationErrors& allErrors)
{
    EntityErrors errors(allErrors, "places/" + place.dataCentre);
    errors.refuseDuplicates("machineClasses", place.machineClasses, [](auto const& machineClass) { return machineClass.name + " in zone " + machineClass.zone; });
}

/// Replaces "/teams/3/limits/share" by "teams/<name>: limits/share".
std::string describePointer(DesiredState const& state, std::string const& pointer)
{
    auto const listEnd = pointer.find('/', 1);
    if (listEnd == std::string::npos)
        return pointer;
    auto const list = pointer.substr(1, listEnd - 1);
    auto const indexEnd = std::min(pointer.find('/', listEnd + 1), pointer.size());
    auto const index = std::stoul(pointer.substr(listEnd + 1, indexEnd - listEnd - 1));
    std::string const name = list == "services" ? state.services[index].name
        : list == "teams"                       ? state.teams[index].name
                                                : state.places[index].dataCentre;
    auto const field = pointer.substr(std::min(indexEnd + 1, pointer.size()));
    return list + "/" + name + (field.empty() ? "" : ": " + field);
}

}

ValidationErrors validateReferences(DesiredState const& state)
{
    ValidationErrors errors;
    auto refuseDuplicateEntities = [&](std::string const& list, auto const& entities, auto const& nameOf) {
        std::set<std::string> seen;
        for (auto const& entity : entities) {
            if (!seen.insert(nameOf(entity)).second)
                errors.push_back({ "", list + "/" + nameOf(entity), "occurs more than once; expected once" });
        }
    };
    refuseDuplicateEntities("services", state.services, nameOfEntity);
    refuseDuplicateEntities("teams", state.teams, nameOfEntity);
    refuseDuplicateEntities("places", state.places, [](auto const& place) { return place.dataCentre; });

    std::set<std::string> services;
    for (auto const& service : state.services) {
        services.insert(service.name);
        validateService(service, errors);
    }
    std::map<std::string, std::string> digestOwners;
    for (auto const& team : state.teams)
        validateTeam(team, services, digestOwners, errors);
    for (auto const& place : state.places)
        validatePlace(place, errors);

    if (auto const size = toJsonText(state).size(); size > maximumDesiredStateBytes)
        errors.push_back({ "", "the whole desired state", "has " + std::to_string(size) + " bytes as JSON; expected 0 to " + std::to_string(maximumDesiredStateBytes) });
    return errors;
}

ValidationErrors validate(DesiredState const& state)
{
    ValidationErrors errors;
    (void)desiredStateFromJson(toJson(state), errors);
    for (auto& error : errors)
        error.field = describePointer(state, error.field);
    auto const references = validateReferences(state);
    errors.insert(errors.end(), references.begin(), references.end());
    return errors;
}

}
