#include "gateway/incomplete_replies.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t max_bytes = 1000 * kilobyte;

// Guards against replies without end that fill the memory of a process together, although each of
// them is within its own limit.
TEST_CASE("replies without end stay within the limit, and replies of ordinary size are received") {
    incomplete_replies<int> replies{max_bytes};
    constexpr int faulty_count = 90;
    constexpr int sound = faulty_count;
    constexpr int rounds = 500;
    std::map<int, std::size_t> received;
    std::size_t broken_off = 0;
    for (int round = 1; round <= rounds; ++round) {
        for (int reply = 0; reply < faulty_count; ++reply) {
            received[reply] += 10 * kilobyte;
            while (const auto largest = replies.on_received(reply, received[reply])) {
                REQUIRE(*largest != sound);
                replies.remove(*largest);
                received[*largest] = 0;
                ++broken_off;
                if (*largest == reply) {
                    break;
                }
            }
            REQUIRE(replies.total_bytes() <= max_bytes);
        }
        CHECK_FALSE(replies.on_received(sound, static_cast<std::size_t>(round) * 16));
    }
    CHECK(broken_off > 0);
}

TEST_CASE("a reply that has ended no longer counts") {
    incomplete_replies<int> replies{max_bytes};
    CHECK_FALSE(replies.on_received(1, max_bytes));
    CHECK(replies.on_received(2, 1) == 1);
    replies.remove(1);
    replies.remove(1);
    CHECK(replies.total_bytes() == 1);
    CHECK_FALSE(replies.on_received(2, max_bytes));
    replies.clear();
    CHECK(replies.total_bytes() == 0);
}

}  // namespace
}  // namespace poplarfront::gateway
