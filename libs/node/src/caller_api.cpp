#include <quetzal/node/caller_api.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <quetzal/base/hash.hpp>
#include <quetzal/base/units.hpp>
#include <quetzal/net/http_client.hpp>
#include <quetzal/node/log.hpp>
#include <quetzal/rights/committee.hpp>
#include <quetzal/serving/address_answer.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration stream_check_interval = std::chrono::seconds(15); // maximum wait for new chunks
constexpr duration relay_timeout = std::chrono::seconds(30);
constexpr std::string_view requests_path = "/v1/requests/";
// Marks a request that another instance relayed. Such a request is not relayed again.
constexpr const char* relayed_header = "Quetzal-Relayed";

requests::identity_secrets make_secrets(const config::peer_settings& peers)
{
    requests::identity_secrets secrets{peers.current.secret, {}};
    if (peers.previous) {
        secrets.previous = peers.previous->secret;
    }
    return secrets;
}

// Appends one server-sent event. `data` must not contain a line break.
void append_event(std::string& text, std::optional<std::uint64_t> id, std::string_view name,
                  std::string_view data)
{
    if (id) {
        text += "id: " + std::to_string(*id) + "\n";
    }
    text += "event: ";
    text += name;
    text += "\ndata: ";
    text += data;
    text += "\n\n";
}

std::string end_event(const requests::answer_end& end, std::uint64_t size)
{
    std::string text;
    if (end.is_complete()) {
        append_event(
            text, {}, "end",
            json::serialize(json::object{{"verdict", to_string(end.run)}, {"bytes", size}}));
    } else {
        append_event(text, {}, "refusal", refusal_json(*end.why));
    }
    return text;
}

net::header_list stream_headers(const std::string& identity)
{
    return {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-store"},
            {"Quetzal-Request-Id", identity}};
}

net::http_response identity_response(const std::string& text)
{
    const auto valid =
        std::chrono::milliseconds(requests::identity_validity / std::chrono::milliseconds(1));
    return net::json_response(
        200, json::serialize(json::object{{"identity", text}, {"valid_ms", valid.count()}}));
}

net::http_response address_response(const serving::address_answer& answer)
{
    json::object object{
        {"instance", answer.instance.name},
        {"address", answer.address},
        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(answer.ttl).count()}};
    if (answer.fallback) {
        object["fallback"] = *answer.fallback;
    }
    return net::json_response(200, json::serialize(object));
}

tl::unexpected<failure> not_ready()
{
    return not_run(reason::stale_view, "this instance is not ready",
                   std::chrono::milliseconds(1000));
}

} // namespace

unsigned http_status(const failure& why) noexcept
{
    switch (why.why) {
    case reason::invalid_request:
    case reason::identity_required:
        return 400;
    case reason::unauthorized:
        return 401;
    case reason::unknown_class:
    case reason::not_found:
        return 404;
    case reason::cancelled:
        return 409;
    case reason::identity_expired:
        return 410;
    case reason::rate_exceeded:
        return 429;
    case reason::endpoint_failed:
    case reason::answer_truncated:
    case reason::answer_mismatch:
    case reason::instance_gone:
        return 502;
    case reason::deadline_passed:
        return 504;
    case reason::internal_error:
        return 500;
    case reason::no_credit:
    case reason::deadline_unreachable:
    case reason::overloaded:
    case reason::no_endpoint:
    case reason::stale_view:
    case reason::stopping:
    case reason::quarantined:
        return 503;
    }
    return 500;
}

std::string refusal_json(const failure& why)
{
    json::object object{
        {"verdict", to_string(why.run)}, {"reason", to_string(why.why)}, {"detail", why.detail}};
    if (why.retry_after) {
        object["retry_after_ms"] = why.retry_after->count();
    }
    return json::serialize(object);
}

caller_api::caller_api(asio::any_io_executor executor, shared_state& state, control_plane& control,
                       request_engine& engine)
    : executor_(std::move(executor)), state_(state), control_(control), engine_(engine),
      identities_(state.settings.instance, state.process, make_secrets(state.settings.peers))
{
}

asio::awaitable<void> caller_api::refuse(const failure& why, net::response_stream& response)
{
    auto message = net::json_response(http_status(why), refusal_json(why));
    if (why.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*why.retry_after);
        message.headers.add("Retry-After", std::to_string(seconds.count()));
    }
    co_await response.send(std::move(message));
}

asio::awaitable<void> caller_api::handle(const net::http_request& request,
                                         net::response_stream& response)
{
    struct active_request
    {
        explicit active_request(std::atomic<std::size_t>& counter) : number(counter) { ++number; }
        active_request(const active_request&) = delete;
        active_request& operator=(const active_request&) = delete;
        ~active_request() { --number; }

        std::atomic<std::size_t>& number;
    };
    const active_request active(active_requests_);
    co_await dispatch(request, response);
}

asio::awaitable<void> caller_api::dispatch(const net::http_request& request,
                                           net::response_stream& response)
{
    if (request.path == "/v1/address" && request.method == "GET") {
        co_await answer_address(request, response);
    } else if (request.path == "/v1/identities" && request.method == "POST") {
        co_await issue_identity(request, response);
    } else if (request.path == "/v1/requests" && request.method == "POST") {
        co_await submit(request, response);
    } else if (request.path.starts_with(requests_path) && request.method == "GET") {
        co_await resume(request, response);
    } else if (request.path.starts_with(requests_path) && request.method == "DELETE") {
        co_await cancel(request, response);
    } else {
        const failure unknown{verdict::not_run, reason::not_found, "no such method and path", {}};
        co_await refuse(unknown, response);
    }
}

result<caller_api::caller> caller_api::authenticate(const net::http_request& request,
                                                    const config::published& config) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.headers.find("Authorization");
    if (!header) {
        return caller{};
    }
    if (!header->starts_with(scheme)) {
        return not_run(reason::unauthorized, "the Authorization header must be \"Bearer KEY\"");
    }
    caller known;
    known.key = sha256(header->substr(scheme.size()));
    known.has_key = true;
    const auto* customer = config.authenticate(known.key);
    if (customer == nullptr) {
        return not_run(reason::unauthorized, "the key is not valid");
    }
    known.customer = customer->id;
    return known;
}

result<requests::request_identity> caller_api::verify_identity(const net::http_request& request,
                                                               const std::string& text) const
{
    const auto config = state_.current().config;
    if (!config) {
        return not_ready();
    }
    const auto known = authenticate(request, *config);
    if (!known) {
        return tl::unexpected(known.error());
    }
    const std::lock_guard lock(identities_mutex_);
    return identities_.verify(text, known->customer);
}

// Addresses and identities.

asio::awaitable<void> caller_api::answer_address(const net::http_request& request,
                                                 net::response_stream& response)
{
    const auto [config, list] = state_.current();
    const auto known =
        config && list ? authenticate(request, *config) : result<caller>(not_ready());
    if (!known) {
        co_await refuse(known.error(), response);
        co_return;
    }
    std::vector<serving::address_candidate> candidates;
    const auto members = control_.members();
    for (const auto& instance : list->instances) {
        serving::address_candidate candidate;
        candidate.id = instance.id;
        candidate.address = instance.address + ":" + std::to_string(instance.caller_port);
        candidate.zone = instance.zone;
        candidate.zone_evacuated = !config->accepts_work(instance.zone);
        candidate.leaving = instance.state == config::listed_state::leaving ||
                            (instance.id == state_.settings.instance && state_.stopping);
        for (const auto& member : members) {
            if (member.instance == instance.id) {
                candidate.suspected = member.suspected;
                candidate.leaving = candidate.leaving || member.leaving;
            }
        }
        candidates.push_back(std::move(candidate));
    }
    serving::address_query query;
    query.customer = known->customer;
    const auto caller_name = request.parameter("caller");
    query.caller = caller_name ? stable_hash(*caller_name) : secure_random();
    if (const auto* customer = config->find(known->customer)) {
        query.rate = customer->rate;
        const auto home = co_await control_.find_home(known->customer);
        query.home = home.empty() ? std::nullopt : std::optional(home);
    }
    const auto answer = serving::resolve_address(query, candidates);
    if (!answer) {
        const failure none{verdict::not_run, reason::overloaded,
                           "no instance can take requests now", std::chrono::milliseconds(1000)};
        co_await refuse(none, response);
        co_return;
    }
    auto message = address_response(*answer);
    co_await response.send(std::move(message));
}

asio::awaitable<void> caller_api::issue_identity(const net::http_request& request,
                                                 net::response_stream& response)
{
    const auto config = state_.current().config;
    const auto known = config ? authenticate(request, *config) : result<caller>(not_ready());
    if (!known || state_.stopping) {
        const failure stopping{verdict::not_run, reason::stopping, "this instance is stopping", {}};
        const failure why = known ? stopping : known.error();
        co_await refuse(why, response);
        co_return;
    }
    std::string text;
    {
        const std::lock_guard lock(identities_mutex_);
        text = identities_.issue(known->customer, boot_clock::now());
    }
    auto message = identity_response(text);
    co_await response.send(std::move(message));
}

// Submissions.

result<caller_request> caller_api::check_submission(const net::http_request& request)
{
    const auto config = state_.current().config;
    if (!config || !state_.ready) {
        return state_.stopping ? not_run(reason::stopping, "this instance is stopping")
                               : not_ready();
    }
    auto known = authenticate(request, *config);
    if (!known) {
        return tl::unexpected(known.error());
    }
    const auto name = request.headers.find("Quetzal-Class");
    const auto* work_class = name ? config->find(class_id(std::string(*name))) : nullptr;
    if (work_class == nullptr) {
        return not_run(reason::unknown_class,
                       "the Quetzal-Class header must name a declared class");
    }
    if (!known->has_key && !work_class->open) {
        return not_run(reason::unauthorized, "the class needs a key in the Authorization header");
    }
    caller_request submission;
    submission.open = !known->has_key;
    submission.customer =
        submission.open ? rights::open_route_customer(work_class->id) : known->customer;
    submission.key = known->key;
    submission.work_class = *work_class;
    submission.body = request.body;
    submission.arrived = boot_clock::now();
    if (const auto text = request.headers.find("Quetzal-Deadline")) {
        const auto deadline = parse_duration(*text);
        if (!deadline) {
            return not_run(reason::invalid_request, "Quetzal-Deadline must be " + deadline.error());
        }
        submission.deadline = submission.arrived + *deadline;
    }
    return submission;
}

result<void> caller_api::attach_identity(const net::http_request& request,
                                         caller_request& submission)
{
    const auto given = request.headers.find("Quetzal-Request-Id");
    const customer_id owner = submission.open ? customer_id() : submission.customer;
    const std::lock_guard lock(identities_mutex_);
    if (!given && !submission.work_class.idempotent) {
        return not_run(
            reason::identity_required,
            "the class is not idempotent: get an identity by POST /v1/identities first and send it "
            "as Quetzal-Request-Id");
    }
    submission.identity_given = given.has_value();
    submission.identity_text =
        given ? std::string(*given) : identities_.issue(owner, submission.arrived);
    auto identity = identities_.verify(submission.identity_text, owner);
    if (!identity) {
        return tl::unexpected(identity.error());
    }
    submission.identity = std::move(*identity);
    return {};
}

std::optional<requests::placement>
caller_api::find_remote_placement(const requests::request_identity& identity,
                                  const net::http_request& request) const
{
    requests::issuer_view issuer;
    const auto list = state_.current().list;
    issuer.reachable = list && list->find(identity.instance) != nullptr;
    for (const auto& member : control_.members()) {
        if (member.instance == identity.instance) {
            issuer.reachable = issuer.reachable && !member.suspected;
            if (member.process.value != 0) {
                issuer.process = member.process;
            }
        }
    }
    const bool relayed = request.headers.find(relayed_header).has_value();
    const std::lock_guard lock(identities_mutex_);
    auto placement = identities_.place(identity, issuer, relayed);
    if (std::holds_alternative<requests::run_here>(placement)) {
        return std::nullopt;
    }
    return placement;
}

asio::awaitable<void> caller_api::relay_or_refuse(const net::http_request& request,
                                                  requests::placement placement,
                                                  net::response_stream& response)
{
    if (const auto* target = std::get_if<requests::relay_to>(&placement)) {
        co_await relay(request, *target, response);
    } else {
        co_await refuse(std::get<failure>(placement), response);
    }
}

asio::awaitable<void> caller_api::submit(const net::http_request& request,
                                         net::response_stream& response)
{
    auto submission = check_submission(request);
    const auto identified = submission ? attach_identity(request, *submission)
                                       : result<void>(tl::unexpected(submission.error()));
    if (!identified) {
        co_await refuse(identified.error(), response);
        co_return;
    }
    if (const auto placement = find_remote_placement(submission->identity, request)) {
        co_await relay_or_refuse(request, *placement, response);
        co_return;
    }
    const std::string identity = submission->identity_text;
    const auto reader = co_await asio::this_coro::executor;
    auto ticket = co_await engine_.submit(std::move(*submission), reader);
    if (!ticket) {
        co_await refuse(ticket.error(), response);
        co_return;
    }
    co_await stream_answer(std::move(*ticket), 0, identity, response);
}

asio::awaitable<void> caller_api::resume(const net::http_request& request,
                                         net::response_stream& response)
{
    const std::string text = request.path.substr(requests_path.size());
    const auto identity = verify_identity(request, text);
    if (!identity) {
        co_await refuse(identity.error(), response);
        co_return;
    }
    if (const auto placement = find_remote_placement(*identity, request)) {
        co_await relay_or_refuse(request, *placement, response);
        co_return;
    }
    const auto known = authenticate(request, *state_.current().config);
    const customer_id customer = known ? known->customer : customer_id();
    const auto reader = co_await asio::this_coro::executor;
    auto ticket = co_await engine_.attach(*identity, customer, reader);
    if (!ticket) {
        co_await refuse(ticket.error(), response);
        co_return;
    }
    const auto offset =
        std::strtoull(request.parameter("offset").value_or("0").c_str(), nullptr, 10);
    co_await stream_answer(std::move(*ticket), offset, text, response);
}

asio::awaitable<void> caller_api::cancel(const net::http_request& request,
                                         net::response_stream& response)
{
    const std::string text = request.path.substr(requests_path.size());
    const auto identity = verify_identity(request, text);
    if (!identity) {
        co_await refuse(identity.error(), response);
        co_return;
    }
    if (const auto placement = find_remote_placement(*identity, request)) {
        co_await relay_or_refuse(request, *placement, response);
        co_return;
    }
    const auto known = authenticate(request, *state_.current().config);
    customer_id customer = known ? known->customer : customer_id();
    const auto done = co_await engine_.cancel(*identity, std::move(customer));
    if (!done) {
        co_await refuse(done.error(), response);
        co_return;
    }
    auto answer = net::json_response(200, R"({"cancelled":true})");
    co_await response.send(std::move(answer));
}

// Answer streams.

asio::awaitable<void> caller_api::stream_answer(answer_ticket ticket, std::uint64_t offset,
                                                std::string identity,
                                                net::response_stream& response)
{
    const net::header_list headers = stream_headers(identity);
    auto closed = std::make_shared<std::atomic<bool>>(false);
    response.on_close([closed, reader = ticket.reader] {
        *closed = true;
        reader->notify();
    });
    bool begun = false;
    bool open = true;
    while (open && !*closed) {
        auto page = engine_.read(ticket, offset);
        const bool refused_first =
            !page || (page->end && !page->end->is_complete() && page->chunks.empty());
        if (!begun && refused_first) {
            engine_.leave(ticket);
            const failure why = page ? *page->end->why : page.error();
            co_await refuse(why, response);
            co_return;
        }
        if (!page) {
            break; // close the connection without an end event
        }
        if (page->chunks.empty() && !page->end) {
            co_await ticket.reader->wait(stream_check_interval);
            continue;
        }
        std::string text;
        for (const auto& piece : page->chunks) {
            offset = piece.offset + piece.data.size();
            append_event(text, offset, "data", piece.data.view());
        }
        if (page->end) {
            text += end_event(*page->end, offset);
        }
        if (!std::exchange(begun, true)) {
            open = co_await response.begin(200, headers);
        }
        open = open && co_await response.write(text);
        if (open) {
            engine_.acknowledge(ticket, offset);
        }
        if (open && page->end) {
            co_await response.end();
            break;
        }
    }
    engine_.leave(ticket);
}

asio::awaitable<void> caller_api::relay(const net::http_request& request, requests::relay_to target,
                                        net::response_stream& response)
{
    const auto list = state_.current().list;
    const auto* listed = list ? list->find(target.instance) : nullptr;
    const failure gone{verdict::may_have_run,
                       reason::instance_gone,
                       "the instance that issued the identity cannot be reached",
                       {}};
    if (listed == nullptr) {
        co_await refuse(gone, response);
        co_return;
    }
    net::http_request relayed_request = request;
    relayed_request.headers.add(relayed_header, state_.settings.instance.name);
    const std::string address = listed->address;
    auto connection = co_await net::http_connection::connect(
        co_await asio::this_coro::executor, address, listed->caller_port, relay_timeout);
    if (!connection) {
        co_await refuse(gone, response);
        co_return;
    }
    // Not written with the conditional operator: when an operand contains an await, GCC 12 destroys
    // the operands twice.
    const auto sent = co_await (*connection)->send(relayed_request, relay_timeout);
    if (!sent) {
        co_await refuse(gone, response);
        co_return;
    }
    const auto head = co_await (*connection)->read_head(relay_timeout);
    if (!head) {
        co_await refuse(gone, response);
        co_return;
    }
    net::header_list headers;
    for (const auto* name : {"Content-Type", "Retry-After", "Quetzal-Request-Id", "Cache-Control"})
    {
        if (const auto value = head->headers.find(name)) {
            headers.add(name, std::string(*value));
        }
    }
    bool open = co_await response.begin(head->status, headers);
    while (open) {
        auto piece = co_await (*connection)->read_some(relay_timeout);
        if (!piece) {
            co_return; // closing the connection shows the caller that the answer is truncated
        }
        if (!piece->has_value()) {
            co_await response.end();
            co_return;
        }
        open = co_await response.write(**piece);
    }
}

} // namespace quetzal::node
