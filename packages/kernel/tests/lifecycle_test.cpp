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

std::vector<std::string> calls;

/// Records the calls of its functions in `calls`.
template <char Name>
class recording_module {
public:
    static module_descriptor descriptor() { return {std::string{Name}, {}, {}}; }
    static result<std::shared_ptr<recording_module>> create(module_context&) {
        return std::make_shared<recording_module>();
    }
    result<void> start() {
        record("start");
        return {};
    }
    void begin_stop() { record("begin_stop"); }
    void stop() { record("stop"); }

    recording_module() = default;
    recording_module(const recording_module&) = delete;
    recording_module& operator=(const recording_module&) = delete;
    ~recording_module() { record("destroy"); }

private:
    static void record(const std::string& call) { calls.push_back(call + " " + Name); }
};

const module_registration<recording_module<'a'>> module_a;
const module_registration<recording_module<'b'>> module_b;

TEST_CASE("all modules get begin_stop before the first stop and are destroyed after the last") {
    const auto empty = settings::parse("a.ini", "", registered_settings(default_profile));
    REQUIRE(empty);
    module_context context{empty.value()};
    auto running = lifecycle::start(context);
    REQUIRE(running);
    running->stop();
    CHECK(calls == std::vector<std::string>{"start a", "start b", "begin_stop a", "begin_stop b",
                                            "stop b", "stop a", "destroy b", "destroy a"});
}

/// A module that only the profile `extra` loads.
class extra_profile_module {
public:
    static module_descriptor descriptor() {
        return {"extra_only", {}, {{"extra_only", "key", setting_kind::text}}, {"extra"}};
    }
    static result<std::shared_ptr<extra_profile_module>> create(module_context&) {
        return std::make_shared<extra_profile_module>();
    }
    result<void> start() { return {}; }
    void stop() {}
};

const module_registration<extra_profile_module> module_extra_profile;

std::vector<std::string> sections_of(std::string_view profile) {
    std::vector<std::string> sections;
    for (const auto& it : registered_settings(profile)) {
        sections.push_back(it.section);
    }
    return sections;
}

TEST_CASE("the registered settings are only those of modules that the profile loads") {
    CHECK(sections_of(default_profile) == std::vector<std::string>{"process"});
    CHECK(sections_of("extra") == std::vector<std::string>{"process", "extra_only"});
}

TEST_CASE("an unknown profile is rejected instead of starting no module") {
    CHECK(parse_profile("a.ini", "[process]\nprofile = extra\n").value() == "extra");
    CHECK(parse_profile("a.ini", "").value() == default_profile);
    CHECK_FALSE(parse_profile("a.ini", "[process]\nprofile = unknown\n"));
}

TEST_CASE("an optional dependency comes first if it is loaded and is ignored if it is not") {
    auto dependent = entry("a", {});
    dependent.descriptor.optional_dependencies = {"b", "absent"};
    const auto ordered = creation_order({dependent, entry("b", {})});
    REQUIRE(ordered);
    CHECK(ordered->at(0).descriptor.name == "b");
    CHECK(ordered->at(1).descriptor.name == "a");
}

TEST_CASE("a circular dependency is rejected instead of causing an endless loop") {
    CHECK_FALSE(creation_order({entry("a", {"b"}), entry("b", {"a"})}));
}

}  // namespace
}  // namespace poplarfront::kernel
