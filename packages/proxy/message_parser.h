#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

namespace poplarfront::proxy {

/// Parses a message and discards the trailer fields of a chunked one, which the base class adds to
/// the header fields: what the header says must not change after the body.
///
/// Not thread-safe.
template <bool IsRequest>
class message_parser
    : public boost::beast::http::parser<IsRequest, boost::beast::http::string_body> {
    using base = boost::beast::http::parser<IsRequest, boost::beast::http::string_body>;

public:
    /// The message without trailer fields. Precondition: is_done(). Called once.
    typename base::value_type release() {
        auto message = base::release();
        if (header_) {
            message.base() = std::move(*header_);
        }
        return message;
    }

private:
    void on_header_impl(boost::system::error_code& ec) override {
        ec = {};
        if (this->chunked()) {
            header_ = this->get().base();
        }
    }

    /// The header as it was before the body of a chunked message.
    std::optional<typename base::value_type::header_type> header_;
};

}  // namespace poplarfront::proxy
