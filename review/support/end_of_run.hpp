#ifndef QUETZAL_REVIEW_END_OF_RUN_HPP
#define QUETZAL_REVIEW_END_OF_RUN_HPP

#include <csignal>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzal::review {

// Ends a run that is told to stop or takes too long, so that the processes that it started are
// ended with it.
class end_of_run
{
public:
    explicit end_of_run(boost::asio::io_context& context)
        : signals_(context, SIGINT, SIGTERM, SIGHUP), timer_(context, longest)
    {
        signals_.async_wait([&context](const boost::system::error_code& error, int) {
            if (!error) {
                context.stop();
            }
        });
        timer_.async_wait([&context](const boost::system::error_code& error) {
            if (!error) {
                context.stop();
            }
        });
    }

private:
    static constexpr std::chrono::seconds longest{110};

    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
};

} // namespace quetzal::review

#endif
