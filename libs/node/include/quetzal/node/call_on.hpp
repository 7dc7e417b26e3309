#ifndef QUETZAL_NODE_CALL_ON_HPP
#define QUETZAL_NODE_CALL_ON_HPP

// Runs a function on another strand and waits for its result.
//
// GCC 12 copies temporaries of an await expression into the coroutine frame byte by byte, which
// corrupts strings with small-string storage. All coroutines therefore pass arguments that contain
// strings as named variables with std::move.

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace quetzal::node {

// Returns an awaitable for the result of `function()`, which is executed on `strand`. The caller
// resumes on its own executor.
template <class Value, class Function>
boost::asio::awaitable<Value> call_on(boost::asio::any_io_executor strand, Function function)
{
    auto initiate = [](auto handler, boost::asio::any_io_executor where, Function work) {
        boost::asio::post(where, [handler = std::move(handler), work = std::move(work)]() mutable {
            Value value = work();
            const auto back = boost::asio::get_associated_executor(handler);
            boost::asio::post(back,
                              [handler = std::move(handler), value = std::move(value)]() mutable {
                                  std::move(handler)(std::move(value));
                              });
        });
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(Value)>(
        std::move(initiate), boost::asio::use_awaitable, std::move(strand), std::move(function));
}

} // namespace quetzal::node

#endif
