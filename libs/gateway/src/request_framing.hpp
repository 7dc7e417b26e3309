#ifndef QUETZAL_GATEWAY_REQUEST_FRAMING_HPP
#define QUETZAL_GATEWAY_REQUEST_FRAMING_HPP

// Checks of a caller's request as it is read from its connection.

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace quetzal::gateway::internal {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

// Returns why the framing of a request is rejected, or null. Rejects framing that another parser
// might interpret differently.
const char* framing_error(const request_parser& parser);

struct read_result
{
    unsigned rejection_status = 0; // 0: not rejected
    const char* detail = "";
    bool closed = false; // the connection ends without a response
};

// Returns how a request ends whose head or body could not be read. `began` means that bytes of it
// have arrived.
read_result read_failure(const boost::system::error_code& error, bool timed_out, bool began);

} // namespace quetzal::gateway::internal

#endif
