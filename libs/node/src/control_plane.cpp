#include <quetzal/node/control_plane.hpp>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <quetzal/base/digest.hpp>
#include <quetzal/node/call_on.hpp>
#include <quetzal/node/log.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
using config::log_level;

namespace {

constexpr duration max_tick_interval = std::chrono::milliseconds(200);
constexpr duration min_tick_interval = std::chrono::milliseconds(1);
// Every cold call checks again that the exclusive right is still held, so this interval only delays
// the use of a newly gained right.
constexpr duration right_check_interval = std::chrono::milliseconds(100);

} // namespace

peer::key_ring make_key_ring(const config::peer_settings& settings)
{
    peer::key_ring ring;
    ring.current = {settings.current.id, settings.current.secret};
    if (settings.previous) {
        ring.previous = {settings.previous->id, settings.previous->secret};
    }
    return ring;
}

control_plane::control_plane(const asio::any_io_executor& executor, shared_state& state,
                             control_events events)
    : strand_(asio::make_strand(executor)), state_(state), events_(std::move(events)),
      keys_(make_key_ring(state.settings.peers)),
      socket_(strand_, keys_,
              [this](const peer::received_message& message) { handle_message(message); }),
      transfers_(executor, keys_,
                 [this](peer::transfer_message request)
                     -> asio::awaitable<std::optional<peer::transfer_message>> {
                     auto job = [this, request = std::move(request)] {
                         return documents_->answer(request);
                     };
                     co_return co_await call_on<std::optional<peer::transfer_message>>(
                         strand_, std::move(job));
                 }),
      prober_(state.settings.instance, state.process, {}, secure_random()),
      rights_({state.settings.instance, state.process, state.settings.zone, boot_clock::now(),
               state.settings.runtime.shards}),
      wakeup_(std::make_shared<wakeup>(strand_))
{
    follower_events callbacks;
    callbacks.config_changed = [this](auto config) { apply_config(config); };
    callbacks.list_changed = [this](auto list) { apply_list(list); };
    callbacks.ask_version = [this](const instance_id& peer) {
        const auto now = boot_clock::now();
        perform(prober_.probe_now(peer, now), now);
    };
    documents_ = std::make_shared<document_follower>(strand_, state_, keys_, std::move(callbacks),
                                                     secure_random());
}

tl::expected<void, std::string> control_plane::start()
{
    const auto& listen = state_.settings.listen;
    if (const auto port = socket_.bind(listen.address, listen.peer_port); !port) {
        return tl::unexpected(port.error());
    }
    if (const auto port = transfers_.listen(listen.address, listen.peer_port); !port) {
        return tl::unexpected(port.error());
    }
    asio::co_spawn(strand_, run(), asio::detached);
    return {};
}

void control_plane::begin_leave(std::function<void()> on_left)
{
    asio::post(strand_, [self = shared_from_this(), on_left = std::move(on_left)] {
        const auto now = boot_clock::now();
        self->on_left_ = on_left;
        self->perform(self->prober_.begin_leave(now), now);
        self->rights_.begin_leave(now);
        self->wakeup_->notify();
    });
}

void control_plane::stop()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->socket_.close();
        self->transfers_.stop();
        self->wakeup_->notify();
    });
}

asio::awaitable<void> control_plane::run()
{
    auto self = shared_from_this();
    while (!stopped_) {
        tick(boot_clock::now());
        co_await wakeup_->wait(time_until_next_tick(boot_clock::now()));
    }
}

duration control_plane::time_until_next_tick(time_point now)
{
    const auto next = std::min(prober_.next_wakeup(), rights_.next_wakeup(now));
    return std::clamp<duration>(next - now, min_tick_interval, max_tick_interval);
}

void control_plane::tick(time_point now)
{
    rights_.set_wall_clock(wall_now(), now);
    perform(prober_.set_versions(documents_->known_versions(now), now), now);
    perform(prober_.tick(now), now);
    documents_->tick(now);
    send(rights_.on_tick(now));
    if (now >= next_right_check_) {
        refresh_exclusive_rights(now);
        next_right_check_ = now + right_check_interval;
    }
    state_.ready = documents_->readiness().ready && rights_.fresh(now) && !state_.stopping;
    if (on_left_ && rights_.has_left(now)) {
        std::exchange(on_left_, nullptr)();
    }
}

void control_plane::handle_message(const peer::received_message& message)
{
    const auto now = boot_clock::now();
    perform(prober_.on_message(message, now), now);
    send(rights_.on_message(message, now));
    if (const auto* seen = std::get_if<peer::endpoint_observation>(&message.body)) {
        events_.endpoint_observed(*seen);
    } else if (const auto* declared = std::get_if<peer::endpoint_declaration>(&message.body)) {
        events_.endpoint_declared(*declared);
    } else if (const auto* asked = std::get_if<peer::cold_slot_request>(&message.body)) {
        events_.slot_requested(message.from, *asked);
    } else if (const auto* granted = std::get_if<peer::cold_slot_grant>(&message.body)) {
        events_.slot_granted(*granted);
    } else if (const auto* returned = std::get_if<peer::cold_slot_return>(&message.body)) {
        events_.slot_returned(message.from, *returned);
    }
    wakeup_->notify();
}

void control_plane::perform(const std::vector<membership::prober_action>& actions, time_point now)
{
    bool changed = false;
    for (const auto& action : actions) {
        if (const auto* message = std::get_if<membership::send_message>(&action)) {
            send(message->message);
        } else if (const auto* versions = std::get_if<membership::versions_reported>(&action)) {
            documents_->on_versions(versions->from, versions->known, now);
        } else if (const auto* other = std::get_if<membership::superseded>(&action)) {
            log(log_level::error, "superseded", {{"by", other->by.value}});
            state_.stopping = true;
        } else {
            changed = true;
        }
        if (const auto* member = std::get_if<membership::member_changed>(&action)) {
            log(log_level::info, "member_changed",
                {{"member", member->current.instance.name},
                 {"state", to_string(member->current.state)}});
        }
    }
    if (changed) {
        refresh_members(now);
    }
}

void control_plane::refresh_members(time_point now)
{
    auto view = prober_.view();
    std::vector<rights::peer_status> peers;
    peers.reserve(view.size());
    for (const auto& member : view) {
        peers.push_back({member.instance, member.process, !member.suspected, member.leaving});
    }
    rights_.set_peers(std::move(peers), now);
    documents_->set_members(view, now);
    const std::lock_guard lock(members_mutex_);
    members_ = std::move(view);
}

void control_plane::refresh_exclusive_rights(time_point now)
{
    const auto list = state_.current().list;
    if (!list) {
        return;
    }
    for (const auto& endpoint : list->endpoints) {
        const std::uint64_t fence = rights_.fence(endpoint.id, now);
        const auto known = held_fences_.find(endpoint.id);
        if (fence != 0 && (known == held_fences_.end() || known->second != fence)) {
            held_fences_[endpoint.id] = fence;
            events_.right_changed(endpoint.id, fence);
        } else if (fence == 0 && known != held_fences_.end()) {
            held_fences_.erase(known);
            events_.right_changed(endpoint.id, std::nullopt);
        }
    }
    std::erase_if(held_fences_,
                  [&list](const auto& entry) { return list->find(entry.first) == nullptr; });
}

void control_plane::apply_config(const std::shared_ptr<const config::published>& config)
{
    const auto now = boot_clock::now();
    state_.set_config(config);
    rights_.set_config(config, now);
    perform(prober_.set_versions(documents_->known_versions(now), now), now);
    refresh_members(now);
    events_.config_changed(config);
    wakeup_->notify();
}

void control_plane::apply_list(const std::shared_ptr<const config::instance_list>& list)
{
    const auto now = boot_clock::now();
    state_.set_list(list);
    perform(prober_.set_list(*list, now), now);
    rights_.set_list(*list, now);
    perform(prober_.set_versions(documents_->known_versions(now), now), now);
    refresh_members(now);
    events_.list_changed(list);
    next_right_check_ = now;
    wakeup_->notify();
}

void control_plane::send(const std::vector<peer::outgoing_message>& messages)
{
    for (const auto& message : messages) {
        send(message);
    }
}

void control_plane::send(const peer::outgoing_message& message)
{
    const auto list = state_.current().list;
    const auto* target = list ? list->find(message.to) : nullptr;
    if (target != nullptr) {
        socket_.send(target->address, target->peer_port,
                     {state_.settings.instance, state_.process, message.body});
    }
}

void control_plane::send_to_holder(const endpoint_id& endpoint, peer::message body)
{
    asio::post(strand_, [self = shared_from_this(), endpoint, body = std::move(body)] {
        const auto holder = self->rights_.preferred_holder(endpoint, boot_clock::now());
        if (!holder.empty() && holder != self->state_.settings.instance) {
            self->send({holder, body});
        }
    });
}

void control_plane::send_to(const instance_id& instance, peer::message body)
{
    asio::post(strand_, [self = shared_from_this(), instance, body = std::move(body)] {
        self->send({instance, body});
    });
}

void control_plane::broadcast(peer::message body)
{
    asio::post(strand_, [self = shared_from_this(), body = std::move(body)] {
        for (const auto& member : self->prober_.view()) {
            if (!member.suspected) {
                self->send({member.instance, body});
            }
        }
    });
}

rights::admission control_plane::admit(const customer_id& customer, time_point now)
{
    auto answer = rights_.admit(customer, now);
    if (std::holds_alternative<rights::deferred>(answer)) {
        wakeup_->notify();
    }
    return answer;
}

std::vector<membership::member_view> control_plane::members() const
{
    const std::lock_guard lock(members_mutex_);
    return members_;
}

asio::awaitable<instance_id> control_plane::find_home(customer_id customer)
{
    auto job = [self = shared_from_this(), customer = std::move(customer)] {
        return self->rights_.preferred_home(customer, boot_clock::now());
    };
    co_return co_await call_on<instance_id>(strand_, std::move(job));
}

asio::awaitable<control_plane::customer_home> control_plane::explain_home(customer_id customer)
{
    auto job = [self = shared_from_this(), customer = std::move(customer)] {
        const auto now = boot_clock::now();
        return customer_home{self->rights_.preferred_home(customer, now),
                             self->rights_.is_home(customer, now)};
    };
    co_return co_await call_on<customer_home>(strand_, std::move(job));
}

asio::awaitable<control_status> control_plane::status()
{
    auto job = [self = shared_from_this()] {
        control_status status;
        status.rights = self->rights_.status(boot_clock::now());
        status.members = self->prober_.view();
        status.readiness = self->documents_->readiness();
        status.config_version = self->documents_->config().version();
        status.list_revision = self->documents_->list().revision();
        status.last_refusal = self->documents_->config().last_refusal();
        status.reads_service = self->documents_->reads_config();
        return status;
    };
    co_return co_await call_on<control_status>(strand_, std::move(job));
}

} // namespace quetzal::node
