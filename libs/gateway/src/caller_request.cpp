#include <quetzal/gateway/caller_request.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/gateway/lower_case.hpp>

namespace quetzal::gateway {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_request_id_size = 200; // bytes
constexpr std::size_t max_prompt_parts = 64;     // in one request

// Hop-by-hop headers, which are not forwarded.
constexpr std::array<std::string_view, 9> connection_headers{"connection",
                                                             "keep-alive",
                                                             "proxy-authenticate",
                                                             "proxy-authorization",
                                                             "proxy-connection",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade"};

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool equal_names(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool is_connection_header(std::string_view name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view header) { return equal_names(header, name); });
}

// Returns the header names that the Connection header lists as hop-by-hop, in lower case.
std::set<std::string> connection_options(const http::fields& headers)
{
    std::set<std::string> names;
    const auto [begin, end] = headers.equal_range(http::field::connection);
    for (auto header = begin; header != end; ++header) {
        for (const auto& token : http::token_list(header->value())) {
            names.insert(lower_case(view_of(token)));
        }
    }
    return names;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string host_without_port(std::string_view host)
{
    return lower_case(host.substr(0, host.rfind(':')));
}

struct parsed_prompt
{
    std::vector<serving::prompt_prefix> prefixes;
    std::vector<std::uint64_t> quarantine_keys; // see `caller_request`
    std::string shared_part_ids;
};

// Parses "ID:TOKENS,ID:TOKENS,...". Returns the two longest prefixes: that of the whole prompt and
// the next shorter one, which the requests of a session share. Shorter prefixes are shared by so
// many sessions that every endpoint caches them.
std::optional<parsed_prompt> read_prompt_parts(std::string_view text)
{
    std::vector<serving::prompt_prefix> prefixes;
    std::vector<std::uint64_t> parts;
    std::string part_ids;
    std::size_t last_id_size = 0; // with its comma
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto colon = part.rfind(':');
        const auto count = colon == std::string_view::npos
                               ? std::nullopt
                               : parse_number<std::uint32_t>(part.substr(colon + 1));
        if (!count || prefixes.size() >= max_prompt_parts) {
            return std::nullopt;
        }
        const std::string_view id = part.substr(0, colon);
        const std::uint64_t id_hash = stable_hash(id);
        hash = combine_hash(hash, id_hash);
        tokens += *count;
        prefixes.push_back({hash, tokens});
        parts.push_back(id_hash);
        const std::size_t before = part_ids.size();
        part_ids.append(part_ids.empty() ? "" : ",").append(id);
        last_id_size = part_ids.size() - before;
    }
    if (!parts.empty()) {
        parts.back() = hash;
        part_ids.resize(part_ids.size() - last_id_size);
    }
    constexpr std::size_t kept_prefixes = 2;
    if (prefixes.size() > kept_prefixes) {
        prefixes.erase(prefixes.begin(), prefixes.end() - kept_prefixes);
    }
    return parsed_prompt{std::move(prefixes), std::move(parts), std::move(part_ids)};
}

void append_line(std::string& lines, std::string_view name, std::string_view value)
{
    lines += name;
    lines += ": ";
    lines += value;
    lines += "\r\n";
}

} // namespace

std::string_view to_string(request_phase value) noexcept
{
    switch (value) {
    case request_phase::stages:
        return "stages";
    case request_phase::endpoint:
        return "endpoint";
    case request_phase::response:
        return "response";
    case request_phase::stream:
        return "stream";
    }
    return "unknown";
}

void running_request::abort(failure why)
{
    if (abort_reason_) {
        return;
    }
    abort_reason_ = std::move(why);
    if (abort_handler_) {
        abort_handler_();
    }
}

result<caller_request> read_caller_request(std::string method, std::string target,
                                           const http::fields& headers, std::string body,
                                           const header_names& names, time_point received)
{
    caller_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.received = received;
    const auto value_of = [&](const std::string& name) { return view_of(headers[name]); };
    request.host = host_without_port(view_of(headers[http::field::host]));
    request.id = value_of(names.request_id);
    request.key = value_of(names.key);
    request.piece_key = value_of(names.piece_key);
    request.piece_counts = value_of(names.piece_counts);
    request.last_event_id = value_of(names.last_event_id);
    if (request.target.empty() || request.target.front() != '/') {
        return not_run(reason::invalid_request, "the target is not a path");
    }
    if (request.id.empty() || request.id.size() > max_request_id_size) {
        return not_run(reason::invalid_request, "the request id is missing or too long");
    }
    if (headers.count(names.request_id) > 1 || headers.count(names.key) > 1) {
        return not_run(reason::invalid_request, "the request id or the key occurs more than once");
    }
    if (const auto text = value_of(names.deadline); !text.empty()) {
        const auto milliseconds = parse_number<std::uint32_t>(text);
        if (!milliseconds) {
            return not_run(reason::invalid_request, "the deadline is not a number");
        }
        request.caller_timeout = std::chrono::milliseconds(*milliseconds);
    }
    if (const auto text = value_of(names.prompt_parts); !text.empty()) {
        auto prompt = read_prompt_parts(text);
        if (!prompt) {
            return not_run(reason::invalid_request, "the parts of the prompt are malformed");
        }
        request.prefixes = std::move(prompt->prefixes);
        request.quarantine_keys = std::move(prompt->quarantine_keys);
        request.shared_part_ids = std::move(prompt->shared_part_ids);
    }
    const auto options = connection_options(headers);
    const auto dropped = [&](std::string_view name) {
        const auto is = [&](const std::string& other) { return equal_names(name, other); };
        return is_connection_header(name) || is("content-length") || is("expect") ||
               is(names.deadline) || is(names.key) || is(names.customer) ||
               is(names.expected_endpoint) || is(names.priority) || is(names.inputs) ||
               is(names.last_event_id) || options.contains(lower_case(name)) ||
               std::any_of(names.reserved.begin(), names.reserved.end(), is);
    };
    for (const auto& header : headers) {
        if (!dropped(view_of(header.name_string()))) {
            append_line(request.forwarded_headers, view_of(header.name_string()),
                        view_of(header.value()));
        }
    }
    return request;
}

std::string forwarded_response_headers(const http::fields& headers)
{
    std::string lines;
    const auto options = connection_options(headers);
    for (const auto& header : headers) {
        const auto name = view_of(header.name_string());
        if (!is_connection_header(name) && !equal_names(name, "content-length") &&
            !options.contains(lower_case(name)))
        {
            append_line(lines, name, view_of(header.value()));
        }
    }
    return lines;
}

} // namespace quetzal::gateway
