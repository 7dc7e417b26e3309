#ifndef QUETZAL_NODE_CREDENTIALS_HPP
#define QUETZAL_NODE_CREDENTIALS_HPP

// Stores the digest of the key that authenticated each running request, so that the key can be
// checked again whenever queued work starts. The registry has its own locks, so that the
// dispatcher's gate can read it.

#include <mutex>
#include <optional>
#include <unordered_map>

#include <quetzal/base/sharded.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::node {

// The customer of a request and the key that authenticated it.
struct credential
{
    customer_id customer;
    digest key{};
    bool open = false; // the class accepts requests without a key
    class_id work_class;
    std::optional<duration> retry_after; // set when the customer's rate limit rejected the request
};

// Thread-safe.
class credential_registry
{
public:
    explicit credential_registry(std::size_t shards) : shards_(shards) {}

    void add(serving::request_key request, credential value)
    {
        shards_.with(to_integer(request),
                     [&](table& entries) { entries[to_integer(request)] = std::move(value); });
    }

    void remove(serving::request_key request)
    {
        shards_.with(to_integer(request),
                     [&](table& entries) { entries.erase(to_integer(request)); });
    }

    std::optional<credential> find(serving::request_key request)
    {
        return shards_.with(to_integer(request), [&](table& entries) -> std::optional<credential> {
            const auto found = entries.find(to_integer(request));
            return found == entries.end() ? std::nullopt : std::optional(found->second);
        });
    }

    void set_retry_after(serving::request_key request, duration time)
    {
        shards_.with(to_integer(request), [&](table& entries) {
            if (const auto found = entries.find(to_integer(request)); found != entries.end()) {
                found->second.retry_after = time;
            }
        });
    }

private:
    using table = std::unordered_map<std::uint64_t, credential>;

    static std::uint64_t to_integer(serving::request_key request)
    {
        return static_cast<std::uint64_t>(request);
    }

    sharded<table> shards_;
};

// Returns whether the credential is valid in a configuration: the class still accepts requests
// without a key, or the key still belongs to the same customer.
bool is_valid(const credential& value, const config::published& config);

} // namespace quetzal::node

#endif
