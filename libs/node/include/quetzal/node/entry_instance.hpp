#ifndef QUETZAL_NODE_ENTRY_INSTANCE_HPP
#define QUETZAL_NODE_ENTRY_INSTANCE_HPP

// A complete entry instance: creates, connects, starts and stops all of its parts.

#include <memory>

#include <boost/asio/io_context.hpp>
#include <quetzal/config/settings.hpp>
#include <tl/expected.hpp>

namespace quetzal::node {

// `start` and `stop` are thread-safe once constructed.
class entry_instance
{
public:
    entry_instance(boost::asio::io_context& context, config::settings settings);
    ~entry_instance();

    // Opens all ports and starts serving. Returns an error message when a port cannot be used; in
    // that case nothing runs.
    tl::expected<void, std::string> start();

    // Starts a graceful shutdown: rejects new requests, lets accepted requests finish, hands over
    // the rights of this instance and then stops the context. Further calls have no effect.
    void drain();

    // Reloads the TLS certificate files. Does nothing without TLS.
    void reload_certificates();

private:
    struct parts;
    std::shared_ptr<parts> parts_;
};

} // namespace quetzal::node

#endif
