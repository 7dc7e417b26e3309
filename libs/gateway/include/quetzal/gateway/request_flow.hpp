#ifndef QUETZAL_GATEWAY_REQUEST_FLOW_HPP
#define QUETZAL_GATEWAY_REQUEST_FLOW_HPP

// A request's way: route, key, stages, endpoint, answer. Every refusal says truthfully whether the
// request may have run: 503 only where no endpoint began to work on it.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <quetzal/gateway/caller_request.hpp>
#include <quetzal/gateway/channel_pool.hpp>
#include <quetzal/gateway/endpoint_pools.hpp>
#include <quetzal/gateway/event_splitter.hpp>
#include <quetzal/gateway/fleet_retry_budget.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/stage_coordinator.hpp>
#include <quetzal/telemetry/metrics.hpp>

namespace quetzal::gateway {

class request_flow
{
public:
    request_flow(boost::asio::io_context& context, const catalog& view, endpoint_pools& pools,
                 channel_pool& channels, stage_coordinator& coordinator, member_table& members,
                 const header_names& names, retry_budget_options budget,
                 telemetry::metrics& figures);

    // Serves one request and writes its answer, or cuts the connection.
    boost::asio::awaitable<void> serve(std::shared_ptr<running_request> request,
                                       answer_writer& answer);

    // Requests that are being served.
    std::size_t running() const noexcept { return running_; }

    // Requests that have ended, whatever became of them.
    std::uint64_t ended() const noexcept { return ended_; }

private:
    using request_ptr = std::shared_ptr<running_request>;

    // What one attempt at an endpoint came to.
    struct delivered
    {
    };
    // The endpoint's own failure answer, kept in case no repeat is possible.
    struct kept_answer
    {
        unsigned status = 0;
        std::string headers;
        std::string body;
    };
    struct attempt_failed
    {
        failure error;
        std::optional<kept_answer> answer{};
        bool inputs_gone = false; // results of stages have to be made again
    };
    using attempt_result = std::variant<delivered, attempt_failed>;

    // Progress of the attempts of one request.
    struct attempt_state
    {
        std::vector<std::string> tried;  // endpoints
        std::vector<std::string> inputs; // handles of the last stages' results
        std::uint64_t job = 0;           // ticket of the stages; 0: none
        event_splitter events;
        std::string first_headers;              // of a stream, from its first endpoint
        unsigned runs = 0;                      // attempts that may have run
        unsigned refusals = 0;                  // attempts that did not run
        unsigned unreachable = 0;               // attempts that reached no endpoint
        std::optional<kept_answer> last_answer; // failure of an endpoint, if no attempt does better
        bool repeatable = false;
    };

    std::optional<failure> admit(running_request& request, unsigned& status);
    std::optional<failure> check_view(running_request& request, unsigned& status);
    boost::asio::awaitable<result<std::vector<std::string>>> run_stages(const request_ptr& request,
                                                                        std::uint64_t& ticket);
    boost::asio::awaitable<result<void>> run_attempts(const request_ptr& request,
                                                      answer_writer& answer, attempt_state& state);
    std::string service_of(const running_request& request) const;
    std::string wanted_zone(const running_request& request, const std::vector<job_stage>& stages);
    boost::asio::awaitable<result<void>> deliver_kept(const request_ptr& request,
                                                      answer_writer& answer, attempt_state& state);
    boost::asio::awaitable<result<chosen_endpoint>> choose(const request_ptr& request,
                                                           const attempt_state& state);
    boost::asio::awaitable<attempt_result> attempt(const request_ptr& request,
                                                   answer_writer& answer, attempt_state& state,
                                                   const chosen_endpoint& chosen);
    boost::asio::awaitable<attempt_result> exchange(const request_ptr& request,
                                                    answer_writer& answer, attempt_state& state,
                                                    const chosen_endpoint& chosen,
                                                    std::shared_ptr<channel> connection,
                                                    serving::attempt_outcome& outcome);
    boost::asio::awaitable<attempt_result> relay_stream(const request_ptr& request,
                                                        answer_writer& answer, attempt_state& state,
                                                        std::shared_ptr<channel> connection,
                                                        serving::attempt_outcome& outcome);
    std::string request_head(const running_request& request, const attempt_state& state,
                             const chosen_endpoint& chosen, time_point now) const;
    duration head_timeout(const running_request& request, const attempt_state& state,
                          time_point now) const;
    bool may_repeat(const running_request& request, const attempt_state& state,
                    const attempt_failed& failed, time_point now);
    boost::asio::awaitable<void> refuse(running_request& request, answer_writer& answer,
                                        unsigned status, const failure& why);
    void count(const running_request& request, std::string_view outcome);

    boost::asio::io_context& context_;
    const catalog& view_;
    endpoint_pools& pools_;
    channel_pool& channels_;
    stage_coordinator& coordinator_;
    member_table& members_;
    const header_names& names_;
    fleet_retry_budget budget_;
    telemetry::metrics& figures_;
    std::size_t running_ = 0;
    std::uint64_t ended_ = 0;
};

} // namespace quetzal::gateway

#endif
