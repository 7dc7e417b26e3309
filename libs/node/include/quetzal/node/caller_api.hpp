#ifndef QUETZAL_NODE_CALLER_API_HPP
#define QUETZAL_NODE_CALLER_API_HPP

// The HTTP interface for callers; see docs/caller-api.md.

#include <atomic>
#include <memory>
#include <mutex>

#include <quetzal/net/http_server.hpp>
#include <quetzal/node/control_plane.hpp>
#include <quetzal/node/request_engine.hpp>
#include <quetzal/requests/request_identity.hpp>

namespace quetzal::node {

// Returns the HTTP status code for a failure; see docs/caller-api.md.
unsigned http_status(const failure& why) noexcept;

// Returns the JSON response body for a failure.
std::string refusal_json(const failure& why);

// Thread-safe.
class caller_api
{
public:
    caller_api(boost::asio::any_io_executor executor, shared_state& state, control_plane& control,
               request_engine& engine);

    boost::asio::awaitable<void> handle(const net::http_request& request,
                                        net::response_stream& response);

    // Returns the number of requests whose answer is not written yet, relayed ones included.
    std::size_t active_requests() const noexcept { return active_requests_; }

private:
    // The caller as identified by its key. `customer` is empty when the request has no key.
    struct caller
    {
        customer_id customer;
        digest key{};
        bool has_key = false;
    };

    result<caller> authenticate(const net::http_request& request,
                                const config::published& config) const;
    result<caller_request> check_submission(const net::http_request& request);
    result<void> attach_identity(const net::http_request& request, caller_request& submission);

    boost::asio::awaitable<void> answer_address(const net::http_request& request,
                                                net::response_stream& response);
    boost::asio::awaitable<void> issue_identity(const net::http_request& request,
                                                net::response_stream& response);
    boost::asio::awaitable<void> submit(const net::http_request& request,
                                        net::response_stream& response);
    boost::asio::awaitable<void> resume(const net::http_request& request,
                                        net::response_stream& response);
    boost::asio::awaitable<void> cancel(const net::http_request& request,
                                        net::response_stream& response);
    boost::asio::awaitable<void> stream_answer(answer_ticket ticket, std::uint64_t offset,
                                               std::string identity,
                                               net::response_stream& response);
    boost::asio::awaitable<void> relay_or_refuse(const net::http_request& request,
                                                 requests::placement placement,
                                                 net::response_stream& response);
    boost::asio::awaitable<void> relay(const net::http_request& request, requests::relay_to target,
                                       net::response_stream& response);

    // Returns where to send a request with this identity, or nothing when this instance handles it.
    std::optional<requests::placement>
    find_remote_placement(const requests::request_identity& identity,
                          const net::http_request& request) const;
    result<requests::request_identity> verify_identity(const net::http_request& request,
                                                       const std::string& text) const;
    static boost::asio::awaitable<void> refuse(const failure& why, net::response_stream& response);

    boost::asio::awaitable<void> dispatch(const net::http_request& request,
                                          net::response_stream& response);

    boost::asio::any_io_executor executor_;
    std::atomic<std::size_t> active_requests_{0};
    shared_state& state_;
    control_plane& control_;
    request_engine& engine_;
    mutable std::mutex identities_mutex_; // guards `identities_`
    requests::identity_authority identities_;
};

} // namespace quetzal::node

#endif
