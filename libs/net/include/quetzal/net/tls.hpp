#ifndef QUETZAL_NET_TLS_HPP
#define QUETZAL_NET_TLS_HPP

// TLS towards callers and operators. Certificates are read again without a restart.

#include <memory>
#include <mutex>
#include <string>

#include <tl/expected.hpp>

namespace boost::asio::ssl {
class context;
}

namespace quetzal::net {

// The files of a server's certificate chain and private key, both PEM.
struct tls_files
{
    std::string certificate;
    std::string key;
};

// The current TLS context of a server. Connections keep the context that they started with.
// Thread-safe.
class tls_context
{
public:
    // Loads the files; returns what is wrong with them.
    static tl::expected<std::shared_ptr<tls_context>, std::string> load(tls_files files);

    // Reads the files again. On error the former certificate stays in use.
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
