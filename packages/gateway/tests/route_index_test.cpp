#include "gateway/route_index.h"

#include <catch2/catch.hpp>

namespace poplarfront::gateway {
namespace {

route made(const std::string& host, const std::string& prefix) {
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

std::string found(const route_index& index, std::string_view host, std::string_view path) {
    const auto* it = index.find(host, path);
    return it == nullptr ? "" : it->name;
}

TEST_CASE("the longest prefix of the host decides, whatever the order of the routes") {
    const auto index =
        index_of({made("h", "/a/"), made("h", "/a/b/"), made("g", "/a/b/c/"), made("h", "/")});
    CHECK(found(index, "h", "/a/b/c/d") == "h/a/b/");
    CHECK(found(index, "h", "/a/x") == "h/a/");
    CHECK(found(index, "h", "/a") == "h/");
    CHECK(found(index, "g", "/a/b/c/") == "g/a/b/c/");
    CHECK(found(index, "g", "/a/b/") == "");
}

TEST_CASE("a query string, a port and the case of the host do not change the route") {
    const auto index = index_of({made("host.example", "/a/")});
    CHECK(found(index, "HOST.example:8080", "/a/b?x=/c/") == "host.example/a/");
    CHECK(found(index, "host.example", "/?x=/a/") == "");
}

TEST_CASE("an index without a configuration finds nothing") {
    CHECK(route_index{}.find("h", "/") == nullptr);
}

}  // namespace
}  // namespace poplarfront::gateway
