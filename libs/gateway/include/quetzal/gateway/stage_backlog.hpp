#ifndef QUETZAL_GATEWAY_STAGE_BACKLOG_HPP
#define QUETZAL_GATEWAY_STAGE_BACKLOG_HPP

// Tracks the work that admitted jobs still need from the services of stages, to estimate how long a
// new job would wait. Work is measured as the time of one endpoint that runs full calls.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <quetzal/base/time.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/stage_job.hpp>

namespace quetzal::gateway {

// The job that needs the work.
struct work_origin
{
    std::string zone; // availability zone that the job prefers; may be empty
    std::int32_t priority = 0;
    std::string customer; // may be empty
};

class stage_backlog
{
public:
    explicit stage_backlog(const catalog& view) : view_(view) {}

    // Adds the work of pieces of a job, or removes it when they are done or cancelled.
    void add(const std::string& service, const work_origin& origin, std::uint32_t pieces);
    void remove(const std::string& service, const work_origin& origin, std::uint32_t pieces);

    // Adds the work of an admitted job to the arrival rate.
    void record_arrival(const stage_job& content, time_point now);

    // Returns the time until `workers` endpoints have finished the committed work that goes before
    // a new job's pieces, while more urgent work keeps arriving. Of another customer with the same
    // priority, no more work goes first than the job's customer has itself, with these pieces.
    duration expected_wait(const job_stage& stage, const stage_job& content,
                           std::size_t workers) const;

    // Considers the availability zones that have endpoints of all services of the job. Returns the
    // one in which the busiest of these services has the least work per endpoint; empty if there is
    // no such zone.
    std::string least_loaded_zone(const stage_job& content) const;

private:
    struct service_state
    {
        // By priority and customer.
        std::map<std::pair<std::int32_t, std::string>, duration> committed;
        std::map<std::string, duration> committed_in_zone; // by zone, of jobs that prefer one
        // By priority: work that arrives per second, smoothed.
        std::map<std::int32_t, double> arrival_rate;
        time_point arrival_rate_updated{};
    };

    duration work_for(const std::string& service, std::uint32_t pieces) const;
    void adjust(const std::string& service, const work_origin& origin, duration work);

    const catalog& view_;
    std::map<std::string, service_state> services_;
};

} // namespace quetzal::gateway

#endif
