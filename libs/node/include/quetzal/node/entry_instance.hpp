#ifndef QUETZAL_NODE_ENTRY_INSTANCE_HPP
#define QUETZAL_NODE_ENTRY_INSTANCE_HPP

// A whole entry instance: joins all parts, starts and stops them.

#include <memory>

#include <boost/asio/io_context.hpp>
#include <quetzal/config/settings.hpp>
#include <tl/expected.hpp>

namespace quetzal::node {

// One instance. `start` and `stop` are thread-safe once constructed.
class entry_instance
{
public:
    entry_instance(boost::asio::io_context& context, config::settings settings);
    ~entry_instance();

    // Opens all ports. Returns an error text when one cannot be used; nothing runs then.
    tl::expected<void, std::string> start();

    // Planned stop: refuses new requests, hands over its rights, lets accepted requests finish, and
    // then stops the context. A second call changes nothing.
    void drain();

    // Reads the certificate files again.
    void reload_certificates();

private:
    struct parts;
    std::shared_ptr<parts> parts_;
};

} // namespace quetzal::node

#endif
