#ifndef QUETZAL_GATEWAY_CALLER_REQUEST_HPP
#define QUETZAL_GATEWAY_CALLER_REQUEST_HPP

// One attempt of a caller's request as read from its connection, and the writer of its response.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/base/verdict.hpp>
#include <quetzal/gateway/catalog.hpp>
#include <quetzal/gateway/header_names.hpp>
#include <quetzal/serving/types.hpp>

namespace quetzal::gateway {

// A caller's request, including its complete body.
struct caller_request
{
    std::string method;
    std::string target; // path and query as received
    std::string host;   // lower case, without port
    std::string body;
    std::string forwarded_headers; // lines for the endpoint, without those that the gateway sets
    std::string id;
    std::string key;
    std::string piece_key;
    std::string piece_counts;
    std::string last_event_id;
    std::vector<serving::prompt_prefix> prefixes; // prompt prefixes, shortest first
    // What `part_quarantine` may blame for a crash: the hashes of the parts of the prompt that
    // other requests may share (all but the last one, which belongs to the request or to its
    // session), and last the hash of the whole prompt, which only repeats of the request have.
    std::vector<std::uint64_t> quarantine_keys;
    std::string shared_part_ids; // for the log, separated by commas
    time_point received;
    std::optional<duration> caller_timeout; // how long the caller waits, counted from `received`

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

// What a request that is being served is waiting for.
enum class request_phase
{
    stages,   // the results of its stages
    endpoint, // an endpoint with free capacity, or a connection to it
    response, // the endpoint's response
    stream    // further events of a response that has started
};

// Returns the stable lower-case name, e.g. "stages".
std::string_view to_string(request_phase value) noexcept;

// What has happened to a request so far, for the log.
struct request_progress
{
    std::string endpoint;     // id of the endpoint that the request was last sent to
    std::uint64_t events = 0; // of a stream, that were passed on to the caller
    std::optional<time_point> first_event;
    std::optional<time_point> last_event;
    // Why the instance itself ended the request, if it did.
    std::optional<reason> ended_by_instance;
};

// A request that is being served. `abort` ends the processing early.
class running_request
{
public:
    explicit running_request(caller_request value) : message(std::move(value)) {}

    // Ends the processing by calling the abort handler. Only the first call has an effect; its
    // reason is kept.
    void abort(failure why);

    // Sets the function that stops the operation in progress; empty when there is none.
    void set_abort_handler(std::function<void()> handler) { abort_handler_ = std::move(handler); }

    const std::optional<failure>& abort_reason() const noexcept { return abort_reason_; }

    caller_request message;
    std::shared_ptr<const route> matched;
    caller_identity caller;
    int priority = 0;           // effective priority: the customer's, else the route's
    time_point deadline;        // the caller's or the route's deadline, whichever is earlier
    time_point target_deadline; // a response until then meets the route's latency target
    request_phase phase = request_phase::endpoint;
    bool waits_for_place = false;         // no endpoint has free capacity for it
    std::optional<time_point> sent;       // when it was first sent to one that may run it
    std::uint64_t connection_request = 1; // its position among the requests of its connection
    request_progress progress;

private:
    std::optional<failure> abort_reason_;
    std::function<void()> abort_handler_;
};

// Writes the response to the caller's connection. The connection is closed after a stream that has
// started and is not complete.
class response_writer
{
public:
    virtual ~response_writer() = default;

    // Writes a complete response. `headers` are complete header lines. Returns false if the caller
    // has disconnected.
    virtual boost::asio::awaitable<bool> write_response(unsigned status, std::string headers,
                                                        std::string body) = 0;

    // Writes a part of a streamed response, preceded by the status line and `headers` on the first
    // call. `last` ends the stream. Returns false if the caller has disconnected.
    virtual boost::asio::awaitable<bool> write_stream_part(unsigned status,
                                                           const std::string& headers,
                                                           std::string bytes, bool last) = 0;

    // Whether a streamed response has started.
    virtual bool has_started_stream() const = 0;

    // Whether the caller has closed its connection. Checks the socket itself, because a busy
    // process may not have handled the event yet.
    virtual bool caller_disconnected() = 0;

    // Closes the connection so that the caller does not take the response for complete.
    virtual void abort_connection() = 0;
};

// Builds a request from its parsed headers and body. Fails with reason `invalid_request` if the
// target or a header that the gateway reads is malformed.
result<caller_request> read_caller_request(std::string method, std::string target,
                                           const boost::beast::http::fields& headers,
                                           std::string body, const header_names& names,
                                           time_point received);

// Returns the header lines of an endpoint's response that are forwarded to the caller.
std::string forwarded_response_headers(const boost::beast::http::fields& headers);

} // namespace quetzal::gateway

#endif
