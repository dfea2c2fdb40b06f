#include "runtime/peer_endpoint.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <zmq.hpp>

#include "runtime/await.h"

namespace poplarfront::runtime {
namespace {

constexpr int max_queued_messages = 1000;
constexpr int linger_ms = 200;
constexpr int initial_reconnect_delay_ms = 100;
constexpr int max_reconnect_delay_ms = 2000;
constexpr int max_sockets = 8192;

}  // namespace

class peer_endpoint::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(std::shared_ptr<fiber_thread> thread, receiver receiver)
        : thread_(std::move(thread)),
          receiver_(std::move(receiver)),
          descriptor_(thread_->context()) {
        context_.set(zmq::ctxopt::max_sockets, max_sockets);
        router_ = zmq::socket_t{context_, zmq::socket_type::router};
    }

    kernel::result<void> bind(const std::string& address) {
        try {
            router_.set(zmq::sockopt::maxmsgsize,
                        static_cast<std::int64_t>(max_peer_message_bytes));
            router_.set(zmq::sockopt::linger, 0);
            router_.bind("tcp://" + address);
        } catch (const zmq::error_t& error) {
            return boost::leaf::new_error(listen_error{address, error.what()});
        }
        descriptor_.assign(router_.get(zmq::sockopt::fd));
        thread_->spawn([self = shared_from_this()] { self->receive_loop(); });
        return {};
    }

    void send(const std::string& address, std::string bytes) {
        if (bytes.size() > max_peer_message_bytes) {
            ++oversized_;
            spdlog::error("event=peer_message_oversized peer={} bytes={} limit={}", address,
                          bytes.size(), max_peer_message_bytes);
            return;
        }
        boost::asio::post(thread_->context(),
                          [self = shared_from_this(), address, bytes = std::move(bytes)] {
                              self->send_now(address, bytes);
                          });
    }

    void reconnect(const std::string& address) {
        boost::asio::post(thread_->context(), [self = shared_from_this(), address] {
            if (const auto it = self->dealers_.find(address); it != self->dealers_.end()) {
                it->second.set(zmq::sockopt::linger, 0);
                self->dealers_.erase(it);
            }
        });
    }

    [[nodiscard]] message_counters counters() const {
        return {sent_, sent_bytes_, received_, received_bytes_, dropped_, oversized_};
    }

    void stop() {
        thread_->run([self = shared_from_this()] { self->close(); });
        context_.close();
    }

private:
    void receive_loop() {
        // ZeroMQ's file descriptor is edge-triggered, so the socket is drained before each wait.
        while (!stopping_) {
            drain();
            const auto [ec] = await([&](auto handler) {
                descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read, handler);
            });
            if (ec) {
                return;
            }
        }
    }

    void drain() {
        while (!stopping_ && (router_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            zmq::message_t part;
            std::string last_part;
            bool more = true;
            while (more && router_.recv(part, zmq::recv_flags::dontwait)) {
                more = part.more();
                if (!more) {
                    last_part = part.to_string();
                }
            }
            ++received_;
            received_bytes_ += last_part.size();
            receiver_(std::move(last_part));
        }
    }

    void send_now(const std::string& address, const std::string& bytes) {
        if (stopping_) {
            return;
        }
        auto* dealer = dealer_for(address);
        if (dealer == nullptr || !dealer->send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            ++dropped_;
            return;
        }
        ++sent_;
        sent_bytes_ += bytes.size();
    }

    /// The socket for messages to `address`; null if the address is invalid or there are too many
    /// sockets.
    zmq::socket_t* dealer_for(const std::string& address) {
        if (const auto it = dealers_.find(address); it != dealers_.end()) {
            return &it->second;
        }
        try {
            zmq::socket_t dealer{context_, zmq::socket_type::dealer};
            dealer.set(zmq::sockopt::sndhwm, max_queued_messages);
            dealer.set(zmq::sockopt::linger, linger_ms);
            dealer.set(zmq::sockopt::reconnect_ivl, initial_reconnect_delay_ms);
            dealer.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_delay_ms);
            dealer.connect("tcp://" + address);
            return &dealers_.emplace(address, std::move(dealer)).first->second;
        } catch (const zmq::error_t&) {
            return nullptr;
        }
    }

    void close() {
        stopping_ = true;
        boost::system::error_code ec;
        descriptor_.cancel(ec);
        descriptor_.release();
        dealers_.clear();
        router_.close();
    }

    std::shared_ptr<fiber_thread> thread_;
    receiver receiver_;
    zmq::context_t context_;
    zmq::socket_t router_;
    std::map<std::string, zmq::socket_t> dealers_;
    boost::asio::posix::stream_descriptor descriptor_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> sent_ = 0;
    std::atomic<std::uint64_t> sent_bytes_ = 0;
    std::atomic<std::uint64_t> received_ = 0;
    std::atomic<std::uint64_t> received_bytes_ = 0;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::atomic<std::uint64_t> oversized_ = 0;
};

kernel::result<std::shared_ptr<peer_endpoint>> peer_endpoint::create(
    std::shared_ptr<fiber_thread> thread, const std::string& address, receiver receiver) {
    auto created = std::make_shared<implementation>(std::move(thread), std::move(receiver));
    BOOST_LEAF_CHECK(created->bind(address));
    return std::shared_ptr<peer_endpoint>(new peer_endpoint(std::move(created)));
}

peer_endpoint::peer_endpoint(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation)) {}

peer_endpoint::~peer_endpoint() = default;

void peer_endpoint::send(const std::string& address, std::string bytes) {
    implementation_->send(address, std::move(bytes));
}

void peer_endpoint::reconnect(const std::string& address) {
    implementation_->reconnect(address);
}

peer_endpoint::message_counters peer_endpoint::counters() const {
    return implementation_->counters();
}

void peer_endpoint::stop() {
    implementation_->stop();
}

}  // namespace poplarfront::runtime
