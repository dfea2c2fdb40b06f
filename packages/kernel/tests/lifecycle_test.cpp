#include "kernel/lifecycle.h"

#include <catch2/catch.hpp>

namespace poplarfront::kernel {
namespace {

module_entry entry(std::string name, std::vector<std::string> dependencies) {
    return {{std::move(name), std::move(dependencies), {}}, {}};
}

TEST_CASE("modules are created after their dependencies") {
    const auto ordered = creation_order({entry("a", {"c"}), entry("b", {}), entry("c", {"b"})});
    REQUIRE(ordered);
    CHECK(ordered->at(0).descriptor.name == "b");
    CHECK(ordered->at(1).descriptor.name == "c");
    CHECK(ordered->at(2).descriptor.name == "a");
}

TEST_CASE("a circular dependency is refused instead of looping") {
    CHECK_FALSE(creation_order({entry("a", {"b"}), entry("b", {"a"})}));
}

}  // namespace
}  // namespace poplarfront::kernel
