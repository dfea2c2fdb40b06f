#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace poplarfront::membership {

/// The keys of updates that are still to be sent: the least often sent first, then in the order of
/// arrival.
///
/// Thread safety: used on one thread.
template <class Key>
class dissemination_queue {
public:
    /// Adds a key; if it is in the queue already, its count of transmissions starts again.
    void push(const Key& key) {
        erase(key);
        insert({0, ++last_arrival_}, key);
    }

    void erase(const Key& key) {
        const auto it = positions_.find(key);
        if (it != positions_.end()) {
            order_.erase(it->second);
            positions_.erase(it);
        }
    }

    /// Passes keys to `accept(key)` until it returns false, and counts the accepted ones as sent. A
    /// key that was sent `limit` times is removed.
    template <class Accept>
    void take(std::uint32_t limit, Accept accept) {
        std::vector<std::pair<position, Key>> taken;
        for (const auto& entry : order_) {
            if (!accept(entry.second)) {
                break;
            }
            taken.push_back(entry);
        }
        for (const auto& [pos, key] : taken) {
            erase(key);
            if (pos.send_count + 1 < limit) {
                insert({pos.send_count + 1, pos.arrival}, key);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return order_.size(); }

private:
    struct position {
        std::uint32_t send_count = 0;
        std::uint64_t arrival = 0;
        friend auto operator<=>(const position&, const position&) = default;
    };

    void insert(position pos, const Key& key) {
        order_.emplace(pos, key);
        positions_.emplace(key, pos);
    }

    std::map<position, Key> order_;
    std::map<Key, position> positions_;
    std::uint64_t last_arrival_ = 0;
};

}  // namespace poplarfront::membership
