#include <Hyssopstep/Output.h>

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <ctime>
#include <vector>

namespace Hyssopstep {

namespace {

using boost::json::array;
using boost::json::value;

std::string scalarText(value const& scalar)
{
    if (scalar.is_null())
        return "-";
    if (!scalar.is_string())
        return boost::json::serialize(scalar);
    std::string text(std::string_view(scalar.get_string()));
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

bool isScalar(value const& candidate)
{
    return !candidate.is_object() && !candidate.is_array();
}

/// Whether the list consists of objects with scalar fields only.
bool isTable(array const& list)
{
    return !list.empty() && std::all_of(list.begin(), list.end(), [](auto const& element) {
        return element.is_object() && std::all_of(element.get_object().begin(), element.get_object().end(), [](auto const& field) { return isScalar(field.value()); });
    });
}

void renderTable(array const& list, std::string const& indentation, std::string& text)
{
    std::vector<std::string> columns;
    for (auto const& row : list) {
        for (auto const& field : row.get_object()) {
            if (std::find(columns.begin(), columns.end(), std::string_view(field.key())) == columns.end())
                columns.emplace_back(field.key());
        }
    }
    std::vector<std::vector<std::string>> cells { columns };
    for (auto const& row : list) {
        cells.emplace_back();
        for (auto const& column : columns) {
            auto const* cell = row.get_object().if_contains(column);
            cells.back().push_back(cell ? scalarText(*cell) : "-");
        }
    }
    for (auto const& row : cells) {
        std::string line = indentation;
        for (std::size_t column = 0; column < columns.size(); ++column) {
            std::size_t width = 0;
            for (auto const& other : cells)
                width = std::max(width, other[column].size());
            line += row[column] + std::string(column + 1 < columns.size() ? width - row[column].size() + 2 : 0, ' ');
        }
        text += line + "\n";
    }
}

void render(value const& json, std::string const& indentation, std::string& text)
{
    if (json.is_object()) {
        for (auto const& field : json.get_object()) {
            text += indentation + std::string(field.key()) + ":";
            if (isScalar(field.value())) {
                text += " " + scalarText(field.value()) + "\n";
                continue;
            }
            bool const isEmpty = field.value().is_array() ? field.value().get_array().empty() : field.value().get_object().empty();
            text += isEmpty ? " none\n" : "\n";
            render(field.value(), indentation + "  ", text);
        }
        return;
    }
    if (!json.is_array()) {
        text += indentation + scalarText(json) + "\n";
        return;
    }
    if (isTable(json.get_array())) {
        renderTable(json.get_array(), indentation, text);
        return;
    }
    for (auto const& element : json.get_array()) {
        if (isScalar(element)) {
            text += indentation + "- " + scalarText(element) + "\n";
            continue;
        }
        auto const start = text.size();
        render(element, indentation + "  ", text);
        if (text.size() > start)
            text[start + indentation.size()] = '-';
    }
}

}

std::string renderText(value const& json)
{
    std::string text;
    render(json, "", text);
    return text;
}

std::string formatTime(std::int64_t milliseconds)
{
    std::time_t const seconds = milliseconds / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return text.data();
}

}
