#ifndef QUETZAL_NODE_ENDPOINT_LINKS_HPP
#define QUETZAL_NODE_ENDPOINT_LINKS_HPP

// Connections to endpoints. Every connection is bound to the incarnation that its load report
// named: a TCP connection cannot outlive its process, so work that is sent over it reaches that
// incarnation or nobody.

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/node/serving_front.hpp>
#include <quetzal/node/shared_state.hpp>

namespace quetzal::node {

inline constexpr std::size_t max_idle_connections = 16; // kept for one endpoint

// Thread-safe.
class endpoint_links : public std::enable_shared_from_this<endpoint_links>
{
public:
    endpoint_links(boost::asio::any_io_executor executor, shared_state& state,
                   serving_front& front);

    // Starts to read the load reports and cache events of the endpoints that the dispatcher wants.
    void start();
    void stop() { stopped_ = true; }

    // Returns a connection to the given process of the endpoint, a kept one or a new one on
    // `executor`. Fails with `not_run` when the endpoint cannot be reached or another process
    // answers.
    boost::asio::awaitable<result<std::unique_ptr<net::http_connection>>>
    acquire(boost::asio::any_io_executor executor, endpoint_id endpoint, incarnation process);

    // Keeps a connection whose last response was read to its end, for later calls on the same
    // executor.
    void keep(const boost::asio::any_io_executor& executor, const endpoint_id& endpoint,
              incarnation process, std::unique_ptr<net::http_connection> connection);

    // Tells the endpoint on a connection of its own to stop a call; failures are ignored.
    void cancel_call(const endpoint_id& endpoint, const std::string& call);

    // Reads the load report out of turn and reports the result as a probe.
    void probe(const endpoint_id& endpoint);

private:
    // A connection belongs to the executor that it was made on and is used only there, because its
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

    // The reader of one endpoint's load reports.
    struct poller
    {
        boost::asio::any_io_executor strand;
        bool running = false;
        std::unique_ptr<net::http_connection> connection;
    };

    std::unique_ptr<net::http_connection> take_idle(const boost::asio::any_io_executor& executor,
                                                    const endpoint_id& endpoint,
                                                    incarnation process);
    boost::asio::awaitable<report_outcome> open(boost::asio::any_io_executor executor,
                                                endpoint_id endpoint);
    static boost::asio::awaitable<report_outcome>
    read_report(std::unique_ptr<net::http_connection> connection);
    boost::asio::awaitable<void> poll_reports();
    boost::asio::awaitable<void> poll_endpoint(endpoint_id endpoint, std::shared_ptr<poller> state);
    void tell(const endpoint_id& endpoint, const std::optional<serving::load_report>& report);

    boost::asio::any_io_executor executor_;
    shared_state& state_;
    serving_front& front_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_; // guards `idle_` and `polled_`
    std::unordered_map<endpoint_id, std::vector<idle_connection>> idle_;
    std::unordered_map<endpoint_id, std::shared_ptr<poller>> polled_;
};

} // namespace quetzal::node

#endif
