#include <quetzal/node/request_engine.hpp>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/node/call_on.hpp>
#include <quetzal/node/log.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
using config::log_level;

namespace {

constexpr std::size_t max_page_size = 64u << 10; // bytes of one answer page
// Time in which a caller can reconnect with its identity after its connection was lost, before
// idempotent work is cancelled.
constexpr duration reconnect_grace = std::chrono::seconds(5);
constexpr duration busy_timer_interval = std::chrono::milliseconds(10);
constexpr duration idle_timer_interval = std::chrono::milliseconds(100);
serving::request_key request_key_of(std::uint64_t sequence)
{
    return serving::request_key{sequence};
}

std::uint64_t sequence_of(serving::call_key call)
{
    return static_cast<std::uint64_t>(call) / stages_per_request;
}

std::size_t stage_of(serving::call_key call)
{
    return static_cast<std::size_t>(static_cast<std::uint64_t>(call) % stages_per_request);
}

requests::table_limits make_table_limits(const config::settings& settings)
{
    requests::table_limits limits;
    limits.memory = std::make_shared<requests::memory_budget>(settings.limits.total_memory);
    return limits;
}

digest body_digest(const caller_request& request)
{
    return sha256(request.work_class.id.name + '\n' + request.body);
}

} // namespace

request_engine::request_engine(const asio::any_io_executor& executor, shared_state& state,
                               control_plane& control, locked_dispatcher& dispatcher,
                               endpoint_links& links, credential_registry& credentials)
    : executor_(executor), state_(state), control_(control), dispatcher_(dispatcher), links_(links),
      credentials_(credentials),
      shards_(state.settings.runtime.shards, make_table_limits(state.settings)),
      burn_(state.settings.runtime.shards, boot_clock::now(),
            burn::default_max_pairs / state.settings.runtime.shards)
{
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        strands_.push_back(asio::make_strand(executor));
    }
}

void request_engine::start()
{
    asio::co_spawn(asio::make_strand(executor_), run_timers(), asio::detached);
}

template <class Function>
void request_engine::if_running(std::uint64_t sequence, Function&& function)
{
    shards_.with(sequence, [&](request_shard& shard) {
        if (const auto found = shard.running.find(sequence); found != shard.running.end()) {
            const request_ptr request =
                found->second; // keeps the request alive when the function ends it
            function(shard, request);
        }
    });
}

template <class Function>
void request_engine::update_run(std::uint64_t sequence, Function&& function)
{
    if_running(sequence, [&](request_shard& shard, const request_ptr& request) {
        std::vector<requests::run_action> actions;
        function(*request, actions);
        perform(shard, request, actions);
    });
}

void request_engine::post_to_request(
    std::uint64_t sequence, std::function<void(request_shard&, const request_ptr&)> function)
{
    asio::post(strand_of(sequence),
               [self = shared_from_this(), sequence, function = std::move(function)] {
                   self->if_running(sequence, function);
               });
}

asio::awaitable<result<answer_ticket>> request_engine::submit(caller_request request,
                                                              asio::any_io_executor reader)
{
    const auto sequence = request.identity.sequence;
    auto job = [self = shared_from_this(), request = std::move(request), reader]() mutable {
        return self->submit_on_strand(std::move(request), reader);
    };
    co_return co_await call_on<result<answer_ticket>>(strand_of(sequence), std::move(job));
}

result<answer_ticket> request_engine::submit_on_strand(caller_request request,
                                                       const asio::any_io_executor& reader)
{
    const auto sequence = request.identity.sequence;
    return shards_.with(sequence, [&](request_shard& shard) -> result<answer_ticket> {
        const customer_id owner = request.open ? customer_id() : request.customer;
        const requests::submission submitted{request.identity, owner, body_digest(request),
                                             request.work_class.idempotent};
        auto decision = shard.table.submit(submitted, boot_clock::now());
        if (auto* refusal = std::get_if<failure>(&decision)) {
            return tl::unexpected(std::move(*refusal));
        }
        if (auto* attach = std::get_if<requests::attach_to_answer>(&decision)) {
            return make_ticket(shard, sequence, std::move(attach->answer), reader);
        }
        auto answer = std::get<requests::start_request>(decision).answer;
        begin_request(shard, std::move(request), answer);
        return make_ticket(shard, sequence, std::move(answer), reader);
    });
}

void request_engine::begin_request(request_shard& shard, caller_request request,
                                   std::shared_ptr<requests::answer_log> answer)
{
    const auto config = state_.current().config;
    const auto* found = config ? config->find(request.work_class.pipeline) : nullptr;
    const auto sequence = request.identity.sequence;
    if (found == nullptr) {
        const failure gone{
            verdict::not_run, reason::unknown_class, "the class has no pipeline any more", {}};
        shard.table.finish(sequence, {verdict::not_run, gone}, boot_clock::now());
        return;
    }
    requests::run_request work;
    work.sequence = sequence;
    work.process = state_.process;
    work.pipeline = std::make_shared<const config::pipeline>(*found);
    work.idempotent = request.work_class.idempotent;
    work.late = request.work_class.late;
    work.deadline = request.arrived + request.work_class.objective.deadline;
    if (request.deadline) {
        work.deadline = std::min(work.deadline, *request.deadline);
    }
    credentials_.add(request_key_of(sequence),
                     {request.customer, request.key, request.open, request.work_class.id, {}});
    const serving::request_submission start{request_key_of(sequence), request.work_class.id,
                                            request.customer, request.arrived, request.deadline};
    const std::size_t stages = work.pipeline->stages.size();
    auto running =
        std::make_shared<running_request>(std::move(request), std::move(work), std::move(answer));
    running->stages.resize(stages);
    running->stage_start_times.resize(stages);
    running->producer = std::make_shared<wakeup>(strand_of(sequence));
    shard.running[sequence] = std::move(running);
    ++running_;
    dispatcher_.command([&](serving::dispatcher& dispatcher) {
        return dispatcher.submit_request(start, boot_clock::now());
    });
}

answer_ticket request_engine::make_ticket(request_shard& shard, std::uint64_t sequence,
                                          std::shared_ptr<requests::answer_log> answer,
                                          const asio::any_io_executor& reader)
{
    answer_ticket ticket{sequence, std::move(answer), std::make_shared<wakeup>(reader)};
    if (const auto found = shard.running.find(sequence); found != shard.running.end()) {
        auto& request = *found->second;
        std::erase_if(request.readers, [](const auto& entry) { return entry.expired(); });
        request.readers.push_back(ticket.reader);
        ++request.connections;
        request.abandoned = false;
    }
    return ticket;
}

asio::awaitable<result<answer_ticket>> request_engine::attach(requests::request_identity identity,
                                                              customer_id customer,
                                                              asio::any_io_executor reader)
{
    const auto sequence = identity.sequence;
    auto job = [self = shared_from_this(), identity = std::move(identity),
                customer = std::move(customer), reader] {
        return self->shards_.with(
            identity.sequence, [&](request_shard& shard) -> result<answer_ticket> {
                auto answer = shard.table.find(identity, customer, boot_clock::now());
                if (!answer) {
                    return tl::unexpected(std::move(answer.error()));
                }
                return self->make_ticket(shard, identity.sequence, std::move(*answer), reader);
            });
    };
    co_return co_await call_on<result<answer_ticket>>(strand_of(sequence), std::move(job));
}

result<answer_page> request_engine::read(const answer_ticket& ticket, std::uint64_t offset)
{
    return shards_.with(ticket.sequence, [&](request_shard&) -> result<answer_page> {
        answer_page page;
        if (auto done = ticket.answer->read(offset, max_page_size, page.chunks); !done) {
            return tl::unexpected(std::move(done.error()));
        }
        const std::uint64_t after =
            page.chunks.empty() ? offset
                                : page.chunks.back().offset + page.chunks.back().data.size();
        if (after >= ticket.answer->size()) {
            page.end = ticket.answer->ended();
        }
        return page;
    });
}

void request_engine::acknowledge(const answer_ticket& ticket, std::uint64_t offset)
{
    shards_.with(ticket.sequence, [&](request_shard& shard) {
        ticket.answer->acknowledge(offset);
        if (const auto found = shard.running.find(ticket.sequence); found != shard.running.end()) {
            found->second->producer->notify();
        }
    });
}

void request_engine::leave(const answer_ticket& ticket)
{
    post_to_request(ticket.sequence, [this](request_shard& shard, const request_ptr& request) {
        if (request->connections > 0 && --request->connections > 0) {
            return;
        }
        request->abandoned = true;
        request->abandoned_at = boot_clock::now();
        if (!request->request.identity_given) {
            std::vector<requests::run_action> actions;
            request->run.caller_disconnected(actions);
            perform(shard, request, actions);
        }
    });
}

asio::awaitable<result<void>> request_engine::cancel(requests::request_identity identity,
                                                     customer_id customer)
{
    const auto sequence = identity.sequence;
    auto job = [self = shared_from_this(), identity = std::move(identity),
                customer = std::move(customer)]() -> result<void> {
        const auto decision = self->shards_.with(identity.sequence, [&](request_shard& shard) {
            return shard.table.cancel(identity, customer, boot_clock::now());
        });
        if (const auto* refusal = std::get_if<failure>(&decision)) {
            return tl::unexpected(*refusal);
        }
        self->update_run(identity.sequence, [](running_request& request, auto& actions) {
            request.run.cancel(reason::cancelled, actions);
        });
        return {};
    };
    co_return co_await call_on<result<void>>(strand_of(sequence), std::move(job));
}

void request_engine::on_idle(std::function<void()> function)
{
    const std::lock_guard lock(idle_mutex_);
    on_idle_ = std::move(function);
    if (running_ == 0 && on_idle_) {
        asio::post(executor_, std::exchange(on_idle_, nullptr));
    }
}

void request_engine::configure(const config::published& config)
{
    burn_.for_each([&](burn::recorder& recorder) { recorder.configure(config); });
}

burn::snapshot request_engine::burn() const
{
    burn::snapshot whole;
    bool first = true;
    burn_.for_each([&](burn::recorder& recorder) {
        auto part = recorder.take(state_.settings.instance, state_.process, boot_clock::now());
        if (std::exchange(first, false)) {
            whole = std::move(part);
        } else {
            whole.rows.insert(whole.rows.end(), part.rows.begin(), part.rows.end());
        }
    });
    return whole;
}

// Actions of the dispatcher.

void request_engine::route(const serving::action& action)
{
    if (const auto* admitted = std::get_if<serving::request_admitted>(&action)) {
        post_to_request(static_cast<std::uint64_t>(admitted->request),
                        [this](request_shard& shard, const request_ptr& request) {
                            std::vector<requests::run_action> actions;
                            request->run.start(actions);
                            perform(shard, request, actions);
                        });
    } else if (const auto* refused = std::get_if<serving::request_refused>(&action)) {
        post_to_request(
            static_cast<std::uint64_t>(refused->request),
            [this, why = refused->why](request_shard& shard, const request_ptr& request) mutable {
                const auto known =
                    credentials_.find(request_key_of(request->request.identity.sequence));
                if (known && known->retry_after && !why.retry_after) {
                    why.retry_after =
                        std::chrono::ceil<std::chrono::milliseconds>(*known->retry_after);
                }
                finish(shard, request, {verdict::not_run, why});
            });
    } else if (const auto* start = std::get_if<serving::start_attempt>(&action)) {
        start_attempt(*start);
    } else if (const auto* cancelled = std::get_if<serving::cancel_attempt>(&action)) {
        cancel_attempt(*cancelled);
    } else if (const auto* failed = std::get_if<serving::call_failed>(&action)) {
        post_to_request(sequence_of(failed->call),
                        [this, call = failed->call, why = failed->why](request_shard& shard,
                                                                       const request_ptr& request) {
                            std::vector<requests::run_action> actions;
                            request->failed_stage = stage_of(call);
                            request->run.deny(stage_of(call), why, actions);
                            perform(shard, request, actions);
                        });
    }
    // `select_attempt` and `call_done` need no action: the pipeline run makes the same choice when
    // it handles the same frame.
}

void request_engine::start_attempt(const serving::start_attempt& action)
{
    post_to_request(sequence_of(action.call), [this, action](request_shard& shard,
                                                             const request_ptr& request) {
        const auto stage = stage_of(action.call);
        const auto config = state_.current().config;
        const auto* pool = config ? config->find(request->pipeline->stages[stage].pool) : nullptr;
        std::vector<requests::run_action> actions;
        request->pending_grant = granted_attempt{action.process, action.attempt,  action.priority,
                                                 action.cold,    action.start_by, action.give_up};
        if (action.hedge) {
            request->run.hedge(stage, action.endpoint, action.give_up, actions);
        } else {
            request->run.grant(stage, action.endpoint, action.give_up,
                               pool != nullptr && pool->resumes_streams, actions);
        }
        perform(shard, request, actions);
        if (std::exchange(request->pending_grant, std::nullopt)) {
            // The run did not open the call: release its capacity at the dispatcher.
            const failure unused{
                verdict::not_run, reason::cancelled, "the attempt is not needed", {}};
            dispatcher_.command([&](serving::dispatcher& dispatcher) {
                return dispatcher.attempt_failed({action.call, action.attempt, unused, 0, false},
                                                 boot_clock::now());
            });
        }
    });
}

void request_engine::cancel_attempt(const serving::cancel_attempt& action)
{
    post_to_request(
        sequence_of(action.call), [this, action](request_shard& shard, const request_ptr& request) {
            for (const auto& [id, call] : std::map(request->calls)) {
                if (call_key_of(id.request, id.stage) == action.call &&
                    call->attempt == action.attempt && !call->released)
                {
                    call->reported = true; // the dispatcher itself cancelled the attempt
                    std::vector<requests::run_action> actions;
                    request->run.handle(id, requests::attempt_cancelled{}, actions);
                    perform(shard, request, actions);
                }
            }
        });
}

void request_engine::handle_event(const request_ptr& request, const call_ptr& call,
                                  const requests::attempt_event& event)
{
    const auto sequence = request->request.identity.sequence;
    update_run(sequence, [&](running_request& running, std::vector<requests::run_action>& actions) {
        running.run.handle(call->id, event, actions);
    });
}

// Actions of the pipeline run.

void request_engine::perform(request_shard& shard, const request_ptr& request,
                             const std::vector<requests::run_action>& actions)
{
    for (const auto& action : actions) {
        std::visit([&](const auto& one) { perform(shard, request, one); }, action);
    }
}

void request_engine::perform(request_shard&, const request_ptr& request,
                             const requests::choose_endpoint& action)
{
    if (action.failed_endpoint) {
        return; // the dispatcher handles the reported failure with a retry or a denial
    }
    const auto now = boot_clock::now();
    request->stage_start_times[action.stage] = now;
    serving::call_submission start;
    start.request = request_key_of(request->request.identity.sequence);
    start.call = call_key_of(request->request.identity.sequence, action.stage);
    start.stage = action.stage;
    dispatcher_.command(
        [&](serving::dispatcher& dispatcher) { return dispatcher.submit_call(start, now); });
}

void request_engine::perform(request_shard&, const request_ptr& request,
                             const requests::open_call& action)
{
    const auto granted = std::exchange(request->pending_grant, std::nullopt);
    if (!granted) {
        return;
    }
    auto call = std::make_shared<stage_call>();
    call->id = action.call;
    call->endpoint = action.endpoint;
    call->process = granted->process;
    call->attempt = granted->attempt;
    call->priority = granted->priority;
    call->cold = granted->cold;
    call->start_by = granted->start_by;
    call->give_up = granted->give_up;
    call->started = boot_clock::now();
    request->calls[action.call] = call;
    // Posted because co_spawn would start the coroutine immediately on this strand, while the lock
    // of the shard is held.
    asio::post(strand_of(action.call.request), [self = shared_from_this(), request, call] {
        asio::co_spawn(self->strand_of(call->id.request), self->run_call(request, call),
                       asio::detached);
    });
}

void request_engine::perform(request_shard&, const request_ptr& request,
                             const requests::check_call& action)
{
    if (const auto found = request->calls.find(action.call); found != request->calls.end()) {
        found->second->checks_due = true;
    }
}

void request_engine::perform(request_shard&, const request_ptr& request,
                             const requests::send_call& action)
{
    if (const auto found = request->calls.find(action.call); found != request->calls.end()) {
        found->second->send_offset = action.offset;
    }
}

void request_engine::perform(request_shard&, const request_ptr& request,
                             const requests::end_call& action)
{
    const auto found = request->calls.find(action.call);
    if (found == request->calls.end()) {
        return;
    }
    const call_ptr call = found->second;
    request->calls.erase(found);
    call->released = true;
    call->reusable = action.reusable;
    if (action.cancel && call->send_started) {
        links_.cancel_call(call->endpoint, to_string(call->id));
    }
    if (!action.reusable && call->connection) {
        call->connection->cancel();
    }
    request->producer->notify();
    report_result(request, *call, action.finished);
}

void request_engine::perform(request_shard& shard, const request_ptr& request,
                             const requests::append_answer& action)
{
    if (!request->answer->append(action.data)) {
        std::vector<requests::run_action> actions;
        request->run.cancel(reason::overloaded, actions);
        perform(shard, request, actions);
        return;
    }
    ++request->delivered_frames;
    wake_readers(*request);
}

void request_engine::perform(request_shard& shard, const request_ptr& request,
                             const requests::finish_answer&)
{
    finish(shard, request, {verdict::ran, {}});
}

void request_engine::perform(request_shard& shard, const request_ptr& request,
                             const requests::fail_answer& action)
{
    finish(shard, request, {action.why.run, action.why});
}

void request_engine::report_result(const request_ptr& request, stage_call& call, bool succeeded)
{
    if (std::exchange(call.reported, true)) {
        return;
    }
    const auto now = boot_clock::now();
    const auto key = call_key_of(call.id.request, call.id.stage);
    if (succeeded) {
        auto& time = request->stages[call.id.stage];
        time.took = now - request->stage_start_times[call.id.stage];
        dispatcher_.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.attempt_succeeded({key, call.attempt, {}}, now);
        });
        return;
    }
    const bool unsent = !call.send_started || call.refused;
    const failure why{unsent ? verdict::not_run : verdict::may_have_run,
                      reason::endpoint_failed,
                      "the call to " + call.endpoint.name + " failed",
                      {}};
    const bool last = call.id.stage + 1 == request->pipeline->stages.size();
    dispatcher_.command([&](serving::dispatcher& dispatcher) {
        return dispatcher.attempt_failed(
            {key, call.attempt, why, last ? request->delivered_frames : 0, call.refused}, now);
    });
}

void request_engine::wake_readers(running_request& request)
{
    for (const auto& entry : request.readers) {
        if (const auto reader = entry.lock()) {
            reader->notify();
        }
    }
}

void request_engine::finish(request_shard& shard, const request_ptr& request,
                            requests::answer_end end)
{
    const auto sequence = request->request.identity.sequence;
    if (shard.running.erase(sequence) == 0) {
        return;
    }
    for (const auto& [id, call] : request->calls) {
        call->released = true;
        if (call->connection) {
            call->connection->cancel();
        }
    }
    const auto now = boot_clock::now();
    record(request, end);
    shard.table.finish(sequence, end, now);
    wake_readers(*request);
    credentials_.remove(request_key_of(sequence));
    dispatcher_.command([&](serving::dispatcher& dispatcher) {
        return dispatcher.finish_request(request_key_of(sequence), end.is_complete(), now);
    });
    const std::lock_guard lock(idle_mutex_);
    if (--running_ == 0 && on_idle_) {
        asio::post(executor_, std::exchange(on_idle_, nullptr));
    }
}

void request_engine::record(const request_ptr& request, const requests::answer_end& end)
{
    const auto now = boot_clock::now();
    const auto& from = request->request;
    burn::observation seen;
    seen.customer = from.customer;
    seen.work_class = from.work_class.id;
    seen.took = now - from.arrived;
    seen.first_token = request->first_token;
    seen.longest_gap = request->longest_gap;
    seen.failed_stage = request->failed_stage;
    seen.stages = request->stages;
    seen.how = burn::outcome::whole;
    if (!end.is_complete()) {
        const auto why = end.why->why;
        const bool excluded =
            why == reason::cancelled || why == reason::rate_exceeded || why == reason::unauthorized;
        seen.how = excluded ? burn::outcome::excluded : burn::outcome::failed;
    }
    burn_.with(stable_hash(from.customer.name),
               [&](burn::recorder& recorder) { recorder.record(seen, now); });
    const std::string outcome(end.is_complete() ? "ran" : to_string(end.why->why));
    const std::string name = from.work_class.id.name;
    state_.metrics.count("quetzal_requests_total", {{"class", name}, {"outcome", outcome}});
    state_.metrics.observe("quetzal_request_duration_seconds", {{"class", name}}, seen.took);
    if (seen.first_token) {
        state_.metrics.observe("quetzal_first_token_seconds", {{"class", name}}, *seen.first_token);
    }
    log(log_level::info, "request_finished",
        {{"request", from.identity_text},
         {"class", name},
         {"customer", from.customer.name},
         {"outcome", outcome},
         {"verdict", to_string(end.run)},
         {"took_ms",
          static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(seen.took).count())}});
}

void request_engine::expire(time_point now)
{
    for (std::size_t index = 0; index < strands_.size(); ++index) {
        std::vector<std::uint64_t> due;
        shards_.with(index, [&](request_shard& shard) {
            shard.table.expire(now);
            for (const auto& [sequence, request] : shard.running) {
                const auto next = request->run.next_deadline();
                const bool gone =
                    request->abandoned && now - request->abandoned_at >= reconnect_grace;
                if ((next && *next <= now) || gone) {
                    due.push_back(sequence);
                }
            }
        });
        for (const auto sequence : due) {
            post_to_request(sequence, [this](request_shard& shard, const request_ptr& request) {
                const auto at = boot_clock::now();
                std::vector<requests::run_action> actions;
                request->run.advance(at, actions);
                if (request->abandoned && at - request->abandoned_at >= reconnect_grace) {
                    request->run.caller_disconnected(actions);
                }
                perform(shard, request, actions);
            });
        }
    }
}

asio::awaitable<void> request_engine::run_timers()
{
    auto self = shared_from_this();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        const auto now = boot_clock::now();
        expire(now);
        dispatcher_.command([&](serving::dispatcher& dispatcher) { return dispatcher.tick(now); });
        timer.expires_after(running_ > 0 ? busy_timer_interval : idle_timer_interval);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace quetzal::node
