#ifndef QUETZAL_STANDINS_PLATFORM_HPP
#define QUETZAL_STANDINS_PLATFORM_HPP

// Stand-in of the platform: configuration service, instance list and weight store over HTTP. The
// published values are files that are read again when they change, so that operators and tests
// publish by writing a file.

#include <string>

#include <boost/asio/io_context.hpp>
#include <quetzal/net/http_server.hpp>

namespace quetzal::standins {

// What the platform serves.
struct platform_options
{
    std::string config_file;    // JSON of the published configuration
    std::string instances_file; // JSON of the instance list
    double weight_loads_per_second = 1;
};

// Returns the handler of the platform; it lives as long as the returned function.
//
// GET /v1/config?after=V&wait=MS, GET /v1/instances?after=R&wait=MS: 200 with the JSON, or 304 when
// nothing newer came within the wait. GET /v1/weights/NAME: 200, or 429 beyond the rate. POST
// /control with
// {"config_down":bool,"instances_down":bool,"config_file":"...","lag_ms":N} changes its behaviour.
// GET /control returns the number of calls served.
net::http_handler make_platform(boost::asio::io_context& context, platform_options options);

} // namespace quetzal::standins

#endif
