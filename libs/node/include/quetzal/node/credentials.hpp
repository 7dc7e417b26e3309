#ifndef QUETZAL_NODE_CREDENTIALS_HPP
#define QUETZAL_NODE_CREDENTIALS_HPP

// The digest of the key that came with each running request, so that it can be checked again
// whenever queued work starts. A lock of its own lets the dispatcher's gate read it.

#include <mutex>
#include <optional>
#include <unordered_map>

#include <quetzal/base/sharded.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::node {

// Whose request it is, and by which key.
struct credential
{
    customer_id customer;
    digest key{};
    bool open = false; // open route: no key
    class_id work_class;
    std::optional<duration> retry_after; // after a refusal by rate
};

// Thread-safe.
class credential_registry
{
public:
    explicit credential_registry(std::size_t shards) : shards_(shards) {}

    void add(serving::request_key request, credential value)
    {
        shards_.with(hash(request),
                     [&](table& entries) { entries[hash(request)] = std::move(value); });
    }

    void remove(serving::request_key request)
    {
        shards_.with(hash(request), [&](table& entries) { entries.erase(hash(request)); });
    }

    std::optional<credential> find(serving::request_key request)
    {
        return shards_.with(hash(request), [&](table& entries) -> std::optional<credential> {
            const auto found = entries.find(hash(request));
            return found == entries.end() ? std::nullopt : std::optional(found->second);
        });
    }

    void set_retry_after(serving::request_key request, duration time)
    {
        shards_.with(hash(request), [&](table& entries) {
            if (const auto found = entries.find(hash(request)); found != entries.end()) {
                found->second.retry_after = time;
            }
        });
    }

private:
    using table = std::unordered_map<std::uint64_t, credential>;

    static std::uint64_t hash(serving::request_key request)
    {
        return static_cast<std::uint64_t>(request);
    }

    sharded<table> shards_;
};

// Whether the credential is valid in a configuration: an open route is still open, or the key still
// belongs to the same customer.
bool is_valid(const credential& value, const config::published& config);

} // namespace quetzal::node

#endif
