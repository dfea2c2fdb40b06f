#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

namespace poplarfront::gateway {

/// The replies of backend servers that one traffic thread is receiving, and the memory that they
/// use together. A limit for each reply alone does not bound the memory of a process, because
/// faulty backend servers may send without end in any number of calls.
///
/// `Key` identifies a reply. Not thread-safe.
template <class Key>
class incomplete_replies {
public:
    /// `max_bytes`: the size of all replies together above which the largest one is given up.
    explicit incomplete_replies(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Records that `bytes` of a reply have been received so far. Returns the reply that is to be
    /// given up, if any: the largest one, so that replies of ordinary size are received beside
    /// replies without end. The caller removes it.
    [[nodiscard]] std::optional<Key> on_received(const Key& reply, std::size_t bytes) {
        auto& known = bytes_[reply];
        total_bytes_ = total_bytes_ - known + bytes;
        known = bytes;
        if (total_bytes_ <= max_bytes_) {
            return std::nullopt;
        }
        return std::max_element(bytes_.begin(), bytes_.end(),
                                [](const auto& a, const auto& b) { return a.second < b.second; })
            ->first;
    }

    /// Does nothing if the reply is not known.
    void remove(const Key& reply) {
        if (const auto it = bytes_.find(reply); it != bytes_.end()) {
            total_bytes_ -= it->second;
            bytes_.erase(it);
        }
    }

    void clear() {
        bytes_.clear();
        total_bytes_ = 0;
    }

    [[nodiscard]] std::size_t total_bytes() const { return total_bytes_; }

private:
    std::size_t max_bytes_;
    std::size_t total_bytes_ = 0;
    std::map<Key, std::size_t> bytes_;
};

}  // namespace poplarfront::gateway
