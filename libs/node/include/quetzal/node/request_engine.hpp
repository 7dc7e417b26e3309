#ifndef QUETZAL_NODE_REQUEST_ENGINE_HPP
#define QUETZAL_NODE_REQUEST_ENGINE_HPP

// Runs requests: connects the request table, the pipeline runs, the dispatcher and the calls to
// endpoints. Every request belongs to a shard. A shard is changed only on its strand and under its
// lock.

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/strand.hpp>
#include <quetzal/base/sharded.hpp>
#include <quetzal/burn/recorder.hpp>
#include <quetzal/node/control_plane.hpp>
#include <quetzal/node/credentials.hpp>
#include <quetzal/node/endpoint_links.hpp>
#include <quetzal/node/locked_dispatcher.hpp>
#include <quetzal/node/running_request.hpp>

namespace quetzal::node {

// Handle with which a caller's connection reads an answer.
struct answer_ticket
{
    std::uint64_t sequence = 0;
    std::shared_ptr<requests::answer_log> answer;
    std::shared_ptr<wakeup> reader;
};

// The next chunks of an answer. `end` is set when no more chunks follow.
struct answer_page
{
    std::vector<requests::answer_chunk> chunks;
    std::optional<requests::answer_end> end;
};

// Thread-safe.
class request_engine : public std::enable_shared_from_this<request_engine>
{
public:
    request_engine(const boost::asio::any_io_executor& executor, shared_state& state,
                   control_plane& control, locked_dispatcher& dispatcher, endpoint_links& links,
                   credential_registry& credentials);

    // Starts the timer loop.
    void start();

    // Starts the request, or attaches to its answer when the request is known already. `reader` is
    // the executor of the caller's connection.
    boost::asio::awaitable<result<answer_ticket>> submit(caller_request request,
                                                         boost::asio::any_io_executor reader);

    // Attaches to the answer of a request that was submitted earlier.
    boost::asio::awaitable<result<answer_ticket>> attach(requests::request_identity identity,
                                                         customer_id customer,
                                                         boost::asio::any_io_executor reader);

    // Returns the next chunks from an offset in bytes. When the page has neither chunks nor `end`,
    // the caller must wait for `ticket.reader`.
    result<answer_page> read(const answer_ticket& ticket, std::uint64_t offset);

    // Records that the connection has written all bytes before the offset to the caller.
    void acknowledge(const answer_ticket& ticket, std::uint64_t offset);

    // Detaches a connection that has ended.
    void leave(const answer_ticket& ticket);

    // Cancels a request on behalf of its caller. Fails when the request is not known.
    boost::asio::awaitable<result<void>> cancel(requests::request_identity identity,
                                                customer_id customer);

    // Posts an action of the dispatcher to the strand of the request that it concerns.
    void route(const serving::action& action);

    // Sets a function that is posted once, when no request is running any more.
    void on_idle(std::function<void()> function);

    std::size_t running_count() const noexcept { return running_; }

    // Applies the service-level objectives of a configuration.
    void configure(const config::published& config);

    // Returns the service-level counts of this instance.
    burn::snapshot burn() const;

private:
    using strand = boost::asio::strand<boost::asio::any_io_executor>;
    using request_ptr = std::shared_ptr<running_request>;
    using call_ptr = std::shared_ptr<stage_call>;

    strand& strand_of(std::uint64_t sequence) { return strands_[sequence % strands_.size()]; }
    result<answer_ticket> submit_on_strand(caller_request request,
                                           const boost::asio::any_io_executor& reader);
    void begin_request(request_shard& shard, caller_request request,
                       std::shared_ptr<requests::answer_log> answer);
    answer_ticket make_ticket(request_shard& shard, std::uint64_t sequence,
                              std::shared_ptr<requests::answer_log> answer,
                              const boost::asio::any_io_executor& reader);

    template <class Function>
    void if_running(std::uint64_t sequence, Function&& function);
    template <class Function>
    void update_run(std::uint64_t sequence, Function&& function);
    void post_to_request(std::uint64_t sequence,
                         std::function<void(request_shard&, const request_ptr&)> function);

    void perform(request_shard& shard, const request_ptr& request,
                 const std::vector<requests::run_action>& actions);
    void perform(request_shard&, const request_ptr& request,
                 const requests::choose_endpoint& action);
    void perform(request_shard&, const request_ptr& request, const requests::open_call& action);
    void perform(request_shard&, const request_ptr& request, const requests::check_call& action);
    void perform(request_shard&, const request_ptr& request, const requests::send_call& action);
    void perform(request_shard&, const request_ptr& request, const requests::end_call& action);
    void perform(request_shard&, const request_ptr& request, const requests::append_answer& action);
    void perform(request_shard& shard, const request_ptr& request,
                 const requests::finish_answer& action);
    void perform(request_shard& shard, const request_ptr& request,
                 const requests::fail_answer& action);

    void start_attempt(const serving::start_attempt& action);
    void cancel_attempt(const serving::cancel_attempt& action);
    void finish(request_shard& shard, const request_ptr& request, requests::answer_end end);
    void record(const request_ptr& request, const requests::answer_end& end);
    void report_result(const request_ptr& request, stage_call& call, bool succeeded);
    void record_frame(const request_ptr& request, const stage_call& call);
    void wake_readers(running_request& request);

    boost::asio::awaitable<void> run_call(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> read_answer(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> wait_for_answer_space(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> run_timers();
    void handle_event(const request_ptr& request, const call_ptr& call,
                      const requests::attempt_event& event);
    std::optional<requests::check_failed> final_check(const running_request& request,
                                                      const stage_call& call, time_point now) const;
    net::http_request make_call_request(const running_request& request,
                                        const stage_call& call) const;
    void expire(time_point now);

    boost::asio::any_io_executor executor_;
    shared_state& state_;
    control_plane& control_;
    locked_dispatcher& dispatcher_;
    endpoint_links& links_;
    credential_registry& credentials_;
    mutable sharded<request_shard> shards_;
    std::vector<strand> strands_;
    mutable sharded<burn::recorder> burn_;
    std::atomic<std::size_t> running_{0};
    std::mutex idle_mutex_; // guards `on_idle_`
    std::function<void()> on_idle_;
};

} // namespace quetzal::node

#endif
