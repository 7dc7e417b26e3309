#ifndef QUETZAL_CONFIG_TEST_DOCUMENTS_HPP
#define QUETZAL_CONFIG_TEST_DOCUMENTS_HPP

// Valid documents, of which the tests of this package change one place at a time. For tests only.

#include <cstdint>
#include <string>
#include <string_view>

#include <quetzal/base/digest.hpp>

namespace quetzal::config::test {

inline constexpr std::string_view small_config = R"({
  "version": 7,
  "regions": ["north"],
  "zones": [
    {"name": "a", "region": "north"},
    {"name": "b", "region": "north", "state": "out"}
  ],
  "pools": [
    {"name": "retrieve", "concurrency": 4},
    {"name": "generate", "kind": "model_engine", "model": "m-1", "concurrency": 8, "cold_concurrency": 2}
  ],
  "pipelines": [
    {"name": "lookup", "stages": [
      {"name": "find", "pool": "retrieve"},
      {"name": "answer", "pool": "generate", "after": ["find"]}
    ]},
    {"name": "book", "stages": [{"name": "charge", "pool": "retrieve", "idempotent": false}]}
  ],
  "classes": [
    {"name": "proofs", "pipeline": "lookup", "target": {"deadline": "8s", "first_token": "1300ms"}},
    {"name": "bookings", "pipeline": "book", "idempotent": false, "target": {"deadline": "2s"}},
    {"name": "status", "pipeline": "lookup", "open": true, "open_rate": 5, "open_burst": 10, "late": "finish", "target": {"deadline": "500ms"}}
  ],
  "customers": [
    {"name": "c-1", "rate": 2.5, "burst": 10, "keys": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]},
    {"name": "c-2", "rate": 1, "burst": 4, "keys": []}
  ]
})";

inline constexpr std::string_view small_list = R"({
  "revision": 3,
  "instances": [
    {"name": "q-1", "address": "10.0.0.1", "caller_port": 80, "peer_port": 81, "zone": "a"},
    {"name": "q-2", "address": "fd00::2", "caller_port": 80, "peer_port": 81, "zone": "b", "state": "leaving"}
  ],
  "endpoints": [
    {"name": "e-1", "pool": "retrieve", "address": "10.0.1.1", "port": 90, "zone": "a"}
  ]
})";

inline constexpr std::string_view small_settings = R"(instance = "q-1"
zone = "a"
region = "north"
[listen]
address = "10.0.1.5"
caller_port = 8080
operator_port = 8081
peer_port = 8082
[platform]
configuration = "10.0.9.1:8500"
instance_list = "[fd00::1]:8501"
[peers.current]
id = 1
secret = "0123456789abcdef"
[limits]
body_size = "64MiB"
slow_sender_timeout = "250ms"
)";

// Returns the text with the first occurrence of `original` replaced; empty if it does not occur.
inline std::string replaced(std::string_view text, std::string_view original,
                            std::string_view replacement)
{
    std::string changed(text);
    const auto at = changed.find(original);
    return at == std::string::npos ? std::string()
                                   : changed.replace(at, original.size(), replacement);
}

// Returns a configuration of the size that the design assumes: 3,200 customers with three keys
// each, about 1 MB. Each version differs from the previous one in the rate of one customer.
inline std::string large_config(std::uint64_t version, std::size_t customers = 3200)
{
    std::string text =
        replaced(small_config, "\"version\": 7", "\"version\": " + std::to_string(version));
    text.resize(text.find("\"customers\""));
    text += "\"customers\": [\n";
    for (std::size_t index = 0; index < customers; ++index) {
        const std::string name =
            "customer-of-the-north-and-the-south-region-" + std::to_string(index);
        // Each version changes the rate of one customer and keeps the changes of earlier versions.
        const std::uint64_t changes = (version + customers - index) / customers;
        text += "{\"name\": \"" + name + "\", \"rate\": " + std::to_string(10 + changes) +
                ", \"burst\": 40, \"keys\": [\n  \"" + to_hex(sha256(name + "/1")) + "\",\n  \"" +
                to_hex(sha256(name + "/2")) + "\",\n  \"" + to_hex(sha256(name + "/3")) + "\"]},\n";
    }
    text.resize(text.size() - 2);
    return text + "\n]}\n";
}

} // namespace quetzal::config::test

#endif
