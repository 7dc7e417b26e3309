#include <quetzal/node/entry_instance.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <quetzal/net/tls.hpp>
#include <quetzal/node/caller_api.hpp>
#include <quetzal/node/log.hpp>
#include <quetzal/node/operator_api.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
using config::log_level;

namespace {

// Interval in which a stopping instance checks whether all answers are written.
constexpr duration answer_check_interval = std::chrono::milliseconds(50);
// Delay between the last answer and the stop of the context, so that the last bytes can be sent.
constexpr duration connection_close_delay = std::chrono::milliseconds(200);
// Maximum duration of a handover, which needs two messages. When no peer responds, the leases
// expire.
constexpr duration handover_timeout = std::chrono::seconds(5);

net::server_limits make_limits(const config::limit_settings& settings)
{
    net::server_limits limits;
    limits.header_size = settings.header_size;
    limits.body_size = settings.body_size;
    limits.connections = settings.connections;
    limits.request_timeout = settings.slow_sender_timeout;
    return limits;
}

serving::warmth_declaration to_declaration(const peer::endpoint_declaration& message)
{
    return {message.process, message.warmth == peer::endpoint_warmth::warm, message.fence,
            message.sequence};
}

} // namespace

struct entry_instance::parts : std::enable_shared_from_this<parts>
{
    parts(asio::io_context& where, config::settings values);

    serving::gate_result check_start(const serving::gate_context& start);
    serving::gate_result check_rate(const serving::gate_context& start, const credential& known,
                                    time_point now);
    control_events make_control_events();
    void route(const serving::action& action);
    tl::expected<void, std::string> start();
    void drain();
    void shut_down();

    asio::io_context& context;
    shared_state state;
    credential_registry credentials;
    locked_dispatcher shared_dispatcher;
    std::shared_ptr<control_plane> control;
    std::shared_ptr<endpoint_links> links;
    std::shared_ptr<request_engine> engine;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<operator_api> operators;
    std::shared_ptr<net::tls_context> tls;
    std::unique_ptr<net::http_server> caller_server;
    std::unique_ptr<net::http_server> operator_server;
    asio::steady_timer stop_timer;
};

namespace {

serving::dispatcher_options make_dispatcher_options(const config::settings& settings)
{
    serving::dispatcher_options options;
    options.self = settings.instance;
    options.zone = settings.zone;
    options.seed = secure_random();
    return options;
}

} // namespace

entry_instance::parts::parts(asio::io_context& where, config::settings values)
    : context(where), state(std::move(values)), credentials(state.settings.runtime.shards),
      shared_dispatcher(make_dispatcher_options(state.settings),
                        [this](const serving::gate_context& start) { return check_start(start); }),
      stop_timer(where)
{
    const auto executor = context.get_executor();
    control = std::make_shared<control_plane>(executor, state, make_control_events());
    links = std::make_shared<endpoint_links>(executor, state, shared_dispatcher);
    engine = std::make_shared<request_engine>(executor, state, *control, shared_dispatcher, *links,
                                              credentials);
    shared_dispatcher.set_router([this](const serving::action& action) { route(action); });
    callers = std::make_unique<caller_api>(executor, state, *control, *engine);
    operators = std::make_unique<operator_api>(state, *control, *engine, shared_dispatcher,
                                               [this] { drain(); });
}

serving::gate_result entry_instance::parts::check_start(const serving::gate_context& start)
{
    const auto now = boot_clock::now();
    const auto known = credentials.find(start.request);
    const auto config = state.current().config;
    if (!known || !config) {
        return {serving::gate_decision::refuse, reason::cancelled, "the request has ended"};
    }
    if (!is_valid(*known, *config)) {
        return {serving::gate_decision::refuse, reason::unauthorized,
                "the key is not valid any more"};
    }
    if (!control->fresh(now)) {
        return {serving::gate_decision::defer, reason::stale_view,
                "this instance has lost contact to its peers"};
    }
    return start.admission ? check_rate(start, *known, now) : serving::gate_result{};
}

serving::gate_result entry_instance::parts::check_rate(const serving::gate_context& start,
                                                       const credential& known, time_point now)
{
    const auto answer = control->admit(known.customer, now);
    if (std::holds_alternative<rights::admitted>(answer)) {
        return {};
    }
    if (std::holds_alternative<rights::deferred>(answer)) {
        return {serving::gate_decision::defer, reason::no_credit,
                "the customer's home has not answered yet"};
    }
    const auto& refused = std::get<rights::refused>(answer);
    credentials.set_retry_after(start.request, refused.retry_after);
    if (refused.unknown_customer) {
        return {serving::gate_decision::refuse, reason::unauthorized,
                "the customer is not known any more"};
    }
    return {serving::gate_decision::refuse, reason::rate_exceeded,
            "the customer's rate is exceeded"};
}

control_events entry_instance::parts::make_control_events()
{
    control_events events;
    events.config_changed = [this](std::shared_ptr<const config::published> config) {
        engine->configure(*config);
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.configure(config, boot_clock::now());
        });
        if (const auto list = state.current().list) {
            shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
                return dispatcher.update(*list, boot_clock::now());
            });
        }
    };
    events.list_changed = [this](std::shared_ptr<const config::instance_list> list) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.update(*list, boot_clock::now());
        });
    };
    events.right_changed = [this](const endpoint_id& endpoint, std::optional<std::uint64_t> fence) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.exclusive_right_changed(endpoint, fence, boot_clock::now());
        });
    };
    events.endpoint_observed = [this](const peer::endpoint_observation& seen) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.peer_reported(seen.endpoint, seen.process,
                                            seen.seen == peer::endpoint_warmth::cold,
                                            boot_clock::now());
        });
    };
    events.endpoint_declared = [this](const peer::endpoint_declaration& declared) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.declared(declared.endpoint, to_declaration(declared),
                                       boot_clock::now());
        });
    };
    events.slot_requested = [this](const instance_id& from, const peer::cold_slot_request& asked) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.slot_requested(asked.endpoint, from, asked.process, asked.sequence,
                                             boot_clock::now());
        });
    };
    events.slot_granted = [this](const peer::cold_slot_grant& granted) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.slot_granted(granted.endpoint, granted.process, granted.sequence,
                                           granted.start_within, boot_clock::now());
        });
    };
    events.slot_returned = [this](const instance_id& from, const peer::cold_slot_return& returned) {
        shared_dispatcher.command([&](serving::dispatcher& dispatcher) {
            return dispatcher.slot_returned(returned.endpoint, from, returned.sequence,
                                            static_cast<serving::slot_result>(returned.how),
                                            boot_clock::now());
        });
    };
    return events;
}

void entry_instance::parts::route(const serving::action& action)
{
    if (const auto* probe = std::get_if<serving::probe_endpoint>(&action)) {
        links->probe(probe->endpoint);
    } else if (const auto* declare = std::get_if<serving::declare_endpoint>(&action)) {
        const auto& said = declare->declaration;
        control->broadcast(peer::endpoint_declaration{declare->endpoint, said.process,
                                                      said.warm ? peer::endpoint_warmth::warm
                                                                : peer::endpoint_warmth::cold,
                                                      said.fence, said.sequence});
    } else if (const auto* tell = std::get_if<serving::notify_endpoint_holder>(&action)) {
        control->broadcast(peer::endpoint_observation{tell->endpoint, tell->process,
                                                      tell->cold ? peer::endpoint_warmth::cold
                                                                 : peer::endpoint_warmth::warm});
    } else if (const auto* ask = std::get_if<serving::request_cold_slot>(&action)) {
        control->send_to_holder(
            ask->endpoint, peer::cold_slot_request{ask->endpoint, ask->process, ask->sequence});
    } else if (const auto* grant = std::get_if<serving::grant_cold_slot>(&action)) {
        const auto window = std::chrono::floor<std::chrono::milliseconds>(grant->start_within);
        control->send_to(grant->to, peer::cold_slot_grant{grant->endpoint, grant->process,
                                                          grant->sequence, window});
    } else if (const auto* back = std::get_if<serving::return_cold_slot>(&action)) {
        control->send_to_holder(
            back->endpoint, peer::cold_slot_return{back->endpoint, back->process, back->sequence,
                                                   static_cast<peer::slot_outcome>(back->how)});
    } else {
        engine->route(action);
    }
}

tl::expected<void, std::string> entry_instance::parts::start()
{
    const auto& settings = state.settings;
    if (settings.tls) {
        auto loaded =
            net::tls_context::load({settings.tls->certificate_file, settings.tls->key_file});
        if (!loaded) {
            return tl::unexpected(loaded.error());
        }
        tls = std::move(*loaded);
    }
    const auto limits = make_limits(settings.limits);
    const auto executor = context.get_executor();
    caller_server = std::make_unique<net::http_server>(
        executor, limits, tls,
        [this](const net::http_request& request, net::response_stream& response) {
            return callers->handle(request, response);
        });
    operator_server = std::make_unique<net::http_server>(
        executor, limits, tls,
        [this](const net::http_request& request, net::response_stream& response) {
            return operators->handle(request, response);
        });
    operators->add_server_metrics("callers", caller_server->counters());
    operators->add_server_metrics("operators", operator_server->counters());
    if (const auto port =
            caller_server->listen(settings.listen.address, settings.listen.caller_port);
        !port)
    {
        return tl::unexpected(port.error());
    }
    if (const auto port =
            operator_server->listen(settings.listen.address, settings.listen.operator_port);
        !port)
    {
        return tl::unexpected(port.error());
    }
    if (auto started = control->start(); !started) {
        return started;
    }
    links->start();
    engine->start();
    log(log_level::info, "started",
        {{"caller_port", std::uint64_t{settings.listen.caller_port}},
         {"incarnation", state.process.value}});
    return {};
}

void entry_instance::parts::drain()
{
    if (state.stopping.exchange(true)) {
        return;
    }
    state.ready = false;
    log(log_level::info, "draining", {{"running", std::uint64_t{engine->running_count()}}});
    engine->on_idle([self = shared_from_this()] {
        asio::post(self->context, [self] {
            auto handed_over = std::make_shared<bool>(false);
            self->stop_timer.expires_after(handover_timeout);
            self->stop_timer.async_wait([self](auto) { self->shut_down(); });
            self->control->begin_leave(
                [self] { asio::post(self->context, [self] { self->stop_timer.cancel(); }); });
        });
    });
}

void entry_instance::parts::shut_down()
{
    if (callers->active_requests() > 0) {
        stop_timer.expires_after(answer_check_interval);
        stop_timer.async_wait([self = shared_from_this()](auto) { self->shut_down(); });
        return;
    }
    caller_server->stop();
    operator_server->stop();
    links->stop();
    stop_timer.expires_after(connection_close_delay);
    stop_timer.async_wait([self = shared_from_this()](auto) {
        log(log_level::info, "stopped", {});
        self->control->stop();
        self->context.stop();
    });
}

entry_instance::entry_instance(asio::io_context& context, config::settings settings)
    : parts_(std::make_shared<parts>(context, std::move(settings)))
{
}

entry_instance::~entry_instance() = default;

tl::expected<void, std::string> entry_instance::start()
{
    return parts_->start();
}

void entry_instance::drain()
{
    parts_->drain();
}

void entry_instance::reload_certificates()
{
    if (parts_->tls == nullptr) {
        return;
    }
    const auto done = parts_->tls->reload();
    log(done ? log_level::info : log_level::error, "certificates_reloaded",
        {{"detail", done ? std::string("ok") : done.error()}});
}

} // namespace quetzal::node
