#ifndef QUETZAL_GATEWAY_STAGE_DIVISION_HPP
#define QUETZAL_GATEWAY_STAGE_DIVISION_HPP

// Divides the stages of the fleet among coordinators. Calls are fullest when one coordinator forms
// all of them, so small fleets have one. Its work grows with the requests of the whole fleet; in
// large fleets, each availability zone therefore has a coordinator for its own stage endpoints.

#include <string>
#include <string_view>
#include <vector>

#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/stage_job.hpp>

namespace quetzal::gateway {

// The share of a coordinator: the name of an availability zone, or empty for the whole fleet.
using stage_share = std::string;

inline const stage_share whole_fleet{};

class stage_division
{
public:
    explicit stage_division(const catalog& view) : view_(view) {}

    // Returns the shares into which the stages are divided at present, in order of their names. It
    // is `whole_fleet` alone until there are more stage endpoints than one coordinator schedules.
    std::vector<stage_share> shares() const;

    // Returns the shares that may run a job, in the order in which to try them: the next one is for
    // a job that the one before has refused. The first one is the availability zone where the
    // results are needed or, if the job names none, `own_zone`. A zone that has fewer of the
    // endpoints that the job needs than the others have gives a part of its jobs to them. The
    // choice depends on the id of the request, so that it is the same each time.
    std::vector<stage_share> candidates(const stage_job& job, std::string_view own_zone) const;

private:
    const catalog& view_;
};

} // namespace quetzal::gateway

#endif
