// Runs one stand-in: `standin platform ...` or `standin endpoint ...`. Stops on SIGTERM or SIGINT.

#include <cstdio>
#include <cstdlib>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include "endpoint.hpp"
#include "platform.hpp"

namespace {

using quetzal::standins::endpoint_options;

struct arguments
{
    std::string kind;
    int port = 0;
    int service_ms = 20;
    int token_ms = 5;
    int tokens = 1;
    int concurrency = 8;
    int cold_concurrency = 1;
    int warm_after = 4;
    int ignore_fence = 0;
    char* name = nullptr;
    char* stage = nullptr;
    char* config = nullptr;
    char* instances = nullptr;
};

std::string text_or(const char* value, const char* fallback)
{
    return value == nullptr ? fallback : value;
}

bool parse(int argc, const char** argv, arguments& parsed)
{
    const poptOption options[] = {
        {"port", 'p', POPT_ARG_INT, &parsed.port, 0, "TCP port on 127.0.0.1", "PORT"},
        {"name", 'n', POPT_ARG_STRING, &parsed.name, 0, "name of the endpoint", "NAME"},
        {"stage", 's', POPT_ARG_STRING, &parsed.stage, 0, "word that answers begin with", "WORD"},
        {"service-ms", 0, POPT_ARG_INT, &parsed.service_ms, 0, "time to the first frame", "MS"},
        {"token-ms", 0, POPT_ARG_INT, &parsed.token_ms, 0, "time between frames", "MS"},
        {"tokens", 0, POPT_ARG_INT, &parsed.tokens, 0, "frames of an answer", "N"},
        {"concurrency", 0, POPT_ARG_INT, &parsed.concurrency, 0, "calls at once", "N"},
        {"cold-concurrency", 0, POPT_ARG_INT, &parsed.cold_concurrency, 0,
         "calls at once while cold", "N"},
        {"warm-after", 0, POPT_ARG_INT, &parsed.warm_after, 0, "calls until warm", "N"},
        {"ignore-fence", 0, POPT_ARG_NONE, &parsed.ignore_fence, 0, "accept orders with any fence",
         nullptr},
        {"config", 0, POPT_ARG_STRING, &parsed.config, 0, "published configuration", "FILE"},
        {"instances", 0, POPT_ARG_STRING, &parsed.instances, 0, "instance list", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("standin", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, "platform|endpoint [options]");
    const int code = poptGetNextOpt(context);
    const char* kind = poptGetArg(context);
    parsed.kind = text_or(kind, "");
    const bool valid = code == -1 && (parsed.kind == "platform" || parsed.kind == "endpoint");
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
    }
    poptFreeContext(context);
    return valid;
}

quetzal::net::http_handler make_handler(boost::asio::io_context& context, const arguments& parsed)
{
    if (parsed.kind == "platform") {
        return quetzal::standins::make_platform(
            context, {text_or(parsed.config, ""), text_or(parsed.instances, ""), 1});
    }
    endpoint_options options;
    options.name = text_or(parsed.name, "endpoint");
    options.stage = text_or(parsed.stage, "result");
    options.service_time = std::chrono::milliseconds(parsed.service_ms);
    options.token_interval = std::chrono::milliseconds(parsed.token_ms);
    options.tokens = static_cast<std::uint32_t>(parsed.tokens);
    options.concurrency = static_cast<std::uint32_t>(parsed.concurrency);
    options.cold_concurrency = static_cast<std::uint32_t>(parsed.cold_concurrency);
    options.warm_after = static_cast<std::uint32_t>(parsed.warm_after);
    options.checks_fence = parsed.ignore_fence == 0;
    return quetzal::standins::make_endpoint(context, options);
}

} // namespace

int main(int argc, const char** argv)
{
    arguments parsed;
    if (!parse(argc, argv, parsed)) {
        return 2;
    }
    boost::asio::io_context context(1);
    quetzal::net::server_limits limits;
    limits.body_size = 4u << 20;
    quetzal::net::http_server server(context.get_executor(), limits, nullptr,
                                     make_handler(context, parsed));
    const auto port = server.listen("127.0.0.1", static_cast<std::uint16_t>(parsed.port));
    if (!port) {
        std::fprintf(stderr, "standin: %s\n", port.error().c_str());
        return 1;
    }
    std::printf("listening on 127.0.0.1:%u\n", static_cast<unsigned>(*port));
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
