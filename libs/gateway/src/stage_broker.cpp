#include <quetzal/gateway/stage_broker.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <quetzal/gateway/decision_log.hpp>

namespace quetzal::gateway {

namespace asio = boost::asio;

namespace {

// Pieces of one request arrive together; a short wait lets them share a call.
constexpr duration gather_delay = std::chrono::milliseconds(3);
constexpr duration connect_timeout = std::chrono::milliseconds(400);
constexpr duration send_timeout = std::chrono::milliseconds(500);
// A call that takes this many times its expected time is given up.
constexpr int give_up_factor = 3;
constexpr duration give_up_margin = std::chrono::milliseconds(300);
// A call slower than this many times its expected time marks its endpoint as slow.
constexpr double slow_factor = 2;
constexpr duration slow_avoidance = std::chrono::seconds(2);
constexpr duration failure_avoidance = std::chrono::milliseconds(500); // doubles with each failure
constexpr unsigned avoidance_doublings = 3;
constexpr duration room_delay = std::chrono::milliseconds(60); // until results may have been freed
constexpr duration full_delay = std::chrono::milliseconds(30); // until a call may have ended
constexpr unsigned try_limit = 4;                              // calls that work on one piece
constexpr duration release_delay = std::chrono::milliseconds(40);
constexpr duration watch_interval = std::chrono::milliseconds(200);
constexpr std::size_t answer_limit = 1u << 20; // bytes
constexpr std::size_t release_answer_limit = 16u << 10; // bytes

std::uint32_t milliseconds_left(time_point until, time_point now)
{
    return until <= now
               ? 0
               : static_cast<std::uint32_t>(
                     std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count());
}

duration expected_time(const stage_capacity& capacity, std::size_t pieces)
{
    return capacity.call_time + capacity.piece_time * static_cast<duration::rep>(pieces);
}

std::string post_head(const std::string& target, const std::string& host, std::size_t body_size,
                      const std::string& expected_header, const std::string& expected_id)
{
    std::string head = "POST " + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body_size) + "\r\n";
    if (!expected_id.empty()) {
        head += expected_header + ": " + expected_id + "\r\n";
    }
    return head + "\r\n";
}

std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

stage_broker::stage_broker(asio::io_context& context, const catalog& view, channel_pool& channels,
                           member_table& members, peer_link& peers, header_names names,
                           stage_protocol protocol, fleet_budget_options budget)
    : context_(context), view_(view), channels_(channels), members_(members), peers_(peers),
      names_(std::move(names)), protocol_(std::move(protocol)), budget_(budget),
      release_timer_(context), watch_timer_(context)
{
    asio::co_spawn(context_, watch_remote_pieces(), asio::detached);
}

stage_broker::service_state& stage_broker::state_of(const std::string& service)
{
    auto& owned = services_[service];
    if (!owned) {
        owned = std::make_unique<service_state>(context_);
    }
    return *owned;
}

std::uint64_t stage_broker::submit(const std::string& service, piece_order order,
                                   time_point useful_until, time_point deadline, completion done)
{
    const time_point now = boot_clock::now();
    waiting_piece piece{next_ticket_++, std::move(order), useful_until, deadline};
    const std::uint64_t ticket = piece.ticket;
    const std::string owner = members_.owner_of("stage/" + service, now);
    if (owner == members_.self().address) {
        submit_local(service, std::move(piece), std::move(done));
    } else {
        submit_remote(owner, service, std::move(piece), std::move(done));
    }
    return ticket;
}

void stage_broker::submit_local(const std::string& service, waiting_piece piece, completion done)
{
    const std::uint64_t ticket = piece.ticket;
    local_.insert_or_assign(ticket, local_piece{service, piece, std::move(done), 0});
    state_of(service).queue.push(std::move(piece));
    schedule_dispatch(service, gather_delay);
}

void stage_broker::submit_remote(const std::string& owner, const std::string& service,
                                 waiting_piece piece, completion done)
{
    const time_point now = boot_clock::now();
    piece.order.useful_ms = milliseconds_left(piece.useful_until, now);
    piece.order.remaining_ms = milliseconds_left(piece.deadline, now);
    const piece_submission submission{piece.ticket, service, piece.order};
    remote_.insert_or_assign(piece.ticket,
                             remote_piece{owner, service, piece, std::move(done), now});
    peers_.send(owner, submission);
}

void stage_broker::cancel(std::uint64_t ticket)
{
    if (const auto found = remote_.find(ticket); found != remote_.end()) {
        peers_.send(found->second.owner, piece_cancellation{ticket});
        remote_.erase(found);
        return;
    }
    if (const auto found = local_.find(ticket); found != local_.end()) {
        state_of(found->second.service).queue.cancel(ticket);
        local_.erase(found);
    }
}

void stage_broker::take(const std::string& from, const piece_submission& submission)
{
    const time_point now = boot_clock::now();
    const std::uint64_t ticket = next_ticket_++;
    const std::pair key(from, submission.ticket);
    from_peers_[key] = ticket;
    waiting_piece piece{ticket, submission.order,
                        now + std::chrono::milliseconds(submission.order.useful_ms),
                        now + std::chrono::milliseconds(submission.order.remaining_ms)};
    submit_local(submission.service, std::move(piece), [this, key](piece_outcome outcome) {
        from_peers_.erase(key);
        peers_.send(key.first, piece_answer{key.second, std::move(outcome.handle),
                                            static_cast<std::uint8_t>(outcome.fate)});
    });
}

void stage_broker::take(const std::string& from, const piece_cancellation& cancellation)
{
    const auto found = from_peers_.find({from, cancellation.ticket});
    if (found == from_peers_.end()) {
        return;
    }
    const std::uint64_t ticket = found->second;
    from_peers_.erase(found);
    cancel(ticket);
}

void stage_broker::take(const std::string&, const piece_answer& answer)
{
    const auto found = remote_.find(answer.ticket);
    if (found == remote_.end()) {
        // Cancelled or moved to another instance in the meantime.
        if (!answer.handle.empty()) {
            release({answer.handle});
        }
        return;
    }
    const completion done = std::move(found->second.done);
    remote_.erase(found);
    done({static_cast<piece_fate>(answer.fate), answer.handle});
}

void stage_broker::peer_lost(const std::string& address)
{
    std::vector<remote_piece> moved;
    std::erase_if(remote_, [&](auto& entry) {
        if (entry.second.owner != address) {
            return false;
        }
        moved.push_back(std::move(entry.second));
        return true;
    });
    for (auto& piece : moved) {
        resubmit(std::move(piece));
    }
    std::vector<std::uint64_t> orphans;
    std::erase_if(from_peers_, [&](const auto& entry) {
        if (entry.first.first != address) {
            return false;
        }
        orphans.push_back(entry.second);
        return true;
    });
    for (const std::uint64_t ticket : orphans) {
        cancel(ticket);
    }
}

void stage_broker::resubmit(remote_piece moved)
{
    log_event("piece_moved", {{"request", moved.piece.order.request_id},
                              {"service", moved.service},
                              {"from", moved.owner}});
    const std::string owner = members_.owner_of("stage/" + moved.service, boot_clock::now());
    if (owner == members_.self().address || owner == moved.owner) {
        submit_local(moved.service, std::move(moved.piece), std::move(moved.done));
    } else {
        submit_remote(owner, moved.service, std::move(moved.piece), std::move(moved.done));
    }
}

asio::awaitable<void> stage_broker::watch_remote_pieces()
{
    while (true) {
        watch_timer_.expires_after(watch_interval);
        boost::system::error_code error;
        co_await watch_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const time_point now = boot_clock::now();
        std::vector<std::string> silent;
        for (const auto& [ticket, piece] : remote_) {
            if (!members_.is_live(piece.owner, now) &&
                std::find(silent.begin(), silent.end(), piece.owner) == silent.end()) {
                silent.push_back(piece.owner);
            }
        }
        for (const auto& address : silent) {
            peer_lost(address);
        }
    }
}

void stage_broker::refresh()
{
    for (const auto& [service, state] : services_) {
        if (!state->queue.empty()) {
            schedule_dispatch(service, duration::zero());
        }
    }
}

void stage_broker::schedule_dispatch(const std::string& service, duration delay)
{
    service_state& state = state_of(service);
    if (state.timer_set) {
        return;
    }
    state.timer_set = true;
    state.timer.expires_after(delay);
    state.timer.async_wait([this, service](const boost::system::error_code& error) {
        if (!error) {
            state_of(service).timer_set = false;
            dispatch(service);
        }
    });
}

const endpoint* stage_broker::idle_worker(const std::string& service, service_state& state,
                                          const service_definition& definition, time_point now)
{
    const endpoint* best = nullptr;
    const endpoint* avoided = nullptr;
    for (const endpoint* candidate : view_.usable_endpoints(service)) {
        const worker& known = state.workers[candidate->id];
        if (known.calls >= definition.stage->slots) {
            continue;
        }
        if (known.avoided_until > now) {
            if (avoided == nullptr ||
                known.avoided_until < state.workers[avoided->id].avoided_until) {
                avoided = candidate;
            }
            continue;
        }
        if (best == nullptr || known.failures < state.workers[best->id].failures) {
            best = candidate;
        }
    }
    if (best != nullptr) {
        return best;
    }
    // Avoided endpoints are used only when no other endpoint works on the queue.
    const bool others_work =
        std::any_of(state.workers.begin(), state.workers.end(), [&](const auto& entry) {
            return entry.second.calls > 0 && entry.second.avoided_until <= now;
        });
    return others_work ? nullptr : avoided;
}

void stage_broker::dispatch(const std::string& service)
{
    service_state& state = state_of(service);
    const service_definition* definition = view_.find_service(service);
    const time_point now = boot_clock::now();
    const bool known = definition != nullptr && definition->stage;
    const duration call_time = known ? definition->stage->call_time : duration::zero();
    for (const waiting_piece& piece : state.queue.take_hopeless(now, call_time)) {
        finish(piece.ticket, {piece_fate::late, {}});
    }
    while (known && !state.queue.empty()) {
        const endpoint* target = idle_worker(service, state, *definition, now);
        if (target == nullptr) {
            break;
        }
        auto pieces = state.queue.take_call(definition->stage->batch, now, call_time);
        ++state.workers[target->id].calls;
        asio::co_spawn(context_, run_call(service, *target, std::move(pieces)), asio::detached);
    }
    if (!state.queue.empty()) {
        // Wakes up for deadlines and for endpoints that are avoided until then.
        schedule_dispatch(service, watch_interval);
    }
}

asio::awaitable<result<std::vector<piece_outcome>>>
stage_broker::exchange(const endpoint& target, const std::vector<waiting_piece>& pieces,
                       duration timeout)
{
    auto taken = co_await channels_.take(target, connect_timeout);
    if (!taken) {
        co_return tl::unexpected(taken.error());
    }
    const std::shared_ptr<channel> connection = *taken;
    if (!view_.accepts_work(target)) {
        channels_.give_back(target, connection, boot_clock::now());
        co_return not_run(reason::no_endpoint, "endpoint left before the call was sent");
    }
    const std::string body = protocol_.encode_call(pieces, boot_clock::now());
    const std::string head = post_head(protocol_.run_target, address_text(target.address),
                                       body.size(), names_.expected_endpoint, target.id);
    if (const auto sent = co_await connection->send(head, body, send_timeout); !sent) {
        co_return tl::unexpected(sent.error());
    }
    const auto status = co_await connection->read_head(timeout);
    if (!status) {
        co_return tl::unexpected(status.error());
    }
    const bool refused = connection->headers().find(names_.not_run) != connection->headers().end();
    auto answer = co_await connection->read_whole_body(answer_limit, timeout);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    channels_.give_back(target, connection, boot_clock::now());
    if (refused || *status == 421) {
        co_return not_run(*status == 503 ? reason::overloaded : reason::no_endpoint,
                          "status " + std::to_string(*status));
    }
    auto outcomes = *status == 200 ? protocol_.decode_call(*answer, pieces.size()) : std::nullopt;
    if (!outcomes) {
        co_return may_have_run(reason::endpoint_failed,
                               "stage call answered " + std::to_string(*status));
    }
    co_return std::move(*outcomes);
}

asio::awaitable<void> stage_broker::run_call(std::string service, endpoint target,
                                             std::vector<waiting_piece> pieces)
{
    const service_definition* definition = view_.find_service(service);
    const duration expected = expected_time(*definition->stage, pieces.size());
    const time_point started = boot_clock::now();
    const duration timeout = expected * give_up_factor + give_up_margin;
    const auto outcomes = co_await exchange(target, pieces, timeout);
    const time_point now = boot_clock::now();
    worker& used = state_of(service).workers[target.id];
    used.calls -= used.calls > 0 ? 1 : 0;
    if (!outcomes) {
        const failure& error = outcomes.error();
        const bool full = error.why == reason::overloaded;
        if (full) {
            used.avoided_until = now + full_delay;
        } else {
            const auto doublings = std::min(used.failures++, avoidance_doublings);
            used.avoided_until = now + failure_avoidance * (1 << doublings);
        }
        log_event("stage_call_failed", {{"service", service},
                                        {"endpoint", target.id},
                                        {"pieces", pieces.size()},
                                        {"first_request", pieces.front().order.request_id},
                                        {"verdict", to_string(error.run)},
                                        {"detail", error.detail}});
        for (const waiting_piece& piece : pieces) {
            repeat(service, piece.ticket, error.run != verdict::not_run);
        }
        dispatch(service);
        co_return;
    }
    used.failures = 0;
    const auto factor = static_cast<double>((now - started).count()) /
                        static_cast<double>(expected.count());
    if (factor > slow_factor) {
        used.avoided_until = now + slow_avoidance;
        log_event("stage_endpoint_slow",
                  {{"service", service},
                   {"endpoint", target.id},
                   {"took_ms", (now - started) / std::chrono::milliseconds(1)},
                   {"expected_ms", expected / std::chrono::milliseconds(1)}});
    }
    for (std::size_t index = 0; index < pieces.size(); ++index) {
        if ((*outcomes)[index].fate == piece_fate::no_room) {
            used.avoided_until = now + room_delay;
        }
        settle(service, pieces[index], (*outcomes)[index]);
    }
    dispatch(service);
}

void stage_broker::settle(const std::string& service, const waiting_piece& piece,
                          const piece_outcome& outcome)
{
    if (outcome.fate == piece_fate::no_room) {
        repeat(service, piece.ticket, false);
    } else if (outcome.fate == piece_fate::failed) {
        repeat(service, piece.ticket, true);
    } else {
        finish(piece.ticket, outcome);
    }
}

void stage_broker::repeat(const std::string& service, std::uint64_t ticket, bool may_have_run)
{
    const auto found = local_.find(ticket);
    if (found == local_.end()) {
        return; // cancelled
    }
    local_piece& piece = found->second;
    ++piece.tries;
    const time_point now = boot_clock::now();
    const bool allowed = piece.tries < try_limit &&
                         (!may_have_run || budget_.try_repeat(service, 1, now));
    if (!allowed) {
        finish(ticket, {piece_fate::failed, {}});
        return;
    }
    state_of(service).queue.push(piece.piece);
}

void stage_broker::finish(std::uint64_t ticket, piece_outcome outcome)
{
    const auto found = local_.find(ticket);
    if (found == local_.end()) {
        if (!outcome.handle.empty()) {
            release({outcome.handle});
        }
        return;
    }
    const completion done = std::move(found->second.done);
    local_.erase(found);
    done(std::move(outcome));
}

duration stage_broker::expected_wait(const std::string& service, int priority) const
{
    const service_definition* definition = view_.find_service(service);
    if (definition == nullptr || !definition->stage) {
        return duration::zero();
    }
    const auto found = services_.find(service);
    const std::size_t ahead = found == services_.end() ? 0 : found->second->queue.ahead_of(priority);
    return expected_completion(*definition->stage, view_.usable_endpoints(service).size(), ahead);
}

void stage_broker::release(std::vector<std::string> handles)
{
    for (auto& handle : handles) {
        releases_[protocol_.maker_of(handle)].push_back(std::move(handle));
    }
    if (release_scheduled_ || releases_.empty()) {
        return;
    }
    release_scheduled_ = true;
    release_timer_.expires_after(release_delay);
    release_timer_.async_wait([this](const boost::system::error_code& error) {
        release_scheduled_ = false;
        if (error) {
            return;
        }
        for (auto& [maker, handles] : std::exchange(releases_, {})) {
            asio::co_spawn(context_, send_releases(maker, std::move(handles)), asio::detached);
        }
    });
}

asio::awaitable<void> stage_broker::send_releases(std::string maker,
                                                  std::vector<std::string> handles)
{
    const endpoint* target = nullptr;
    for (const auto& [id, value] : view_.endpoints()) {
        if (address_text(value.address) == maker) {
            target = &value;
            break;
        }
    }
    if (target == nullptr || !view_.accepts_work(*target)) {
        co_return; // the maker is gone, or gets nothing new; its results expire by themselves
    }
    const endpoint copy = *target;
    auto taken = co_await channels_.take(copy, connect_timeout);
    if (!taken) {
        co_return; // the results expire by themselves
    }
    const std::shared_ptr<channel> connection = *taken;
    const std::string body = protocol_.encode_release(handles);
    const std::string head = post_head(protocol_.release_target, maker, body.size(),
                                       names_.expected_endpoint, copy.id);
    const auto sent = co_await connection->send(head, body, send_timeout);
    if (!sent) {
        co_return;
    }
    const auto status = co_await connection->read_head(send_timeout);
    if (!status) {
        co_return;
    }
    const auto answer = co_await connection->read_whole_body(release_answer_limit, send_timeout);
    if (answer) {
        channels_.give_back(copy, connection, boot_clock::now());
    }
}

} // namespace quetzal::gateway
