#include "gateway/route_index.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

route make_route(const std::string& host, const std::string& prefix) {
    route it;
    it.name = host + prefix;
    it.host = host;
    it.path_prefix = prefix;
    return it;
}

route_index index_of(std::vector<route> routes) {
    gateway_configuration configuration;
    configuration.routes = std::move(routes);
    return route_index{std::make_shared<const gateway_configuration>(std::move(configuration))};
}

std::string find_name(const route_index& index, std::string_view host, std::string_view path) {
    const auto* it = index.find(host, path);
    return it == nullptr ? "" : it->name;
}

TEST_CASE("the longest matching prefix of the host is found in any order of routes") {
    const auto index = index_of({make_route("h", "/a/"), make_route("h", "/a/b/"),
                                 make_route("g", "/a/b/c/"), make_route("h", "/")});
    CHECK(find_name(index, "h", "/a/b/c/d") == "h/a/b/");
    CHECK(find_name(index, "h", "/a/x") == "h/a/");
    CHECK(find_name(index, "h", "/a") == "h/");
    CHECK(find_name(index, "g", "/a/b/c/") == "g/a/b/c/");
    CHECK(find_name(index, "g", "/a/b/") == "");
}

TEST_CASE("the query string, the port and the case of the host are ignored") {
    const auto index = index_of({make_route("host.example", "/a/")});
    CHECK(find_name(index, "HOST.example:8080", "/a/b?x=/c/") == "host.example/a/");
    CHECK(find_name(index, "host.example", "/?x=/a/") == "");
}

TEST_CASE("an index without a configuration finds nothing") {
    CHECK(route_index{}.find("h", "/") == nullptr);
}

}  // namespace
}  // namespace poplarfront::gateway
