#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "membership/virtual_cluster.h"

namespace poplarfront::membership {
namespace {

using model::instance_id;
using model::instance_status;
using namespace std::chrono_literals;

/// A link without loss.
struct fast_link {
    std::optional<kernel::duration> transit(const peer_message&, kernel::time_point) {
        return kernel::duration{1ms};
    }
};

model::instance_info instance(std::size_t number) {
    const auto name = "i" + std::to_string(number);
    return {instance_id::trusted(name), model::data_centre_id::trusted("here"), name + ":1",
            model::incarnation{1}, instance_status::alive};
}

// Guards against a frozen instance that no other one contacts for several seconds, so that the
// owner of a shard group is still taken as alive after 6 s (0.45% of the runs with a random choice
// of the peer in each exchange).
TEST_CASE("in a small deployment a frozen instance is not alive after 6 s") {
    constexpr std::size_t instances = 4;
    constexpr std::uint64_t runs = 20000;
    const auto frozen = instance(0).instance;
    std::uint64_t undetected = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        fast_link link;
        virtual_cluster<fast_link> cluster{link, seed, {}};
        std::vector<instance_list_entry> list;
        for (std::size_t n = 0; n < instances; ++n) {
            list.push_back({instance(n), false});
        }
        for (std::size_t n = 0; n < instances; ++n) {
            cluster.start(instance(n), list);
        }
        const auto freeze = cluster.now() + 2s + std::chrono::milliseconds{seed % 1000};
        cluster.run_until(freeze);
        cluster.pause(frozen, freeze + 1h);
        cluster.run_until(freeze + 6s);
        const auto* seen = cluster.view(instance(1).instance).find(frozen);
        undetected += seen != nullptr && seen->status == instance_status::alive ? 1 : 0;
    }
    CHECK(undetected == 0);
}

}  // namespace
}  // namespace poplarfront::membership
