#include <quetzal/gateway/stage_coordinator.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/gateway/decision_log.hpp>
#include <quetzal/gateway/endpoint_announcement.hpp>
#include <quetzal/gateway/endpoints/load_header.hpp>
#include <quetzal/gateway/http_status.hpp>
#include <quetzal/gateway/spawn.hpp>

namespace quetzal::gateway {

namespace asio = boost::asio;

namespace {

// Delay of a dispatch after a job arrives, so that pieces of several jobs share a call.
constexpr duration batching_delay = std::chrono::milliseconds(3);
// Interval of dispatches while there is work, to notice deadlines and endpoints that are no longer
// avoided.
constexpr duration recheck_delay = std::chrono::milliseconds(50);
constexpr duration connect_timeout = std::chrono::milliseconds(400);
constexpr duration send_timeout = std::chrono::milliseconds(500);
// A call times out after its expected time multiplied by this factor, plus the margin.
constexpr int timeout_factor = 3;
constexpr duration timeout_margin = std::chrono::milliseconds(300);
// A call that takes longer than its expected time multiplied by this factor is logged.
constexpr int slow_log_factor = 2;
constexpr duration release_delay = std::chrono::milliseconds(5);
constexpr duration watch_interval = std::chrono::milliseconds(100);
constexpr std::size_t answer_limit = 1u << 20;          // bytes of the response to a call
constexpr std::size_t release_answer_limit = 16u << 10; // bytes
constexpr std::string_view coordinator_role = "stages";

// Returns the key of the role of coordinating a share.
std::string role_of(const stage_share& share)
{
    std::string role(coordinator_role);
    return share.empty() ? role : role + "/" + share;
}

bool names_results(const std::vector<piece_outcome>& outcomes)
{
    return std::any_of(outcomes.begin(), outcomes.end(), [](const piece_outcome& outcome) {
        return outcome.status == piece_status::done && !outcome.handle.empty();
    });
}

std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

stage_coordinator::stage_coordinator(asio::io_context& context, catalog& view,
                                     channel_pool& channels, member_table& members,
                                     peer_link& peers, header_names names, stage_protocol protocol,
                                     retry_budget_options budget)
    : context_(context), view_(view), channels_(channels), members_(members), peers_(peers),
      names_(std::move(names)), protocol_(std::move(protocol)), budget_(budget), division_(view),
      dispatch_timer_(context), release_timer_(context), watch_timer_(context)
{
    spawn(context_, "watch_conductors", watch_coordinators());
}

std::uint64_t stage_coordinator::submit(local_job job, completion done)
{
    const std::uint64_t ticket = next_number_++;
    open_job opened;
    opened.job = std::move(job);
    opened.done = std::move(done);
    send_job(ticket, open_.emplace(ticket, std::move(opened)).first->second);
    return ticket;
}

stage_scheduler& stage_coordinator::scheduler_of(const stage_share& share)
{
    const auto [found, added] = schedulers_.try_emplace(share, view_, budget_, share);
    if (added) {
        found->second.set_schedulers(division_.shares().size());
    }
    return found->second;
}

std::size_t stage_coordinator::open_jobs() const
{
    std::size_t jobs = 0;
    for (const auto& [share, scheduler] : schedulers_) {
        jobs += scheduler.open_jobs();
    }
    return jobs;
}

void stage_coordinator::send_job(std::uint64_t ticket, open_job& opened)
{
    ++opened.attempt;
    const time_point now = boot_clock::now();
    if (!members_.joined(now)) {
        opened.coordinator.clear(); // sent later, when this instance knows its peers
        return;
    }
    if (opened.candidates.empty()) {
        opened.candidates = division_.candidates(opened.job.content, members_.self().zone);
    }
    const stage_share share = opened.candidates[opened.current];
    job_submission message{current_submission(ticket, opened), share, opened.job.content};
    if (!share.empty()) {
        message.job.zone = share;
    }
    message.job.latency_budget_ms =
        static_cast<std::int32_t>(whole_milliseconds(opened.job.latency_deadline - now));
    message.job.remaining_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(whole_milliseconds(opened.job.deadline - now), 0));
    opened.coordinator = members_.role_owner(role_of(share), now, share);
    opened.process = members_.process_at(opened.coordinator);
    if (opened.coordinator == members_.self().address) {
        take({}, message);
    } else {
        peers_.send(opened.coordinator, message);
    }
}

void stage_coordinator::release(std::uint64_t ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end()) {
        return;
    }
    const std::string coordinator = found->second.coordinator;
    const submission_id id = current_submission(ticket, found->second);
    open_.erase(found);
    if (!coordinator.empty()) {
        send_release(coordinator, id);
    }
}

submission_id stage_coordinator::current_submission(std::uint64_t ticket,
                                                    const open_job& opened) const
{
    return {members_.self().process, ticket, opened.attempt};
}

void stage_coordinator::send_release(const std::string& coordinator, const submission_id& id)
{
    if (coordinator == members_.self().address) {
        take({}, job_release{id});
    } else {
        peers_.send(coordinator, job_release{id});
    }
}

void stage_coordinator::move_job(std::uint64_t ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end()) {
        return; // ended by the outcome of another job
    }
    open_job& opened = found->second;
    const std::string former = opened.coordinator;
    const submission_id withdrawn = current_submission(ticket, opened);
    log_event("job_moved",
              {{"request", opened.job.content.request_id}, {"lost_conductor", former}});
    if (members_.is_live(former, boot_clock::now())) {
        send_release(former, withdrawn);
    }
    send_job(ticket, opened);
}

void stage_coordinator::complete_job(const std::string& from, const submission_id& id,
                                     const job_outcome& outcome)
{
    const std::uint64_t ticket = id.ticket;
    const auto found = open_.find(ticket);
    if (found == open_.end() || id != current_submission(ticket, found->second)) {
        log_event("stale_job_answer", {{"coordinator", from},
                                       {"ticket", ticket},
                                       {"attempt", id.attempt},
                                       {"own_process", id.process == members_.self().process}});
        if (outcome.status == job_status::done) {
            send_release(from.empty() ? members_.self().address : from, id);
        }
        return;
    }
    if (found->second.answered) {
        return;
    }
    open_job& opened = found->second;
    if (outcome.status == job_status::handed_back) {
        if (opened.coordinator != members_.self().address) {
            // It knows of a successor that this instance has not heard of yet.
            members_.mark_unreliable(opened.coordinator, boot_clock::now());
        }
        send_job(ticket, opened);
        return;
    }
    if (outcome.status == job_status::refused && opened.current + 1 < opened.candidates.size()) {
        ++opened.current;
        send_job(ticket, opened);
        return;
    }
    found->second.answered = true;
    const completion done = std::move(found->second.done);
    if (outcome.status != job_status::done) {
        open_.erase(found);
    }
    done(outcome);
}

void stage_coordinator::take(const std::string& from, const job_submission& message)
{
    const job_number number = next_number_++;
    submissions_[number] = {from, message.id, message.share};
    job_numbers_[{from, message.id}] = number;
    perform(message.share, scheduler_of(message.share).add(number, message.job, boot_clock::now()));
    schedule_dispatch(batching_delay);
}

void stage_coordinator::take(const std::string& from, const job_release& message)
{
    const auto found = job_numbers_.find({from, message.id});
    if (found == job_numbers_.end()) {
        return;
    }
    const job_number number = found->second;
    job_numbers_.erase(found);
    const auto submitted = submissions_.extract(number);
    const stage_share& share = submitted.mapped().share;
    perform(share, scheduler_of(share).cancel(number));
}

void stage_coordinator::take(const std::string& from, const job_answer& message)
{
    complete_job(from, message.id, message.outcome);
}

void stage_coordinator::resend_jobs_of(const std::string& coordinator)
{
    std::vector<std::uint64_t> moved;
    for (const auto& [ticket, job] : open_) {
        if (job.coordinator == coordinator && !job.answered) {
            moved.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : moved) {
        move_job(ticket);
    }
}

void stage_coordinator::peer_lost(const std::string& address, std::uint64_t process)
{
    resend_jobs_of(address);
    if (process == 0) {
        return; // no job can have come over a connection without a greeting
    }
    std::vector<submission_id> abandoned_jobs;
    for (const auto& [submitted, number] : job_numbers_) {
        const auto& [submitter, id] = submitted;
        if (submitter == address && id.process == process) {
            abandoned_jobs.push_back(id);
        }
    }
    for (const submission_id& id : abandoned_jobs) {
        take(address, job_release{id});
    }
}

std::size_t stage_coordinator::unfinished_peer_jobs() const
{
    const auto unfinished =
        std::count_if(submissions_.begin(), submissions_.end(), [this](const auto& entry) {
            const auto& [number, submitted] = entry;
            return !submitted.from.empty() && schedulers_.at(submitted.share).is_running(number);
        });
    return static_cast<std::size_t>(unfinished);
}

asio::awaitable<void> stage_coordinator::watch_coordinators()
{
    while (true) {
        watch_timer_.expires_after(watch_interval);
        boost::system::error_code error;
        co_await watch_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const time_point now = boot_clock::now();
        std::vector<std::uint64_t> unsent;
        std::vector<std::uint64_t> lost;    // with a coordinator that has restarted since
        std::set<std::string> coordinators; // that have jobs of this instance
        for (const auto& [ticket, job] : open_) {
            if (job.coordinator.empty()) {
                unsent.push_back(ticket);
            } else if (!job.answered) {
                const std::uint64_t process = members_.process_at(job.coordinator);
                const bool restarted = job.process != 0 && process != 0 && process != job.process;
                if (restarted) {
                    lost.push_back(ticket);
                }
                coordinators.insert(job.coordinator);
            }
        }
        // A job that is refused at once is removed from `open_`, which the loop above iterates
        // over, so it is sent only here.
        for (const std::uint64_t ticket : unsent) {
            if (const auto found = open_.find(ticket); found != open_.end()) {
                send_job(ticket, found->second);
            }
        }
        for (const std::uint64_t ticket : lost) {
            move_job(ticket);
        }
        contacts_.keep_only(coordinators);
        for (const auto& address : coordinators) {
            check_contact(address, now);
        }
        update_roles(now);
    }
}

void stage_coordinator::check_contact(const std::string& coordinator, time_point now)
{
    const duration silence = members_.silence(coordinator, now);
    switch (contacts_.judge(coordinator, silence, now)) {
    case coordinator_contact::fresh:
        break;
    case coordinator_contact::ask:
        peers_.probe(coordinator);
        break;
    case coordinator_contact::lost:
        log_event("coordinator_silent",
                  {{"address", coordinator}, {"silence_ms", whole_milliseconds(silence)}});
        members_.mark_unreliable(coordinator, now);
        resend_jobs_of(coordinator);
        break;
    }
}

void stage_coordinator::update_roles(time_point now)
{
    const auto shares = division_.shares();
    const member_record& self = members_.self();
    const bool own_zone = std::find(shares.begin(), shares.end(), self.zone) != shares.end();
    const stage_share own_share = own_zone ? self.zone : shares.front();
    members_.update_role(role_of(own_share), now, own_share);
    std::vector<stage_share> lost_shares;
    for (auto& [share, scheduler] : schedulers_) {
        scheduler.set_schedulers(shares.size());
        const std::string owner = members_.role_owner(role_of(share), now, share);
        // Peers may have noticed the loss of a silent owner before this instance.
        if (owner != self.address && members_.silence(owner, now) < coordinator_watch::lost_after) {
            lost_shares.push_back(share);
        }
    }
    // Jobs of this instance that are handed back may be sent to a further share of this instance.
    for (const stage_share& share : lost_shares) {
        perform(share, scheduler_of(share).hand_back_jobs(now));
    }
}

void stage_coordinator::dispatch_all(time_point now)
{
    std::vector<std::pair<stage_share, scheduler_actions>> decided;
    for (auto& [share, scheduler] : schedulers_) {
        decided.emplace_back(share, scheduler.dispatch(now));
    }
    for (const auto& [share, actions] : decided) {
        perform(share, actions);
    }
    if (std::any_of(schedulers_.begin(), schedulers_.end(),
                    [](const auto& entry) { return entry.second.has_work(); }))
    {
        schedule_dispatch(recheck_delay);
    }
}

void stage_coordinator::schedule_dispatch(duration delay)
{
    if (dispatch_scheduled_) {
        return;
    }
    dispatch_scheduled_ = true;
    dispatch_timer_.expires_after(delay);
    dispatch_timer_.async_wait([this](const boost::system::error_code& error) {
        dispatch_scheduled_ = false;
        if (error) {
            return;
        }
        dispatch_all(boot_clock::now());
    });
}

void stage_coordinator::perform(const stage_share& share, const scheduler_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([&](const auto& content) { perform(share, content); }, action);
    }
}

void stage_coordinator::perform(const stage_share& share, const start_call& action)
{
    spawn(context_, "run_call", run_call(share, action));
}

void stage_coordinator::perform(const stage_share&, const job_ended& action)
{
    const auto found = submissions_.find(action.job);
    if (found == submissions_.end()) {
        return;
    }
    const submission submitted = found->second;
    if (action.outcome.status != job_status::done) {
        submissions_.erase(found);
        job_numbers_.erase({submitted.from, submitted.id});
    }
    if (submitted.from.empty()) {
        complete_job({}, submitted.id, action.outcome);
    } else {
        peers_.send(submitted.from, job_answer{submitted.id, action.outcome});
    }
}

void stage_coordinator::perform(const stage_share& share, const release_results& action)
{
    for (const auto& handle : action.handles) {
        pending_releases_[{share, protocol_.endpoint_address_of(handle)}].push_back(handle);
    }
    if (release_scheduled_) {
        return;
    }
    release_scheduled_ = true;
    release_timer_.expires_after(release_delay);
    release_timer_.async_wait([this](const boost::system::error_code& error) {
        release_scheduled_ = false;
        if (error) {
            return;
        }
        for (auto& [target, handles] : std::exchange(pending_releases_, {})) {
            const auto& [released_share, endpoint_address] = target;
            spawn(context_, "send_releases",
                  send_releases(released_share, endpoint_address, std::move(handles)));
        }
    });
}

asio::awaitable<void> stage_coordinator::run_call(stage_share share, start_call call)
{
    const time_point started = boot_clock::now();
    const auto outcomes = co_await exchange(share, call);
    const time_point now = boot_clock::now();
    if (outcomes && now - started > call.expected * slow_log_factor) {
        log_event("stage_call_slow", {{"service", call.target.service},
                                      {"endpoint", call.target.id},
                                      {"pieces", call.pieces.size()},
                                      {"first_request", call.pieces.front().request_id},
                                      {"took_ms", whole_milliseconds(now - started)},
                                      {"expected_ms", whole_milliseconds(call.expected)}});
    }
    if (outcomes) {
        const auto rejected_results =
            std::count_if(outcomes->begin(), outcomes->end(), [](const piece_outcome& outcome) {
                return outcome.status == piece_status::out_of_memory;
            });
        if (rejected_results > 0) {
            log_event("stage_results_without_room",
                      {{"service", call.target.service},
                       {"endpoint", call.target.id},
                       {"pieces", call.pieces.size()},
                       {"without_room", rejected_results},
                       {"first_request", call.pieces.front().request_id}});
        }
        perform(share, scheduler_of(share).call_ended(call.call, *outcomes, now));
    } else {
        const failure& error = outcomes.error();
        log_event("stage_call_failed", {{"service", call.target.service},
                                        {"endpoint", call.target.id},
                                        {"pieces", call.pieces.size()},
                                        {"first_request", call.pieces.front().request_id},
                                        {"verdict", to_string(error.run)},
                                        {"detail", error.detail}});
        perform(share, scheduler_of(share).call_failed(call.call, error.run,
                                                       error.why == reason::overloaded, now));
    }
    perform(share, scheduler_of(share).dispatch(now));
    if (scheduler_of(share).has_work()) {
        schedule_dispatch(recheck_delay);
    }
}

asio::awaitable<result<std::vector<piece_outcome>>>
stage_coordinator::exchange(const stage_share& share, const start_call& call)
{
    const endpoint& target = call.target;
    auto taken = co_await channels_.acquire(target, connect_timeout);
    if (!taken) {
        co_return tl::unexpected(taken.error());
    }
    const std::shared_ptr<channel> connection = *taken;
    if (!view_.accepts_work(target)) {
        channels_.release(target, connection, boot_clock::now());
        co_return not_run(reason::no_endpoint, "the endpoint no longer accepts work");
    }
    const std::string body = protocol_.encode_call(call.pieces, boot_clock::now());
    const std::string head = post_head(protocol_.run_target, address_text(target.address),
                                       body.size(), names_.expected_endpoint, target.id);
    if (const auto sent = co_await connection->send(head, body, send_timeout); !sent) {
        co_return tl::unexpected(sent.error());
    }
    const duration timeout = call.expected * timeout_factor + timeout_margin;
    const auto status = co_await connection->read_head(timeout);
    if (!status) {
        co_return tl::unexpected(status.error());
    }
    record_announcement(view_, target, read_announcement(connection->headers(), *status, names_),
                        boot_clock::now());
    const auto load_field = connection->headers()[names_.load];
    if (const auto load = read_load({load_field.data(), load_field.size()}); load && load->pace) {
        scheduler_of(share).record_pace(target, *load->pace, boot_clock::now());
    }
    const bool refused =
        connection->headers().find(names_.not_run) != connection->headers().end() ||
        *status == http_status::misdirected;
    auto answer = co_await connection->read_whole_body(answer_limit, timeout);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    auto outcomes = *status == http_status::ok && !refused
                        ? protocol_.decode_call(*answer, call.pieces.size())
                        : std::nullopt;
    // A response names no call. The handles of its results are unique, so that a second copy of an
    // earlier response is recognized; a connection whose last response has none is not used again.
    const bool repeated = connection->record_body(stable_hash(*answer));
    if (repeated || !outcomes || !names_results(*outcomes)) {
        connection->close();
    }
    channels_.release(target, connection, boot_clock::now());
    if (repeated) {
        log_event("stray_answer", {{"endpoint", target.id},
                                   {"service", target.service},
                                   {"first_request", call.pieces.front().request_id}});
        co_return may_have_run(reason::answer_mismatch,
                               "second copy of an earlier response of the stage endpoint");
    }
    const std::string detail = "stage endpoint responded with status " + std::to_string(*status);
    if (refused) {
        co_return not_run(
            *status == http_status::unavailable ? reason::overloaded : reason::no_endpoint, detail);
    }
    if (!outcomes) {
        co_return may_have_run(reason::endpoint_failed, detail);
    }
    co_return std::move(*outcomes);
}

asio::awaitable<void> stage_coordinator::send_releases(stage_share share,
                                                       std::string endpoint_address,
                                                       std::vector<std::string> handles)
{
    const auto& endpoints = view_.endpoints();
    const auto found = std::find_if(endpoints.begin(), endpoints.end(), [&](const auto& entry) {
        return address_text(entry.second.address) == endpoint_address;
    });
    if (found == endpoints.end() || !view_.accepts_work(found->second)) {
        co_return; // the endpoint is gone or accepts no new work; its results will expire
    }
    const endpoint target = found->second;
    auto taken = co_await channels_.acquire(target, connect_timeout);
    if (!taken) {
        co_return; // the results will expire
    }
    const std::shared_ptr<channel> connection = *taken;
    const std::string body = protocol_.encode_release(handles);
    const std::string head = post_head(protocol_.release_target, endpoint_address, body.size(),
                                       names_.expected_endpoint, target.id);
    const auto log_failure = [&](const failure& why) {
        log_event("stage_release_failed", {{"service", target.service},
                                           {"endpoint", target.id},
                                           {"results", handles.size()},
                                           {"detail", why.detail}});
    };
    if (const auto sent = co_await connection->send(head, body, send_timeout); !sent) {
        log_failure(sent.error());
        co_return;
    }
    const auto status = co_await connection->read_head(send_timeout);
    if (!status) {
        log_failure(status.error());
        co_return;
    }
    record_announcement(view_, target, read_announcement(connection->headers(), *status, names_),
                        boot_clock::now());
    const auto answer = co_await connection->read_whole_body(release_answer_limit, send_timeout);
    if (!answer) {
        log_failure(answer.error());
        co_return;
    }
    channels_.release(target, connection, boot_clock::now());
    scheduler_of(share).confirm_released(handles);
    schedule_dispatch(duration::zero());
}

} // namespace quetzal::gateway
