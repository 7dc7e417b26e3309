#include <quetzal/net/tls.hpp>

#include <boost/asio/ssl/context.hpp>

namespace quetzal::net {

namespace {

namespace ssl = boost::asio::ssl;

tl::expected<std::shared_ptr<ssl::context>, std::string> load_context(const tls_files& files)
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                             ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                             ssl::context::no_tlsv1_1,
                         error);
    context->use_certificate_chain_file(files.certificate, error);
    if (error) {
        return tl::unexpected("cannot load the certificate file: " + error.message());
    }
    context->use_private_key_file(files.key, ssl::context::pem, error);
    if (error) {
        return tl::unexpected("cannot load the private key file: " + error.message());
    }
    return context;
}

} // namespace

tl::expected<std::shared_ptr<tls_context>, std::string> tls_context::load(tls_files files)
{
    std::shared_ptr<tls_context> loaded(new tls_context(std::move(files)));
    if (const auto reloaded = loaded->reload(); !reloaded) {
        return tl::unexpected(reloaded.error());
    }
    return loaded;
}

tl::expected<void, std::string> tls_context::reload()
{
    auto new_context = load_context(files_);
    if (!new_context) {
        return tl::unexpected(new_context.error());
    }
    const std::lock_guard lock(mutex_);
    context_ = std::move(*new_context);
    return {};
}

std::shared_ptr<ssl::context> tls_context::current() const
{
    const std::lock_guard lock(mutex_);
    return context_;
}

} // namespace quetzal::net
