#ifndef QUETZAL_GATEWAY_CALLER_REQUEST_HPP
#define QUETZAL_GATEWAY_CALLER_REQUEST_HPP

// One try of a caller's request, as read from its connection, and the writer of its answer.

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

// A whole request of a caller. Its body has been read.
struct caller_request
{
    std::string method;
    std::string target; // path and query as sent
    std::string host;   // lower case, without port
    std::string body;
    std::string forwarded_headers; // lines for the endpoint, without those that the system sets
    std::string id;
    std::string key;
    std::string piece_key;
    std::string piece_counts;
    std::string last_event_id;
    std::vector<serving::prompt_prefix> prefixes; // of the prompt, ascending length
    time_point received;
    std::optional<duration> patience; // how long the caller waits, from `received`

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

// A request while it is being worked on. `abort` ends the work early.
class running_request
{
public:
    explicit running_request(caller_request value) : message(std::move(value)) {}

    // Ends the work: runs the hook that stops the operation in progress. Only the first reason
    // counts.
    void abort(failure why);

    // Sets what stops the operation in progress; empty when there is none.
    void on_abort(std::function<void()> hook) { hook_ = std::move(hook); }

    const std::optional<failure>& aborted() const noexcept { return aborted_; }

    caller_request message;
    std::shared_ptr<const route> matched;
    caller_identity caller;
    int priority = 0;        // effective: of the customer, else of the route
    time_point deadline;     // the caller's or the route's, whichever is earlier
    time_point target_until; // the answer earns its full worth until then

private:
    std::optional<failure> aborted_;
    std::function<void()> hook_;
};

// Writes the answer to the caller's connection. A stream that is begun and not ended is cut.
class answer_writer
{
public:
    virtual ~answer_writer() = default;

    // Writes a whole answer. `headers` are complete lines. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> whole(unsigned status, std::string headers,
                                               std::string body) = 0;

    // Writes a part of a stream, with the status line and `headers` before the first part.
    virtual boost::asio::awaitable<bool> part(unsigned status, const std::string& headers,
                                              std::string bytes, bool last) = 0;

    // Whether a stream has begun.
    virtual bool begun() const = 0;

    // Whether the caller has closed its connection, although the event may not have been handled
    // yet because the process is busy.
    virtual bool caller_gone() = 0;

    // Gives up the connection, so that the answer does not look complete.
    virtual void cut() = 0;
};

// Builds the caller's request from its parsed headers and body. Returns a failure with reason
// `invalid_request` when a header that the system reads is malformed.
result<caller_request> read_caller_request(std::string method, std::string target,
                                           const boost::beast::http::fields& headers,
                                           std::string body, const header_names& names,
                                           time_point received);

// Header lines of an endpoint's answer that go to the caller.
std::string forwarded_answer_headers(const boost::beast::http::fields& headers);

} // namespace quetzal::gateway

#endif
