#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>
#include <tuple>
#include <utility>

namespace poplarfront::runtime {

/// Starts an asynchronous operation and suspends the calling fiber until its handler has run.
/// `start(handler)` must start the operation with `handler`, whose signature is
/// void(error_code, Results...).
/// Precondition: the caller is a fiber of the thread that runs the operation's io_context.
template <class... Results, class Start>
std::tuple<boost::system::error_code, Results...> await(Start&& start) {
    using outcome = std::tuple<boost::system::error_code, Results...>;
    boost::fibers::promise<outcome> promise;
    auto future = promise.get_future();
    std::forward<Start>(start)([&promise](boost::system::error_code ec, Results... results) {
        promise.set_value(outcome{ec, std::move(results)...});
    });
    return future.get();
}

}  // namespace poplarfront::runtime
