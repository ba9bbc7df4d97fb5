#include <LibConfiguration/Schema.h>

#include <algorithm>

namespace Configuration {

static bool isLowerCaseOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isName(std::string_view text)
{
    if (text.empty() || !isLowerCaseOrDigit(text.front()) || !isLowerCaseOrDigit(text.back()))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) { return isLowerCaseOrDigit(c) || c == '-' || c == '.'; });
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

bool isPath(std::string_view text)
{
    if (!text.starts_with('/') || text.find("//") != std::string_view::npos || text.find("..") != std::string_view::npos)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '?' && c != '#'; });
}

bool isMethod(std::string_view text)
{
    constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
    return std::find(methods.begin(), methods.end(), text) != methods.end();
}

bool isDigest(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

}
