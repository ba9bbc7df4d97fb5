#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace HTTP {

/// Header fields in the order received or to be sent. Names are case-insensitive (RFC 9110, section 5.1).
class Headers {
public:
    Headers() = default;
    Headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    /// The value of the first field with the name. The view is valid until the headers change.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;

    /// Replaces all fields with the name by one.
    void set(std::string_view name, std::string value);

    void add(std::string_view name, std::string value) { m_fields.emplace_back(std::string(name), std::move(value)); }

    [[nodiscard]] std::vector<std::pair<std::string, std::string>> const& fields() const { return m_fields; }

    bool operator==(Headers const&) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// Whether a request that a server passes to its handler has its body.
enum class BodyState {
    Complete,
    /// The check of the head did not want it.
    Discarded,
    /// There is no memory for it, or no time for the request. The handler must refuse the request, or respond at little cost.
    Refused,
};

struct Request {
    /// In upper case, for example "POST".
    std::string method;
    /// Path and query as in the request line, for example "/v1/requests/7?from=3".
    std::string target;
    Headers headers;
    std::string body;
    /// If not complete, the body is empty.
    BodyState bodyState { BodyState::Complete };

    bool operator==(Request const&) const = default;

    /// The target without its query.
    [[nodiscard]] std::string_view path() const;

    /// Whether path and query are well-formed (RFC 9112, section 3.2.1).
    [[nodiscard]] bool hasWellFormedTarget() const;

    /// The percent-decoded value of a query parameter. Nothing if the target is not well-formed.
    [[nodiscard]] std::optional<std::string> queryParameter(std::string_view name) const;
};

struct Response {
    unsigned status { 200 };
    Headers headers;
    std::string body;

    bool operator==(Response const&) const = default;
};

}
