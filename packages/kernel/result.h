#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

namespace poplarfront::kernel {

/// A value or a typed error. Error objects are kept in thread-local handler scopes, so a handler
/// scope must not contain a fiber suspension point.
template <class T>
using result = boost::leaf::result<T>;

/// Runs `body`, which returns result<T>. On an error of type Error it returns what
/// `on_error(const Error&)` returns; errors of other types become a default-constructed Error.
///
/// Precondition: `body` does not suspend the calling fiber. Thread-safe.
template <class Error, class Body, class OnError>
auto handle(Body&& body, OnError&& on_error) {
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Error& error) { return on_error(error); },
        [&] { return on_error(Error{}); });
}

}  // namespace poplarfront::kernel
