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

std::vector<std::string> steps;

/// Notes its steps in `steps`.
template <char Name>
class noted_module {
public:
    static module_descriptor descriptor() { return {std::string{Name}, {}, {}}; }
    static result<std::shared_ptr<noted_module>> create(module_context&) {
        return std::make_shared<noted_module>();
    }
    result<void> start() {
        note("start");
        return {};
    }
    void begin_stop() { note("begin_stop"); }
    void stop() { note("stop"); }

    noted_module() = default;
    noted_module(const noted_module&) = delete;
    noted_module& operator=(const noted_module&) = delete;
    ~noted_module() { note("destroy"); }

private:
    static void note(const std::string& step) { steps.push_back(step + " " + Name); }
};

const module_registration<noted_module<'a'>> module_a;
const module_registration<noted_module<'b'>> module_b;

TEST_CASE("every module learns of a stop before the first is stopped, and outlives the last stop") {
    const auto empty = settings::parse("a.ini", "", {});
    REQUIRE(empty);
    module_context context{empty.value()};
    auto running = lifecycle::start(context);
    REQUIRE(running);
    running->stop();
    CHECK(steps == std::vector<std::string>{"start a", "start b", "begin_stop a", "begin_stop b",
                                            "stop b", "stop a", "destroy b", "destroy a"});
}

TEST_CASE("a circular dependency is refused instead of looping") {
    CHECK_FALSE(creation_order({entry("a", {"b"}), entry("b", {"a"})}));
}

}  // namespace
}  // namespace poplarfront::kernel
