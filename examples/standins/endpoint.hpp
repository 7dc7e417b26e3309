#ifndef QUETZAL_STANDINS_ENDPOINT_HPP
#define QUETZAL_STANDINS_ENDPOINT_HPP

// Stand-in of a back end: a model engine or a plain service. It speaks the endpoint interface of
// docs/design.md, section 11, and can be told to misbehave.

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <quetzal/base/time.hpp>
#include <quetzal/net/http_server.hpp>

namespace quetzal::standins {

// How an endpoint behaves from its start.
struct endpoint_options
{
    std::string name;
    std::string stage = "generate"; // selects the text that it answers with
    duration service_time = std::chrono::milliseconds(20);
    duration token_interval = std::chrono::milliseconds(5);
    std::uint32_t tokens = 1;           // frames of an answer; 1 for services
    std::uint32_t concurrency = 8;      // calls at once; further ones wait
    std::uint32_t cold_concurrency = 1; // calls at once while cold; more are counted as an overload
    std::uint32_t warm_after = 4;       // finished calls until warm
    bool checks_fence = true;
};

// Returns the handler of the endpoint.
//
// POST /control changes its behaviour:
// {"lag_ms":N,"fail":P,"answer":"normal|truncated|crossed|twice|silent", "cold":true}. GET /control
// returns its counters, among them executions by request identity, so that a test can see a call
// that ran twice.
net::http_handler make_endpoint(boost::asio::io_context& context, endpoint_options options);

} // namespace quetzal::standins

#endif
