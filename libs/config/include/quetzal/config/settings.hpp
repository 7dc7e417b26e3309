#ifndef QUETZAL_CONFIG_SETTINGS_HPP
#define QUETZAL_CONFIG_SETTINGS_HPP

// Settings that an entry instance needs before it can reach the platform. They are read once at
// startup from a TOML file. Everything that may change while the instance runs belongs to the
// published configuration. docs/settings.md lists every name with its range and default.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <quetzal/base/ids.hpp>
#include <quetzal/base/time.hpp>
#include <tl/expected.hpp>

namespace quetzal::config {

inline constexpr std::size_t max_settings_size = 64u << 10; // bytes
inline constexpr std::size_t max_settings_errors = 100;     // errors reported for one file
inline constexpr std::size_t min_peer_secret_size = 16;     // bytes, as long as the MAC
inline constexpr std::uint64_t max_stream_buffer =
    256u << 10; // bytes; also the default (design page, section 9)

// A numeric IP address and a port.
struct socket_address
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const socket_address&, const socket_address&) = default;
};

// Where the instance listens. The three ports differ; the peer port is used with UDP and TCP.
struct listen_settings
{
    std::string address; // numeric IP address
    std::uint16_t caller_port = 0;
    std::uint16_t operator_port = 0;
    std::uint16_t peer_port = 0;
};

// Addresses of the platform's services.
struct platform_settings
{
    socket_address configuration;
    socket_address instance_list;
    std::optional<socket_address> weight_store; // absent: no orders to load weights
};

// A secret shared by all instances.
struct peer_secret
{
    std::uint8_t id = 0;
    std::string secret;
};

// The instance signs with `current` and accepts both secrets. `previous` is present while the
// secret is rotated.
struct peer_settings
{
    peer_secret current;
    std::optional<peer_secret> previous;
};

// TLS files in PEM format. The parser does not open them.
struct tls_settings
{
    std::string certificate_file;
    std::string key_file;
};

enum class log_level
{
    trace,
    debug,
    info,
    warning,
    error
};

enum class log_format
{
    key_value, // key=value
    json
};

struct log_settings
{
    log_level level = log_level::info;
    log_format format = log_format::key_value;
};

// Limits on the resources that callers and peers can make the instance use.
struct limit_settings
{
    std::uint64_t header_size = 16u << 10;                   // bytes of the header of one request
    std::uint64_t body_size = 8u << 20;                      // bytes of the body of one request
    duration slow_sender_timeout = std::chrono::seconds(10); // for receiving a complete request
    std::uint64_t stream_buffer = max_stream_buffer;         // bytes buffered for one stream
    std::uint32_t connections = 10'000;                      // concurrent connections of callers
    std::uint64_t total_memory = 192u << 20;                 // bytes of bodies and answers
};

struct runtime_settings
{
    std::uint32_t threads = 2;
    std::uint32_t shards = 16; // shards of each sharded table; a power of two
};

// All settings of an instance.
struct settings
{
    instance_id instance;
    zone_id zone;
    region_id region;
    listen_settings listen;
    platform_settings platform;
    peer_settings peers;
    std::optional<tls_settings> tls; // for callers and operators; absent: HTTP without TLS
    log_settings log;
    limit_settings limits;
    runtime_settings runtime;
};

// An error in a settings file. It never contains a secret.
struct settings_error
{
    std::string file;
    std::size_t line = 0;   // from 1
    std::size_t column = 0; // from 1
    std::string name;       // e.g. "limits.body_size"
    std::string expected;   // what would have been accepted

    // Returns "file:line:column: name: expected ...".
    std::string message() const;
};

// Parses and checks the text of a settings file; `file` is only used in errors. Unknown names,
// wrong types, values out of range and invalid units are errors. On failure returns all errors in
// the order of their positions, but at most `max_settings_errors`. After a syntax error no other
// errors are found.
tl::expected<settings, std::vector<settings_error>> parse_settings(std::string_view toml,
                                                                   const std::string& file);

// Parses "address:port" with a numeric IPv4 address, or "[address]:port" with an IPv6 address.
std::optional<socket_address> parse_socket_address(std::string_view text);

// Returns whether the text is a numeric IPv4 or IPv6 address.
bool is_numeric_address(std::string_view text);

} // namespace quetzal::config

#endif
