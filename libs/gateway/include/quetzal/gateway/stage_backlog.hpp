#ifndef QUETZAL_GATEWAY_STAGE_BACKLOG_HPP
#define QUETZAL_GATEWAY_STAGE_BACKLOG_HPP

// The work that admitted jobs still need at the services of stages, for estimates of how long a new
// job would wait. Work is counted in endpoint time with full calls.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/stage_job.hpp>

namespace quetzal::gateway {

class stage_backlog
{
public:
    explicit stage_backlog(const catalog& view) : view_(view) {}

    // Adds the work of pieces of a job, or takes it out when they are made or given up. `zone` is
    // the availability zone that the job prefers; it may be empty.
    void add(const std::string& service, const std::string& zone, std::int32_t priority,
             std::uint32_t pieces);
    void remove(const std::string& service, const std::string& zone, std::int32_t priority,
                std::uint32_t pieces);

    // Counts an admitted job in the rate of arriving work.
    void note_arrival(const stage_job& content, time_point now);

    // Time until `workers` endpoints have worked off what is as urgent as `priority` or more, while
    // more urgent work keeps arriving.
    duration wait(const std::string& service, std::int32_t priority, std::size_t workers) const;

    // The availability zone in which the busiest of the job's services has the least work for each
    // endpoint, of those zones that have all its services. Empty if there is none.
    std::string least_loaded_zone(const stage_job& content) const;

private:
    struct service_state
    {
        std::map<std::int32_t, duration> committed;        // by priority
        std::map<std::string, duration> committed_in_zone; // of jobs that prefer one
        // Work that arrives in one second by priority, smoothed.
        std::map<std::int32_t, double> arriving;
        time_point arriving_updated{};
    };

    duration work_of(const std::string& service, std::uint32_t pieces) const;
    void change(const std::string& service, const std::string& zone, std::int32_t priority,
                duration work);

    const catalog& view_;
    std::map<std::string, service_state> services_;
};

} // namespace quetzal::gateway

#endif
