#include <catch2/catch.hpp>

#include "model/action.h"
#include "model/backend.h"
#include "model/instance_view.h"
#include "model/shard_map.h"

namespace poplarfront::model {
namespace {

server_info server(const std::string& name) {
    return {server_id::trusted(name), "127.0.0.1:1", data_centre_id::trusted("d"), 2, 55};
}

TEST_CASE("an identifier rejects characters that could corrupt keys or logs, and wrong lengths") {
    CHECK(searcher_id::create("mill-1"));
    CHECK_FALSE(searcher_id::create(""));
    CHECK_FALSE(searcher_id::create("a b"));
    CHECK_FALSE(searcher_id::create(std::string(65, 'a')));
}

TEST_CASE("a shard map with an unknown, repeated or missing replica is rejected") {
    const auto service = service_id::trusted("s");
    const auto shard = shard_id::trusted("0");
    const auto a = server_id::trusted("a");
    const auto b = server_id::trusted("b");
    CHECK(shard_map::create({1}, {{service, "", {{shard, {a}}}}}, {server("a")}));
    CHECK_FALSE(shard_map::create({1}, {{service, "", {{shard, {b}}}}}, {server("a")}));
    CHECK_FALSE(shard_map::create({1}, {{service, "", {{shard, {a, a}}}}}, {server("a")}));
    CHECK_FALSE(shard_map::create({1}, {{service, "", {{shard, {}}}}}, {server("a")}));
}

TEST_CASE("an answer with a missing shard is not complete") {
    search_answer answer;
    answer.shards = {{{service_id::trusted("s"), shard_id::trusted("0")}, missing_reason::none}};
    CHECK(answer.complete());
    answer.shards.push_back(
        {{service_id::trusted("s"), shard_id::trusted("1")}, missing_reason::timed_out});
    CHECK_FALSE(answer.complete());
}

TEST_CASE("only a failure before execution counts as certainly not executed") {
    CHECK(certainly_not_executed(attempt_status::shed));
    CHECK(certainly_not_executed(attempt_status::not_sent));
    CHECK_FALSE(certainly_not_executed(attempt_status::connection_lost));
    CHECK_FALSE(certainly_not_executed(attempt_status::timed_out));
}

}  // namespace
}  // namespace poplarfront::model
