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
    const auto empty = settings::parse("a.ini", "", registered_settings(default_profile));
    REQUIRE(empty);
    module_context context{empty.value()};
    auto running = lifecycle::start(context);
    REQUIRE(running);
    running->stop();
    CHECK(steps == std::vector<std::string>{"start a", "start b", "begin_stop a", "begin_stop b",
                                            "stop b", "stop a", "destroy b", "destroy a"});
}

/// Belongs to one profile only.
class profiled_module {
public:
    static module_descriptor descriptor() {
        return {"profiled", {}, {{"profiled", "key", setting_kind::text}}, {"extra"}};
    }
    static result<std::shared_ptr<profiled_module>> create(module_context&) {
        return std::make_shared<profiled_module>();
    }
    result<void> start() { return {}; }
    void stop() {}
};

const module_registration<profiled_module> module_profiled;

std::vector<std::string> sections_of(std::string_view profile) {
    std::vector<std::string> sections;
    for (const auto& it : registered_settings(profile)) {
        sections.push_back(it.section);
    }
    return sections;
}

TEST_CASE("a required key of a module that the profile does not load is not asked for") {
    CHECK(sections_of(default_profile) == std::vector<std::string>{"process"});
    CHECK(sections_of("extra") == std::vector<std::string>{"process", "profiled"});
}

TEST_CASE("a profile that no module names is refused instead of starting nothing") {
    CHECK(parse_profile("a.ini", "[process]\nprofile = extra\n").value() == "extra");
    CHECK(parse_profile("a.ini", "").value() == default_profile);
    CHECK_FALSE(parse_profile("a.ini", "[process]\nprofile = unknown\n"));
}

TEST_CASE("a module waits for those it comes after only where they are loaded") {
    auto late = entry("a", {});
    late.descriptor.optional_dependencies = {"b", "absent"};
    const auto ordered = creation_order({late, entry("b", {})});
    REQUIRE(ordered);
    CHECK(ordered->at(0).descriptor.name == "b");
    CHECK(ordered->at(1).descriptor.name == "a");
}

TEST_CASE("a circular dependency is refused instead of looping") {
    CHECK_FALSE(creation_order({entry("a", {"b"}), entry("b", {"a"})}));
}

}  // namespace
}  // namespace poplarfront::kernel
