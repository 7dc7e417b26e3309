#ifndef QUETZAL_GATEWAY_STAGE_COORDINATOR_HPP
#define QUETZAL_GATEWAY_STAGE_COORDINATOR_HPP

// Carries out the decisions of the stage schedulers. One instance, the coordinator, schedules the
// stages of the whole fleet, or one in each availability zone those of its zone (see
// `stage_division`). The member table chooses the coordinators among the live instances, and the
// others send them their jobs. A job that one coordinator refuses is offered to another one. When a
// coordinator is lost, its jobs are sent to its successor. Every instance accepts jobs of any share
// from itself and from peers at any time.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/channel_pool.hpp>
#include <quetzal/gateway/coordinator_watch.hpp>
#include <quetzal/gateway/header_names.hpp>
#include <quetzal/gateway/member_table.hpp>
#include <quetzal/gateway/peer_link.hpp>
#include <quetzal/gateway/stage_division.hpp>
#include <quetzal/gateway/stage_protocol.hpp>
#include <quetzal/gateway/stage_scheduler.hpp>

namespace quetzal::gateway {

// A job of a request that this instance serves.
struct local_job
{
    stage_job content; // its relative times are set when it is sent
    time_point latency_deadline;
    time_point deadline;
};

class stage_coordinator
{
public:
    using completion = std::function<void(job_outcome outcome)>;

    stage_coordinator(boost::asio::io_context& context, catalog& view, channel_pool& channels,
                      member_table& members, peer_link& peers, header_names names,
                      stage_protocol protocol, retry_budget_options budget);

    // Runs the stages of a request. `done` is called once, unless the job is released before.
    // Returns a ticket that identifies the job.
    std::uint64_t submit(local_job job, completion done);

    // Cancels a job, or releases its results if it is finished.
    void release(std::uint64_t ticket);

    // Handle a message about jobs from a peer. An empty `from` means this instance.
    void take(const std::string& from, const job_submission& message);
    void take(const std::string& from, const job_release& message);
    void take(const std::string& from, const job_answer& message);

    // Called when a connection to a peer was lost. Resends the jobs that the peer was scheduling,
    // and cancels those that the process at the other end had submitted.
    void peer_lost(const std::string& address, std::uint64_t process);

    // Returns the number of jobs that this instance schedules.
    std::size_t open_jobs() const;

    // Returns the number of jobs of other instances that are not finished.
    std::size_t unfinished_peer_jobs() const;

    // Schedules a dispatch after a change of the catalog.
    void refresh() { schedule_dispatch(duration::zero()); }

private:
    // A job of this instance, scheduled by itself or by a peer.
    struct open_job
    {
        local_job job;
        completion done;
        std::vector<stage_share> candidates; // shares in the order in which to try them
        std::size_t current = 0;             // index of the share that the job was sent to
        std::string coordinator;             // address; empty: not sent yet
        std::uint64_t process = 0;           // of the coordinator, as known when the job was sent
        std::uint32_t attempt = 0;           // number of submissions
        bool answered = false;
    };

    // A job that this instance schedules.
    struct submission
    {
        std::string from; // address of the submitting instance; empty: this one
        submission_id id;
        stage_share share;
    };

    stage_scheduler& scheduler_of(const stage_share& share);
    void send_job(std::uint64_t ticket, open_job& job);
    submission_id current_submission(std::uint64_t ticket, const open_job& opened) const;
    void send_release(const std::string& coordinator, const submission_id& id);
    // Sends a job to the present coordinator, and withdraws it from the former one.
    void move_job(std::uint64_t ticket);
    void resend_jobs_of(const std::string& coordinator);
    // `from` is the coordinator; empty: this instance.
    void complete_job(const std::string& from, const submission_id& id, const job_outcome& outcome);
    void perform(const stage_share& share, const scheduler_actions& actions);
    void perform(const stage_share& share, const start_call& action);
    void perform(const stage_share& share, const job_ended& action);
    void perform(const stage_share& share, const release_results& action);
    void schedule_dispatch(duration delay);
    void dispatch_all(time_point now);
    boost::asio::awaitable<void> run_call(stage_share share, start_call call);
    boost::asio::awaitable<result<std::vector<piece_outcome>>> exchange(const stage_share& share,
                                                                        const start_call& call);
    boost::asio::awaitable<void> send_releases(stage_share share, std::string endpoint_address,
                                               std::vector<std::string> handles);
    boost::asio::awaitable<void> watch_coordinators();
    // Asks a silent coordinator for a sign of life, or sends its jobs elsewhere.
    void check_contact(const std::string& coordinator, time_point now);
    void update_roles(time_point now);

    boost::asio::io_context& context_;
    catalog& view_;
    channel_pool& channels_;
    member_table& members_;
    peer_link& peers_;
    header_names names_;
    stage_protocol protocol_;
    retry_budget_options budget_;
    stage_division division_;
    std::map<stage_share, stage_scheduler> schedulers_; // created when a job arrives
    coordinator_watch contacts_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, open_job> open_; // by ticket
    std::map<job_number, submission> submissions_;
    // By address of the submitting instance.
    std::map<std::pair<std::string, submission_id>, job_number> job_numbers_;
    // Handles by share and endpoint address.
    std::map<std::pair<stage_share, std::string>, std::vector<std::string>> pending_releases_;
    boost::asio::steady_timer dispatch_timer_;
    boost::asio::steady_timer release_timer_;
    boost::asio::steady_timer watch_timer_;
    bool dispatch_scheduled_ = false;
    bool release_scheduled_ = false;
};

} // namespace quetzal::gateway

#endif
