#include "wire/gather_codec.h"

#include <catch2/catch.hpp>

#include "wire/generated/peer.pb.h"

namespace poplarfront::wire {
namespace {

gateway::gather_report answered() {
    gateway::gather_report report;
    report.number = 3;
    report.status = gateway::gather_report::gather_status::answered;
    report.load = 0.25;
    report.answer.kind = gateway::answer_kind::gathered;
    report.answer.signatures = {"one", "two"};
    report.answer.missing = 1;
    report.answer.records = std::string("\0\xff", 2);
    report.answer.reason = "a reason";
    report.answer.retry_after = std::chrono::milliseconds{70};
    report.answer.summary.covered = 2;
    report.answer.summary.last_failure = "lost@a";
    report.at_partial_deadline = true;
    return report;
}

TEST_CASE("an order arrives as it was sent, with any bytes") {
    gateway::delegated_gather order;
    order.number = 7;
    order.reply_to = "127.0.0.1:5";
    order.configuration_version = 9;
    order.request_id = "id";
    order.host = "h";
    order.target = "/a?b";
    order.fingerprint = ~std::uint64_t{0};
    order.time_to_partial_deadline = std::chrono::milliseconds{40};
    order.time_to_final_deadline = std::chrono::milliseconds{400};
    order.head = "GET /a?b HTTP/1.1\r\n";
    order.body = std::string("\0\xff", 2);
    order.without_reply_body = true;
    order.max_attempts = 2;
    CHECK(decode_delegated_gather(encode_delegated_gather(order)).value() == order);
    const gateway::delegated_gather_reference warm_up{8, "127.0.0.1:5"};
    CHECK(decode_delegated_gather_reference(encode_delegated_gather_reference(warm_up)).value() ==
          warm_up);
    const gateway::delegated_gather_reference confirmation{7, "127.0.0.1:5"};
    CHECK(decode_delegated_gather_reference(encode_delegated_gather_reference(confirmation))
              .value() == confirmation);
    const gateway::gather_cancel cancel{7, "127.0.0.1:5", true};
    CHECK(decode_gather_cancel(encode_gather_cancel(cancel)).value() == cancel);
}

TEST_CASE("a time that is over arrives as zero instead of a very long one") {
    gateway::delegated_gather order;
    order.time_to_partial_deadline = -std::chrono::milliseconds{1};
    CHECK(
        decode_delegated_gather(encode_delegated_gather(order)).value().time_to_partial_deadline ==
        kernel::duration::zero());
}

TEST_CASE("a report arrives as it was sent") {
    CHECK(decode_gather_report(encode_gather_report(answered())).value() == answered());
    gateway::gather_report in_progress;
    in_progress.status = gateway::gather_report::gather_status::in_progress;
    in_progress.next_report = std::chrono::milliseconds{30};
    CHECK(decode_gather_report(encode_gather_report(in_progress)).value() == in_progress);
}

TEST_CASE("a truncated report and one of an unknown kind are refused") {
    const auto bytes = encode_gather_report(answered());
    CHECK_FALSE(decode_gather_report(std::string_view{bytes}.substr(0, bytes.size() - 1)));
    proto::GatherReport unknown;
    unknown.set_outcome(proto::GatherReport::ANSWERED);
    unknown.set_kind(99);
    CHECK_FALSE(decode_gather_report(unknown.SerializeAsString()));
}

}  // namespace
}  // namespace poplarfront::wire
