#ifndef QUETZAL_NET_TLS_HPP
#define QUETZAL_NET_TLS_HPP

// TLS for connections from callers and operators. Certificates can be reloaded without a restart.

#include <memory>
#include <mutex>
#include <string>

#include <tl/expected.hpp>

namespace boost::asio::ssl {
class context;
}

namespace quetzal::net {

// Paths of a server's certificate chain and private key, both in PEM format.
struct tls_files
{
    std::string certificate;
    std::string key;
};

// Holds the current TLS context of a server. A connection keeps the context that was current when
// the connection was accepted. Thread-safe.
class tls_context
{
public:
    // Loads the files. Returns an error message if they cannot be used.
    static tl::expected<std::shared_ptr<tls_context>, std::string> load(tls_files files);

    // Reads the files again. On error, the previous certificate stays in use.
    tl::expected<void, std::string> reload();

    std::shared_ptr<boost::asio::ssl::context> current() const;

private:
    explicit tls_context(tls_files files) : files_(std::move(files)) {}

    tls_files files_;
    mutable std::mutex mutex_;
    std::shared_ptr<boost::asio::ssl::context> context_;
};

} // namespace quetzal::net

#endif
