// Limits of streams that have started and are resumed at another endpoint. The rest of the
// processing is in request_flow.cpp.

#include <algorithm>

#include <quetzal/gateway/request_flow.hpp>

namespace quetzal::gateway {

time_point request_flow::latest_end(const running_request& request) const
{
    return drain_.window() ? std::min(request.deadline, drain_.window()->responses_end)
                           : request.deadline;
}

} // namespace quetzal::gateway
