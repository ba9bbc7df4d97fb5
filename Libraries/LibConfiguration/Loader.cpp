#include <LibConfiguration/Loader.h>

#include <LibConfiguration/Codec.h>
#include <LibConfiguration/Decoder.h>
#include <LibConfiguration/Validate.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <yaml-cpp/yaml.h>

namespace Configuration {

namespace {

// Aliases can repeat or contain themselves, so the depth and size of the converted document are limited.
constexpr std::size_t maximumDepth = 16;
constexpr std::size_t maximumNodes = 200000;

/// Converts YAML to JSON and records the location of each value.
class YamlConverter {
public:
    YamlConverter(std::string file, ValidationErrors& errors)
        : m_file(std::move(file))
        , m_errors(errors)
    {
    }

    boost::json::value convert(YAML::Node const& node, std::string const& pointer, std::size_t depth = 0)
    {
        m_locations.emplace(pointer, formatLocation(node.Mark()));
        if (depth > maximumDepth || ++m_nodes > maximumNodes) {
            if (!m_isTooLarge)
                m_errors.push_back({ formatLocation(node.Mark()), pointer, "too deep or too large; expected 0 to " + std::to_string(maximumDepth) + " levels and 0 to " + std::to_string(maximumNodes) + " values" });
            m_isTooLarge = true;
            return nullptr;
        }
        if (m_isTooLarge)
            return nullptr;
        switch (node.Type()) {
        case YAML::NodeType::Scalar:
            return convertScalar(node);
        case YAML::NodeType::Sequence:
            return convertSequence(node, pointer, depth);
        case YAML::NodeType::Map:
            return convertMap(node, pointer, depth);
        case YAML::NodeType::Null:
        case YAML::NodeType::Undefined:
            break;
        }
        return nullptr;
    }

    /// Whether the document exceeded a limit and was converted only in part.
    [[nodiscard]] bool isTooLarge() const { return m_isTooLarge; }

    /// "file:line:column" of the value at a JSON pointer, or of the nearest enclosing value.
    [[nodiscard]] std::string locationOf(std::string pointer) const
    {
        for (;;) {
            if (auto const found = m_locations.find(pointer); found != m_locations.end())
                return found->second;
            if (pointer.empty())
                return m_file;
            pointer.resize(pointer.rfind('/'));
        }
    }

private:
    [[nodiscard]] std::string formatLocation(YAML::Mark const& mark) const
    {
        if (mark.is_null())
            return m_file;
        return m_file + ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1);
    }

    static boost::json::value convertScalar(YAML::Node const& node)
    {
        auto const& text = node.Scalar();
        // Quoted scalars have the tag "!".
        if (node.Tag() == "!")
            return boost::json::value(text);
        std::int64_t number = 0;
        auto const* end = text.data() + text.size();
        if (auto const [position, errorCode] = std::from_chars(text.data(), end, number); errorCode == std::errc() && position == end)
            return number;
        if (text == "true" || text == "false")
            return text == "true";
        return boost::json::value(text);
    }

    boost::json::value convertSequence(YAML::Node const& node, std::string const& pointer, std::size_t depth)
    {
        boost::json::array array;
        for (auto const& element : node) {
            auto const elementPointer = pointer + "/" + std::to_string(array.size());
            array.push_back(convert(element, elementPointer, depth + 1));
        }
        return array;
    }

    boost::json::value convertMap(YAML::Node const& node, std::string const& pointer, std::size_t depth)
    {
        boost::json::object object;
        for (auto const& field : node) {
            if (!field.first.IsScalar()) {
                m_errors.push_back({ formatLocation(field.first.Mark()), pointer, "a field name is not text; expected text" });
                continue;
            }
            auto const& name = field.first.Scalar();
            auto const fieldPointer = pointer + "/" + escapePointerToken(truncateText(name, 100));
            // An empty value has no location of its own; an error in a map or list as a whole is reported at its name.
            if (field.second.IsNull() || field.second.IsMap() || field.second.IsSequence())
                m_locations.emplace(fieldPointer, formatLocation(field.first.Mark()));
            if (object.contains(name)) {
                m_errors.push_back({ formatLocation(field.first.Mark()), fieldPointer, "occurs more than once; expected once" });
                continue;
            }
            object[name] = convert(field.second, fieldPointer, depth + 1);
        }
        return object;
    }

    std::string m_file;
    ValidationErrors& m_errors;
    std::map<std::string, std::string> m_locations;
    std::size_t m_nodes { 0 };
    bool m_isTooLarge { false };
};

/// The merged state of all files, with the location of each entity.
struct LoadedFiles {
    DesiredState state;
    /// By entity, such as "teams/classroom"; more than one if several entities have the same name.
    std::map<std::string, std::vector<std::string>> locations;
    /// Entities with invalid fields, whose references are not checked.
    std::vector<std::string> invalidEntities;
    /// Whether entities that others refer to may be missing because of errors.
    bool isIncomplete { false };
};

std::optional<std::string> readFile(std::filesystem::path const& path, ValidationErrors& errors)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text;
    text.resize(maximumFileBytes + 1);
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad() || (!stream.eof() && text.size() <= maximumFileBytes)) {
        errors.push_back({ path.filename().string(), "the file", "cannot be read" });
        return std::nullopt;
    }
    if (text.size() > maximumFileBytes) {
        errors.push_back({ path.filename().string(), "the file", "is too long; expected 0 to " + std::to_string(maximumFileBytes) + " bytes" });
        return std::nullopt;
    }
    return text;
}

template <typename Entity, typename NameOf>
void addEntities(std::string const& list, std::vector<Entity> const& entities, NameOf const& nameOf, YamlConverter const& converter, ValidationErrors const& errors, std::vector<Entity>& target, LoadedFiles& loaded)
{
    for (std::size_t index = 0; index < entities.size(); ++index) {
        auto const pointer = "/" + list + "/" + std::to_string(index);
        auto const entity = list + "/" + nameOf(entities[index]);
        loaded.locations[entity].push_back(converter.locationOf(pointer));
        if (std::any_of(errors.begin(), errors.end(), [&](auto const& error) { return error.field == pointer || error.field.starts_with(pointer + "/"); }))
            loaded.invalidEntities.push_back(entity);
        if (nameOf(entities[index]).empty()) {
            loaded.isIncomplete = true;
            continue;
        }
        target.push_back(entities[index]);
    }
}

void loadFile(std::filesystem::path const& path, LoadedFiles& loaded, ValidationErrors& allErrors)
{
    auto const file = path.filename().string();
    auto const text = readFile(path, allErrors);
    if (!text) {
        loaded.isIncomplete = true;
        return;
    }
    ValidationErrors errors;
    YamlConverter converter(file, errors);
    DesiredState state;
    try {
        auto const documents = YAML::LoadAll(*text);
        if (documents.size() > 1)
            errors.push_back({ file, "the file", "has " + std::to_string(documents.size()) + " documents; expected one" });
        if (!documents.empty() && !documents.front().IsNull()) {
            auto const value = converter.convert(documents.front(), "");
            if (converter.isTooLarge())
                loaded.isIncomplete = true;
            else
                Decoder(errors).decode(value, "", state);
        }
    } catch (YAML::Exception const& exception) {
        auto const location = exception.mark.is_null() ? file : file + ":" + std::to_string(exception.mark.line + 1) + ":" + std::to_string(exception.mark.column + 1);
        errors.push_back({ location, "the file", "is not valid YAML: " + exception.msg });
        loaded.isIncomplete = true;
    }
    for (auto& error : errors) {
        if (error.location.empty())
            error.location = converter.locationOf(error.field);
        // An error in a whole list hides its entities.
        if (std::count(error.field.begin(), error.field.end(), '/') < 2)
            loaded.isIncomplete = true;
    }
    auto const nameOf = [](auto const& entity) { return entity.name; };
    addEntities("services", state.services, nameOf, converter, errors, loaded.state.services, loaded);
    addEntities("teams", state.teams, nameOf, converter, errors, loaded.state.teams, loaded);
    addEntities(
        "places", state.places, [](auto const& place) { return place.dataCentre; }, converter, errors, loaded.state.places, loaded);
    allErrors.insert(allErrors.end(), errors.begin(), errors.end());
}

/// Adds the errors of validateReferences(), except those that only follow from errors already found.
void addReferenceErrors(LoadedFiles const& loaded, ValidationErrors& errors)
{
    if (loaded.isIncomplete)
        return;
    for (auto& error : validateReferences(loaded.state)) {
        auto const entity = error.field.substr(0, error.field.find(':'));
        if (std::find(loaded.invalidEntities.begin(), loaded.invalidEntities.end(), entity) != loaded.invalidEntities.end())
            continue;
        if (auto const locations = loaded.locations.find(entity); locations != loaded.locations.end())
            error.location = locations->second.back();
        errors.push_back(std::move(error));
    }
}

}

std::optional<DesiredState> loadDirectory(std::filesystem::path const& directory, ValidationErrors& errors)
{
    auto const errorsBefore = errors.size();
    std::error_code errorCode;
    std::vector<std::filesystem::path> files;
    for (std::filesystem::directory_iterator entry(directory, errorCode), end; !errorCode && entry != end; entry.increment(errorCode)) {
        if (entry->path().extension() == ".yaml")
            files.push_back(entry->path());
    }
    if (errorCode) {
        errors.push_back({ directory.string(), "the directory", "cannot be read: " + errorCode.message() });
        return std::nullopt;
    }
    // An empty directory is more likely a wrong path than a request to remove everything.
    if (files.empty()) {
        errors.push_back({ directory.string(), "the directory", "has no files named *.yaml; expected at least one" });
        return std::nullopt;
    }
    std::sort(files.begin(), files.end());

    LoadedFiles loaded;
    for (auto const& file : files)
        loadFile(file, loaded, errors);
    addReferenceErrors(loaded, errors);
    if (errors.size() > errorsBefore)
        return std::nullopt;
    sortByName(loaded.state);
    return std::move(loaded.state);
}

}
