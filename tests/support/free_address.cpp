#include "support/free_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <random>

namespace poplarfront::test_support {

std::string free_address() {
    namespace asio = boost::asio;
    constexpr unsigned first_port = 10'000;
    constexpr unsigned ports = 20'000;
    static std::mt19937 random{std::random_device{}()};
    while (true) {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor{context};
        const auto port = static_cast<unsigned short>(first_port + random() % ports);
        boost::system::error_code ec;
        acceptor.open(asio::ip::tcp::v4(), ec);
        acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

}  // namespace poplarfront::test_support
