#ifndef QUETZAL_NODE_REQUEST_ENGINE_HPP
#define QUETZAL_NODE_REQUEST_ENGINE_HPP

// Runs requests: joins the request table, the pipeline runs, the dispatcher and the calls to
// endpoints. Every request belongs to a shard; all changes of a shard happen on its strand and
// under its lock.

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
#include <quetzal/node/running_request.hpp>
#include <quetzal/node/serving_front.hpp>

namespace quetzal::node {

// What a connection needs to read an answer.
struct answer_ticket
{
    std::uint64_t sequence = 0;
    std::shared_ptr<requests::answer_log> answer;
    std::shared_ptr<wakeup> reader;
};

// Chunks to write next. The answer is complete when `end` is set.
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
                   control_plane& control, serving_front& front, endpoint_links& links,
                   credential_registry& credentials);

    // Starts the timers.
    void start();

    // Starts the request or attaches to its answer; `reader` is the connection's executor.
    boost::asio::awaitable<result<answer_ticket>> submit(caller_request request,
                                                         boost::asio::any_io_executor reader);

    // Attaches to the answer of a request that was submitted before.
    boost::asio::awaitable<result<answer_ticket>> attach(requests::request_identity identity,
                                                         customer_id customer,
                                                         boost::asio::any_io_executor reader);

    // Returns the next chunks from an offset; empty without `end` means to wait for
    // `ticket.reader`.
    result<answer_page> read(const answer_ticket& ticket, std::uint64_t offset);

    // The connection has passed on everything before the offset.
    void acknowledge(const answer_ticket& ticket, std::uint64_t offset);

    // The connection has ended.
    void leave(const answer_ticket& ticket);

    // Ends a request for a caller who asked for it. Fails when it is not known.
    boost::asio::awaitable<result<void>> cancel(requests::request_identity identity,
                                                customer_id customer);

    // Passes a dispatcher's action to the request it concerns. Only posts.
    void route(const serving::action& action);

    // Sets what to do when the last running request has ended.
    void on_idle(std::function<void()> function);

    std::size_t running() const noexcept { return running_; }

    // Takes the targets of a configuration.
    void configure(const config::published& config);

    // The service-level counts of this instance.
    burn::snapshot burn() const;

private:
    using strand = boost::asio::strand<boost::asio::any_io_executor>;
    using request_ptr = std::shared_ptr<running_request>;
    using call_ptr = std::shared_ptr<stage_call>;

    strand& strand_of(std::uint64_t sequence) { return strands_[sequence % strands_.size()]; }
    result<answer_ticket> submit_here(caller_request request,
                                      const boost::asio::any_io_executor& reader);
    void begin(request_shard& shard, caller_request request,
               std::shared_ptr<requests::answer_log> answer);
    answer_ticket make_ticket(request_shard& shard, std::uint64_t sequence,
                              std::shared_ptr<requests::answer_log> answer,
                              const boost::asio::any_io_executor& reader);

    template <class Function>
    void with_request(std::uint64_t sequence, Function&& function);
    template <class Function>
    void change(std::uint64_t sequence, Function&& function);
    void on_strand(std::uint64_t sequence,
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
    void report_end(const request_ptr& request, stage_call& call, bool succeeded);
    void note_frame(const request_ptr& request, const stage_call& call);
    void wake_readers(running_request& request);

    boost::asio::awaitable<void> run_call(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> read_answer(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> wait_for_room(request_ptr request, call_ptr call);
    boost::asio::awaitable<void> run_timers();
    void raise(const request_ptr& request, const call_ptr& call,
               const requests::attempt_event& event);
    std::optional<requests::check_failed> final_check(const running_request& request,
                                                      const stage_call& call, time_point now) const;
    net::http_request make_call_request(const running_request& request,
                                        const stage_call& call) const;
    void expire(time_point now);

    boost::asio::any_io_executor executor_;
    shared_state& state_;
    control_plane& control_;
    serving_front& front_;
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
