#ifndef QUETZAL_NODE_SHARED_STATE_HPP
#define QUETZAL_NODE_SHARED_STATE_HPP

// State that all parts of an instance share: its identity, settings, metrics and the documents in
// force.

#include <atomic>
#include <memory>
#include <mutex>

#include <quetzal/base/ids.hpp>
#include <quetzal/config/instance_list.hpp>
#include <quetzal/config/published.hpp>
#include <quetzal/config/settings.hpp>
#include <quetzal/telemetry/metrics.hpp>

namespace quetzal::node {

// The published configuration and the instance list in force. Each is null until the first one is
// accepted.
struct documents
{
    std::shared_ptr<const config::published> config;
    std::shared_ptr<const config::instance_list> list;
};

// Thread-safe.
class shared_state
{
public:
    explicit shared_state(config::settings values)
        : settings(std::move(values)), process(new_incarnation())
    {
    }

    const config::settings settings;
    const incarnation process;
    telemetry::metrics metrics;
    std::atomic<bool> ready{false};
    std::atomic<bool> stopping{false};

    documents current() const
    {
        const std::lock_guard lock(mutex_);
        return documents_;
    }

    void set_config(std::shared_ptr<const config::published> config)
    {
        const std::lock_guard lock(mutex_);
        documents_.config = std::move(config);
    }

    void set_list(std::shared_ptr<const config::instance_list> list)
    {
        const std::lock_guard lock(mutex_);
        documents_.list = std::move(list);
    }

private:
    // Returns the wall-clock time in milliseconds in the upper bits and 20 random bits below, so
    // that a later start has a greater value and two starts within one millisecond differ.
    static incarnation new_incarnation();

    mutable std::mutex mutex_;
    documents documents_;
};

} // namespace quetzal::node

#endif
