#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace poplarfront::membership {

/// Keys whose news is still to be sent: the least often sent first, then in the order of arrival.
///
/// Thread safety: used on one thread.
template <class Key>
class dissemination_queue {
public:
    /// Starts to send the news of a key, or starts again.
    void push(const Key& key) {
        erase(key);
        insert({0, ++last_arrival_}, key);
    }

    void erase(const Key& key) {
        const auto it = places_.find(key);
        if (it != places_.end()) {
            order_.erase(it->second);
            places_.erase(it);
        }
    }

    /// Takes keys while `accept(key)` is true and counts each as sent; a key that was sent `limit`
    /// times leaves the queue.
    template <class Accept>
    void take(std::uint32_t limit, Accept accept) {
        std::vector<std::pair<place, Key>> taken;
        for (const auto& entry : order_) {
            if (!accept(entry.second)) {
                break;
            }
            taken.push_back(entry);
        }
        for (const auto& [at, key] : taken) {
            erase(key);
            if (at.sent + 1 < limit) {
                insert({at.sent + 1, at.arrival}, key);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return order_.size(); }

private:
    struct place {
        std::uint32_t sent = 0;
        std::uint64_t arrival = 0;
        friend auto operator<=>(const place&, const place&) = default;
    };

    void insert(place at, const Key& key) {
        order_.emplace(at, key);
        places_.emplace(key, at);
    }

    std::map<place, Key> order_;
    std::map<Key, place> places_;
    std::uint64_t last_arrival_ = 0;
};

}  // namespace poplarfront::membership
