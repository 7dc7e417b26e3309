#include <quetzal/node/endpoint_links.hpp>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <quetzal/node/log.hpp>

namespace quetzal::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(500);
constexpr duration report_timeout = std::chrono::seconds(1);
constexpr duration min_poll_interval = std::chrono::milliseconds(250);
// Limits the load reports that one instance reads per second, so that the cost does not grow with
// the subset sizes of all pools. A report is about 400 bytes including headers.
constexpr double max_reports_per_second = 40;
constexpr std::size_t max_report_size = 64u << 10; // bytes

std::uint64_t integer_field(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    boost::system::error_code error;
    const auto parsed = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : parsed;
}

std::optional<serving::load_report> parse_report(const net::http_response& response)
{
    boost::system::error_code error;
    const json::value value = json::parse(response.body, error);
    if (error || response.status != 200 || !value.is_object()) {
        return std::nullopt;
    }
    const auto& object = value.get_object();
    serving::load_report report;
    report.process.value = integer_field(object, "incarnation");
    const auto* warm = object.if_contains("warm");
    report.warm = warm == nullptr || !warm->is_bool() || warm->get_bool();
    report.running = static_cast<std::uint32_t>(integer_field(object, "running"));
    report.waiting = static_cast<std::uint32_t>(integer_field(object, "waiting"));
    report.age = std::chrono::milliseconds(integer_field(object, "age_ms"));
    report.fence = integer_field(object, "fence");
    if (const auto* models = object.if_contains("models"); models != nullptr && models->is_array())
    {
        for (const auto& model : models->get_array()) {
            if (model.is_string()) {
                report.models.emplace_back(model.get_string());
            }
        }
    }
    if (report.process.value == 0) {
        return std::nullopt; // a connection without an incarnation cannot be bound to a process
    }
    return report;
}

} // namespace

endpoint_links::endpoint_links(asio::any_io_executor executor, shared_state& state,
                               locked_dispatcher& dispatcher)
    : executor_(std::move(executor)), state_(state), dispatcher_(dispatcher)
{
}

void endpoint_links::start()
{
    asio::co_spawn(executor_, poll_reports(), asio::detached);
}

std::unique_ptr<net::http_connection>
endpoint_links::take_idle(const asio::any_io_executor& executor, const endpoint_id& endpoint,
                          incarnation process)
{
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[endpoint];
    std::erase_if(idle, [process](const idle_connection& entry) {
        return entry.process != process || entry.connection->closed_by_server();
    });
    const auto found =
        std::find_if(idle.begin(), idle.end(), [&executor](const idle_connection& entry) {
            return entry.executor == executor;
        });
    if (found == idle.end()) {
        return nullptr;
    }
    auto connection = std::move(found->connection);
    idle.erase(found);
    return connection;
}

asio::awaitable<endpoint_links::report_outcome>
endpoint_links::open_connection(asio::any_io_executor executor, endpoint_id endpoint)
{
    report_outcome outcome;
    const auto list = state_.current().list;
    const auto* listed = list ? list->find(endpoint) : nullptr;
    if (listed == nullptr) {
        co_return outcome;
    }
    const std::string address = listed->address;
    auto connection = co_await net::http_connection::connect(std::move(executor), address,
                                                             listed->port, connect_timeout);
    if (!connection) {
        co_return outcome;
    }
    co_return co_await read_report(std::move(*connection));
}

asio::awaitable<endpoint_links::report_outcome>
endpoint_links::read_report(std::unique_ptr<net::http_connection> connection)
{
    report_outcome outcome;
    net::http_request request;
    request.method = "GET";
    request.path = "/v1/load";
    const auto response = co_await connection->exchange(request, report_timeout, max_report_size);
    if (response) {
        outcome.report = parse_report(*response);
        outcome.connection = std::move(connection);
    }
    co_return outcome;
}

asio::awaitable<result<std::unique_ptr<net::http_connection>>>
endpoint_links::acquire(asio::any_io_executor executor, endpoint_id endpoint, incarnation process)
{
    auto self = shared_from_this();
    if (auto idle = take_idle(executor, endpoint, process)) {
        co_return std::move(idle);
    }
    auto outcome = co_await open_connection(std::move(executor), endpoint);
    report_to_dispatcher(endpoint, outcome.report);
    if (!outcome.report) {
        co_return not_run(reason::endpoint_failed,
                          "endpoint " + endpoint.name + " cannot be reached");
    }
    if (outcome.report->process != process || !outcome.connection->reusable()) {
        co_return not_run(reason::endpoint_failed, "endpoint " + endpoint.name + " has restarted");
    }
    co_return std::move(outcome.connection);
}

void endpoint_links::release(const asio::any_io_executor& executor, const endpoint_id& endpoint,
                             incarnation process, std::unique_ptr<net::http_connection> connection)
{
    if (connection == nullptr || !connection->reusable()) {
        return;
    }
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[endpoint];
    std::erase_if(idle,
                  [process](const idle_connection& entry) { return entry.process != process; });
    if (idle.size() < max_idle_connections) {
        idle.push_back({executor, process, std::move(connection)});
    }
}

void endpoint_links::cancel_call(const endpoint_id& endpoint, const std::string& call)
{
    const auto list = state_.current().list;
    const auto* listed = list ? list->find(endpoint) : nullptr;
    if (listed == nullptr) {
        return;
    }
    net::http_request request;
    request.method = "DELETE";
    request.path = "/v1/run/" + net::percent_encode(call);
    asio::co_spawn(
        asio::make_strand(executor_),
        [address = listed->address, port = listed->port, request]() -> asio::awaitable<void> {
            static_cast<void>(co_await net::fetch(co_await asio::this_coro::executor, address, port,
                                                  request, report_timeout));
        },
        asio::detached);
}

void endpoint_links::probe(const endpoint_id& endpoint)
{
    asio::co_spawn(
        asio::make_strand(executor_),
        [self = shared_from_this(), endpoint]() -> asio::awaitable<void> {
            auto outcome =
                co_await self->open_connection(co_await asio::this_coro::executor, endpoint);
            self->report_to_dispatcher(endpoint, outcome.report);
            self->dispatcher_.command([&](serving::dispatcher& dispatcher) {
                return dispatcher.probe_finished(endpoint, outcome.report.has_value(),
                                                 boot_clock::now());
            });
        },
        asio::detached);
}

void endpoint_links::report_to_dispatcher(const endpoint_id& endpoint,
                                          const std::optional<serving::load_report>& report)
{
    const auto now = boot_clock::now();
    dispatcher_.command([&](serving::dispatcher& dispatcher) {
        auto actions = dispatcher.connection_changed(
            endpoint, report ? std::optional(report->process) : std::nullopt, now);
        if (report) {
            auto more = dispatcher.report(endpoint, *report, now);
            actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                           std::make_move_iterator(more.end()));
        }
        return actions;
    });
}

asio::awaitable<void> endpoint_links::poll_reports()
{
    auto self = shared_from_this();
    asio::steady_timer timer(executor_);
    boost::system::error_code error;
    while (!stopped_) {
        const auto wanted = dispatcher_.query(
            [](const serving::dispatcher& dispatcher) { return dispatcher.wanted_endpoints(); });
        for (const auto& endpoint : wanted) {
            const std::lock_guard lock(mutex_);
            auto& state = polled_[endpoint];
            if (state == nullptr) {
                state =
                    std::make_shared<poller>(poller{asio::make_strand(executor_), false, nullptr});
            }
            if (!std::exchange(state->running, true)) {
                asio::co_spawn(state->strand, poll_endpoint(endpoint, state), asio::detached);
            }
        }
        const std::chrono::duration<double> round(static_cast<double>(wanted.size()) /
                                                  max_reports_per_second);
        timer.expires_after(
            std::max(min_poll_interval, std::chrono::duration_cast<duration>(round)));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> endpoint_links::poll_endpoint(endpoint_id endpoint,
                                                    std::shared_ptr<poller> state)
{
    auto self = shared_from_this();
    report_outcome outcome;
    if (state->connection != nullptr && !state->connection->closed_by_server()) {
        outcome = co_await read_report(std::move(state->connection));
    } else {
        outcome = co_await open_connection(state->strand, endpoint);
    }
    report_to_dispatcher(endpoint, outcome.report);
    const std::lock_guard lock(mutex_);
    state->connection = std::move(outcome.connection);
    state->running = false;
}

} // namespace quetzal::node
