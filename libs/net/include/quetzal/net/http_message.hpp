#ifndef QUETZAL_NET_HTTP_MESSAGE_HPP
#define QUETZAL_NET_HTTP_MESSAGE_HPP

// HTTP messages as plain value types, so that handlers do not depend on an HTTP library.

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzal::net {

// Header fields in insertion order. Field names are compared case-insensitively.
class header_list
{
public:
    header_list() = default;
    header_list(std::initializer_list<std::pair<std::string, std::string>> fields) : fields_(fields)
    {
    }

    void add(std::string name, std::string value);

    // Returns the value of the first field with this name, or nullopt.
    std::optional<std::string_view> find(std::string_view name) const noexcept;

    auto begin() const noexcept { return fields_.begin(); }
    auto end() const noexcept { return fields_.end(); }

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

// A request with its complete body.
struct http_request
{
    std::string method;
    std::string path;  // percent-decoded, without the query
    std::string query; // without the question mark, not decoded
    header_list headers;
    std::string body;

    // Returns the percent-decoded value of a query parameter, or nullopt.
    std::optional<std::string> parameter(std::string_view name) const;
};

// A response with its complete body.
struct http_response
{
    unsigned status = 200;
    header_list headers;
    std::string body;
};

// Returns a response with a JSON body.
http_response json_response(unsigned status, std::string body);

// Decodes %XX sequences; malformed sequences are left unchanged.
std::string percent_decode(std::string_view text);

// Percent-encodes every byte that is not an unreserved character (RFC 3986, section 2.3).
std::string percent_encode(std::string_view text);

} // namespace quetzal::net

#endif
