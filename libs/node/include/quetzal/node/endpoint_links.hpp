#ifndef QUETZAL_NODE_ENDPOINT_LINKS_HPP
#define QUETZAL_NODE_ENDPOINT_LINKS_HPP

// Connections to endpoints. Every connection is bound to the incarnation in the load report that
// was read from it. A TCP connection cannot outlive the process, so work that is sent over it
// reaches that incarnation or none.

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/node/locked_dispatcher.hpp>
#include <quetzal/node/shared_state.hpp>

namespace quetzal::node {

inline constexpr std::size_t max_idle_connections = 16; // per endpoint

// Thread-safe.
class endpoint_links : public std::enable_shared_from_this<endpoint_links>
{
public:
    endpoint_links(boost::asio::any_io_executor executor, shared_state& state,
                   locked_dispatcher& dispatcher);

    // Starts reading the load reports of the endpoints that the dispatcher uses.
    void start();
    void stop() { stopped_ = true; }

    // Returns a connection to the given process of the endpoint: an idle one that belongs to
    // `executor`, or a new one. Fails with `not_run` when the endpoint cannot be reached or has a
    // different incarnation.
    boost::asio::awaitable<result<std::unique_ptr<net::http_connection>>>
    acquire(boost::asio::any_io_executor executor, endpoint_id endpoint, incarnation process);

    // Returns a connection to the idle pool for later calls on the same executor. The last response
    // on it must have been read to its end.
    void release(const boost::asio::any_io_executor& executor, const endpoint_id& endpoint,
                 incarnation process, std::unique_ptr<net::http_connection> connection);

    // Asks the endpoint over a separate connection to cancel a call. Failures are ignored.
    void cancel_call(const endpoint_id& endpoint, const std::string& call);

    // Reads the load report outside the poll schedule and reports it to the dispatcher as a probe
    // result.
    void probe(const endpoint_id& endpoint);

private:
    // An idle connection. It may only be used on the executor on which it was created, because its
    // timers are not thread-safe.
    struct idle_connection
    {
        boost::asio::any_io_executor executor;
        incarnation process;
        std::unique_ptr<net::http_connection> connection;
    };

    struct report_outcome
    {
        std::optional<serving::load_report> report;
        std::unique_ptr<net::http_connection> connection;
    };

    // State of the load report polling of one endpoint.
    struct poller
    {
        boost::asio::any_io_executor strand;
        bool running = false;
        std::unique_ptr<net::http_connection> connection;
    };

    std::unique_ptr<net::http_connection> take_idle(const boost::asio::any_io_executor& executor,
                                                    const endpoint_id& endpoint,
                                                    incarnation process);
    boost::asio::awaitable<report_outcome> open_connection(boost::asio::any_io_executor executor,
                                                           endpoint_id endpoint);
    static boost::asio::awaitable<report_outcome>
    read_report(std::unique_ptr<net::http_connection> connection);
    boost::asio::awaitable<void> poll_reports();
    boost::asio::awaitable<void> poll_endpoint(endpoint_id endpoint, std::shared_ptr<poller> state);
    void report_to_dispatcher(const endpoint_id& endpoint,
                              const std::optional<serving::load_report>& report);

    boost::asio::any_io_executor executor_;
    shared_state& state_;
    locked_dispatcher& dispatcher_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_; // guards `idle_` and `polled_`
    std::unordered_map<endpoint_id, std::vector<idle_connection>> idle_;
    std::unordered_map<endpoint_id, std::shared_ptr<poller>> polled_;
};

} // namespace quetzal::node

#endif
