#include <quetzal/node/document_follower.hpp>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <quetzal/membership/transfer.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/net/transfer.hpp>
#include <quetzal/node/log.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
using config::log_level;

namespace {

std::string_view document_name(document kind)
{
    return kind == document::configuration ? "configuration" : "instance_list";
}

net::http_request watch_request(document kind, const config::read_service& read)
{
    net::http_request request;
    request.method = "GET";
    request.path = kind == document::configuration ? "/v1/config" : "/v1/instances";
    request.query =
        "after=" + std::to_string(read.after) + "&wait=" + std::to_string(read.wait.count());
    return request;
}

std::optional<std::chrono::seconds> from_wire_age(std::uint16_t seconds)
{
    if (seconds == peer::unknown_age) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

std::uint16_t to_wire_age(std::optional<std::chrono::seconds> age)
{
    if (!age || age->count() >= peer::unknown_age) {
        return peer::unknown_age;
    }
    return static_cast<std::uint16_t>(age->count());
}

} // namespace

document_follower::document_follower(asio::any_io_executor strand, shared_state& state,
                                     peer::key_ring keys, follower_events events,
                                     std::uint64_t seed)
    : strand_(std::move(strand)), state_(state), keys_(std::move(keys)), events_(std::move(events)),
      config_schedule_(state.settings.instance, document::configuration, {}, seed),
      list_schedule_(state.settings.instance, document::instance_list, {}, seed + 1),
      readiness_gate_(state.settings.instance, {}, seed + 2)
{
}

config::reader_schedule& document_follower::schedule(document kind) noexcept
{
    return kind == document::configuration ? config_schedule_ : list_schedule_;
}

void document_follower::tick(time_point now)
{
    perform(document::configuration, config_schedule_.tick(now, wall_now()));
    perform(document::instance_list, list_schedule_.tick(now, wall_now()));
    update_readiness(now);
}

void document_follower::set_members(const std::vector<membership::member_view>& view,
                                    time_point now)
{
    members_ = view;
    if (!list_.in_use()) {
        return;
    }
    auto candidates = config::reader_candidates(*list_.in_use(), config_.in_force().get());
    for (auto& candidate : candidates) {
        const auto known =
            std::find_if(view.begin(), view.end(), [&](const membership::member_view& entry) {
                return entry.instance == candidate.id;
            });
        if (known != view.end() && known->state != membership::member_state::live) {
            candidate.eligible = false;
        }
    }
    perform(document::configuration, config_schedule_.set_members(candidates, now, wall_now()));
    perform(document::instance_list, list_schedule_.set_members(candidates, now, wall_now()));
    std::vector<instance_id> names;
    names.reserve(view.size());
    for (const auto& entry : view) {
        names.push_back(entry.instance);
    }
    request_versions(readiness_gate_.set_peers(names, now));
}

void document_follower::on_versions(const instance_id& from, const peer::versions& known,
                                    time_point now)
{
    readiness_gate_.on_peer_version(from, known.config, now);
    perform(document::configuration, config_schedule_.on_peer_report(
                                         from, known.config, from_wire_age(known.config_age), now));
    perform(document::instance_list,
            list_schedule_.on_peer_report(from, known.list, from_wire_age(known.list_age), now));
    update_readiness(now);
}

peer::versions document_follower::known_versions(time_point now) const
{
    return {config_.version(), list_.revision(), to_wire_age(config_schedule_.service_age(now)),
            to_wire_age(list_schedule_.service_age(now))};
}

std::optional<peer::transfer_message>
document_follower::answer(const peer::transfer_message& request) const
{
    return membership::answer_transfer(chunks_, request);
}

void document_follower::perform(document kind, const std::vector<config::reader_action>& actions)
{
    for (const auto& action : actions) {
        if (const auto* read = std::get_if<config::read_service>(&action)) {
            asio::co_spawn(strand_, read_service(kind, *read), asio::detached);
        } else if (const auto* from_peer = std::get_if<config::fetch_from_peer>(&action)) {
            asio::co_spawn(strand_, fetch(kind, *from_peer), asio::detached);
        }
        // `abandon_read` needs no action: the read ends by its own timeout, and the schedule
        // ignores its number by then.
    }
}

asio::awaitable<void> document_follower::read_service(document kind, config::read_service read)
{
    auto self = shared_from_this();
    const auto& platform = state_.settings.platform;
    const auto& address =
        kind == document::configuration ? platform.configuration : platform.instance_list;
    const auto request = watch_request(kind, read);
    state_.metrics.count("quetzal_platform_calls_total",
                         {{"document", std::string(document_name(kind))}});
    auto response =
        co_await net::fetch(strand_, address.address, address.port, request, read.timeout);
    auto answer = config::service_answer::failed;
    if (response && response->status == 200) {
        answer = offer(kind, std::move(response->body), config::value_source::service);
    } else if (response && response->status == 304) {
        answer = config::service_answer::unchanged;
    }
    if (answer == config::service_answer::failed) {
        state_.metrics.count("quetzal_platform_failures_total",
                             {{"document", std::string(document_name(kind))}});
        log(log_level::debug, "platform_read_failed",
            {{"document", document_name(kind)},
             {"detail", response ? "unexpected status" : response.error().detail}});
    }
    const auto now = boot_clock::now();
    perform(kind, schedule(kind).on_service_answer(read.number, answer, now, wall_now()));
    update_readiness(now);
}

asio::awaitable<void> document_follower::fetch(document kind, config::fetch_from_peer fetch)
{
    auto self = shared_from_this();
    constexpr duration step_timeout = std::chrono::seconds(1);
    bool succeeded = false;
    const auto* listed = list_.in_use() ? list_.in_use()->find(fetch.peer) : nullptr;
    if (listed != nullptr) {
        const std::string address = listed->address;
        auto connection = co_await net::transfer_connection::connect(
            strand_, address, listed->peer_port, keys_, step_timeout);
        membership::document_fetch transfer(chunks_, kind, fetch.version);
        auto step = transfer.begin();
        while (connection && std::holds_alternative<membership::send_request>(step)) {
            auto answer =
                co_await (*connection)
                    ->exchange(std::get<membership::send_request>(step).request, step_timeout);
            if (!answer) {
                break;
            }
            step = transfer.on_message(*answer);
        }
        if (auto* fetched = std::get_if<membership::document_fetched>(&step)) {
            succeeded = offer(kind, std::move(fetched->text), config::value_source::peer) !=
                        config::service_answer::refused;
        }
    }
    const auto now = boot_clock::now();
    perform(kind, schedule(kind).on_fetched(fetch.number, succeeded, now));
    update_readiness(now);
}

config::service_answer document_follower::offer(document kind, std::string text,
                                                config::value_source from)
{
    const auto now = boot_clock::now();
    if (kind == document::configuration) {
        return apply(config_.offer(config::check_config(std::move(text)), from, now));
    }
    return apply(list_.offer(config::check_list(std::move(text)), from, now));
}

config::service_answer document_follower::apply(const config::config_outcome& outcome)
{
    if (const auto* accepted = std::get_if<config::config_accepted>(&outcome)) {
        config_schedule_.set_versions(config_.version(), config_.version());
        chunks_.put(document::configuration, config_.version(), *accepted->text);
        log(log_level::info, "configuration_accepted",
            {{"version", config_.version()}, {"former_version", accepted->previous_version}});
        events_.config_changed(accepted->value);
        return config::service_answer::new_value;
    }
    return handle_unaccepted("configuration", std::get_if<config::refused_value>(&outcome));
}

config::service_answer document_follower::apply(const config::list_outcome& outcome)
{
    if (const auto* accepted = std::get_if<config::list_accepted>(&outcome)) {
        list_schedule_.set_versions(list_.revision(), list_.highest_known_revision());
        chunks_.put(document::instance_list, list_.revision(), *accepted->text);
        log(log_level::info, "instance_list_accepted", {{"revision", list_.revision()}});
        events_.list_changed(accepted->value);
        return config::service_answer::new_value;
    }
    return handle_unaccepted("instance_list", std::get_if<config::refused_value>(&outcome));
}

config::service_answer document_follower::handle_unaccepted(std::string_view what,
                                                            const config::refused_value* refused)
{
    if (refused == nullptr) {
        return config::service_answer::unchanged;
    }
    report_refusal(what, *refused);
    return config::service_answer::refused;
}

void document_follower::report_refusal(std::string_view what, const config::refused_value& refused)
{
    state_.metrics.count(
        "quetzal_documents_refused_total",
        {{"document", std::string(what)}, {"cause", std::string(to_string(refused.cause))}});
    log(log_level::warning, "document_refused",
        {{"document", what},
         {"cause", to_string(refused.cause)},
         {"version", refused.version},
         {"detail", refused.detail}});
}

void document_follower::update_readiness(time_point now)
{
    request_versions(readiness_gate_.update(config_.version(), now));
}

void document_follower::request_versions(const std::vector<config::ask_version>& questions)
{
    for (const auto& question : questions) {
        events_.ask_version(question.peer);
    }
}

} // namespace quetzal::node
