#include "request_framing.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <quetzal/gateway/http_status.hpp>

namespace quetzal::gateway::internal {

namespace http = boost::beast::http;

const char* framing_error(const request_parser& parser)
{
    const auto& message = parser.get();
    const auto encodings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (encodings > 1 || lengths > 1 || (encodings > 0 && lengths > 0)) {
        return "ambiguous body length";
    }
    if (encodings == 1 &&
        !boost::beast::iequals(message[http::field::transfer_encoding], "chunked")) {
        return "unknown transfer encoding";
    }
    if (message.version() != 11) {
        return "not HTTP/1.1";
    }
    if (message.count(http::field::host) != 1) {
        return "missing or repeated Host header";
    }
    return nullptr;
}

read_result read_failure(const boost::system::error_code& error, bool timed_out, bool began)
{
    if (timed_out) {
        return {http_status::request_timeout, "slow sender", false};
    }
    if (error == http::error::header_limit) {
        return {http_status::header_too_large, "header too large", false};
    }
    if (error == http::error::body_limit) {
        return {http_status::body_too_large, "body too large", false};
    }
    const bool disconnected =
        error == http::error::end_of_stream || error == http::error::partial_message ||
        error.category() != http::make_error_code(http::error::bad_version).category();
    if (disconnected || !began) {
        return {0, "closed", true};
    }
    return {http_status::bad_request, "malformed request", false};
}

} // namespace quetzal::gateway::internal
