#include <quetzal/config/settings.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <charconv>

#include <quetzal/config/toml_reader.hpp>

namespace quetzal::config {

namespace {

constexpr std::uint64_t kibibyte = 1u << 10;
constexpr std::uint64_t mebibyte = kibibyte << 10;
constexpr std::uint64_t gibibyte = mebibyte << 10;

std::uint16_t read_port(toml_reader& reader, std::string_view name)
{
    return static_cast<std::uint16_t>(reader.integer(name, 1, 65535));
}

socket_address read_socket(toml_reader& reader, std::string_view name)
{
    const std::string written = reader.text(name);
    if (written.empty()) {
        return {};
    }
    if (auto address = parse_socket_address(written)) {
        return *address;
    }
    reader.report(name, "a numeric address and port such as \"10.0.0.5:8500\" or \"[::1]:8500\"");
    return {};
}

std::optional<socket_address> read_optional_socket(toml_reader& reader, std::string_view name)
{
    reader.allow(name);
    return reader.has(name) ? std::optional(read_socket(reader, name)) : std::nullopt;
}

listen_settings read_listen(toml_reader reader)
{
    listen_settings listen;
    listen.address = reader.text("address");
    if (!listen.address.empty() && !is_numeric_address(listen.address)) {
        reader.report("address", "a numeric IP address");
    }
    listen.caller_port = read_port(reader, "caller_port");
    listen.operator_port = read_port(reader, "operator_port");
    listen.peer_port = read_port(reader, "peer_port");
    if (reader.has("operator_port") && listen.operator_port == listen.caller_port) {
        reader.report("operator_port", "a port that differs from caller_port");
    }
    if (reader.has("peer_port") &&
        (listen.peer_port == listen.caller_port || listen.peer_port == listen.operator_port))
    {
        reader.report("peer_port", "a port that differs from caller_port and operator_port");
    }
    reader.finish();
    return listen;
}

platform_settings read_platform(toml_reader reader)
{
    platform_settings platform;
    platform.configuration = read_socket(reader, "configuration");
    platform.instance_list = read_socket(reader, "instance_list");
    if (const auto store = read_optional_socket(reader, "weight_store")) {
        platform.weight_store = *store;
    }
    reader.finish();
    return platform;
}

peer_secret read_secret(toml_reader reader)
{
    peer_secret key;
    key.id = static_cast<std::uint8_t>(reader.integer("id", 0, 255));
    key.secret = reader.text("secret");
    if (!key.secret.empty() && key.secret.size() < min_peer_secret_size) {
        reader.report("secret", "at least " + std::to_string(min_peer_secret_size) + " bytes");
    }
    reader.finish();
    return key;
}

peer_settings read_peers(toml_reader reader)
{
    peer_settings peers;
    peers.current = read_secret(reader.section("current", true));
    if (auto section = reader.section("previous", false); reader.has("previous")) {
        peers.previous = read_secret(section);
        if (peers.previous->id == peers.current.id) {
            reader.report("previous", "an id that differs from that of the current key");
        }
    }
    reader.finish();
    return peers;
}

tls_settings read_tls(toml_reader reader)
{
    tls_settings tls;
    tls.certificate_file = reader.text("certificate_file");
    tls.key_file = reader.text("key_file");
    reader.finish();
    return tls;
}

log_settings read_log(toml_reader reader)
{
    log_settings log;
    log.level = static_cast<log_level>(
        reader.choice_or("level", {"trace", "debug", "info", "warning", "error"},
                         static_cast<std::size_t>(log.level)));
    log.format = static_cast<log_format>(
        reader.choice_or("format", {"key_value", "json"}, static_cast<std::size_t>(log.format)));
    reader.finish();
    return log;
}

limit_settings read_limits(toml_reader reader)
{
    limit_settings limits;
    limits.header_size =
        reader.bytes_or("header_size", kibibyte, 64 * kibibyte, limits.header_size);
    limits.body_size = reader.bytes_or("body_size", kibibyte, 64 * mebibyte, limits.body_size);
    limits.slow_sender_timeout =
        reader.time_or("slow_sender_timeout", std::chrono::milliseconds(100),
                       std::chrono::minutes(10), limits.slow_sender_timeout);
    limits.stream_buffer =
        reader.bytes_or("stream_buffer", 4 * kibibyte, max_stream_buffer, limits.stream_buffer);
    limits.connections = static_cast<std::uint32_t>(
        reader.integer_or("connections", 1, 1'000'000, limits.connections));
    limits.total_memory =
        reader.bytes_or("total_memory", mebibyte, 64 * gibibyte, limits.total_memory);
    if (limits.body_size > limits.total_memory) {
        reader.report("body_size", "a size no greater than total_memory");
    }
    reader.finish();
    return limits;
}

runtime_settings read_runtime(toml_reader reader)
{
    runtime_settings runtime;
    runtime.threads =
        static_cast<std::uint32_t>(reader.integer_or("threads", 1, 256, runtime.threads));
    runtime.shards =
        static_cast<std::uint32_t>(reader.integer_or("shards", 1, 4096, runtime.shards));
    if (!std::has_single_bit(runtime.shards)) {
        reader.report("shards", "a power of two");
    }
    reader.finish();
    return runtime;
}

settings read_settings(const toml::table& table, settings_errors& errors)
{
    toml_reader reader(&table, "", {1, 1}, errors);
    settings parsed;
    parsed.instance = instance_id(reader.name("instance"));
    parsed.zone = zone_id(reader.name("zone"));
    parsed.region = region_id(reader.name("region"));
    parsed.listen = read_listen(reader.section("listen", true));
    parsed.platform = read_platform(reader.section("platform", true));
    parsed.peers = read_peers(reader.section("peers", true));
    if (auto section = reader.section("tls", false); reader.has("tls")) {
        parsed.tls = read_tls(section);
    }
    parsed.log = read_log(reader.section("log", false));
    parsed.limits = read_limits(reader.section("limits", false));
    parsed.runtime = read_runtime(reader.section("runtime", false));
    reader.finish();
    return parsed;
}

} // namespace

bool is_numeric_address(std::string_view text)
{
    const std::string copy(text);
    in6_addr address{};
    return copy.find('\0') == std::string::npos &&
           (inet_pton(AF_INET, copy.c_str(), &address) == 1 ||
            inet_pton(AF_INET6, copy.c_str(), &address) == 1);
}

std::optional<socket_address> parse_socket_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (const bool bracketed = host.starts_with('[') && host.ends_with(']'); bracketed) {
        host = host.substr(1, host.size() - 2);
        if (host.find(':') == std::string_view::npos) {
            return std::nullopt;
        }
    } else if (host.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool is_complete = error == std::errc{} && end == digits.data() + digits.size();
    if (!is_complete || port == 0 || !is_numeric_address(host)) {
        return std::nullopt;
    }
    return socket_address{std::string(host), port};
}

std::string settings_error::message() const
{
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + name +
           ": expected " + expected;
}

tl::expected<settings, std::vector<settings_error>> parse_settings(std::string_view text,
                                                                   const std::string& file)
{
    settings_errors errors(file);
    if (text.size() > max_settings_size) {
        errors.report({1, 1}, "TOML", "at most 64KiB");
        return tl::unexpected(errors.sorted());
    }
    try {
        const toml::table table = toml::parse(text);
        settings parsed = read_settings(table, errors);
        if (errors.empty()) {
            return parsed;
        }
    } catch (const toml::parse_error& error) {
        errors.report(error.source().begin, "TOML",
                      "valid TOML (" + std::string(error.description()) + ")");
    }
    return tl::unexpected(errors.sorted());
}

} // namespace quetzal::config
