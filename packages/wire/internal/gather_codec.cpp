#include "wire/gather_codec.h"

#include <algorithm>
#include <chrono>

#include "wire/generated/peer.pb.h"
#include "wire/internal/proto_fields.h"

namespace poplarfront::wire {
namespace {

using outcome = gateway::gather_report::gather_status;

std::uint64_t to_us(kernel::duration time) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return us > 0 ? static_cast<std::uint64_t>(us) : 0;
}

kernel::duration from_us(std::uint64_t us) {
    // One day, which is longer than the time of any request.
    constexpr std::uint64_t max_duration_us = 86'400'000'000;
    return std::chrono::microseconds{static_cast<std::int64_t>(std::min(us, max_duration_us))};
}

kernel::result<gateway::answer_kind> to_kind(std::uint32_t kind) {
    const auto known = static_cast<gateway::answer_kind>(kind);
    switch (known) {
        case gateway::answer_kind::gathered:
        case gateway::answer_kind::not_run:
        case gateway::answer_kind::failed:
        case gateway::answer_kind::timed_out:
            return known;
        case gateway::answer_kind::passed_on:
            break;
    }
    return boost::leaf::new_error(
        wire_error{"kind", "is not a kind of answer that a gather can give"});
}

kernel::result<outcome> to_outcome(proto::GatherReport::Outcome value) {
    switch (value) {
        case proto::GatherReport::REFUSED:
            return outcome::refused;
        case proto::GatherReport::AT_WORK:
            return outcome::in_progress;
        case proto::GatherReport::ANSWERED:
            return outcome::answered;
        default:
            return boost::leaf::new_error(wire_error{"outcome", "has an unknown value"});
    }
}

proto::GatherReport::Outcome to_proto(outcome value) {
    switch (value) {
        case outcome::in_progress:
            return proto::GatherReport::AT_WORK;
        case outcome::answered:
            return proto::GatherReport::ANSWERED;
        case outcome::refused:
            break;
    }
    return proto::GatherReport::REFUSED;
}

void to_proto(const gateway::request_summary& summary, proto::GatherSummary& message) {
    message.set_configuration_version(summary.configuration_version);
    message.set_shards(summary.shards);
    message.set_covered(summary.covered);
    message.set_attempts(summary.attempts);
    message.set_hedges(summary.hedges);
    message.set_retries(summary.retries);
    message.set_over_budget(summary.over_budget);
    message.set_last_failure(summary.last_failure);
}

gateway::request_summary from_proto(const proto::GatherSummary& message) {
    gateway::request_summary summary;
    summary.configuration_version = message.configuration_version();
    summary.shards = message.shards();
    summary.covered = message.covered();
    summary.attempts = message.attempts();
    summary.hedges = message.hedges();
    summary.retries = message.retries();
    summary.over_budget = message.over_budget();
    summary.last_failure = message.last_failure();
    return summary;
}

}  // namespace

std::string encode_delegated_gather(const gateway::delegated_gather& gather) {
    proto::GatherOrder message;
    message.set_number(gather.number);
    message.set_reply_to(gather.reply_to);
    message.set_configuration_version(gather.configuration_version);
    message.set_request_id(gather.request_id);
    message.set_host(gather.host);
    message.set_target(gather.target);
    message.set_fingerprint(gather.fingerprint);
    message.set_answer_us(to_us(gather.time_to_partial_deadline));
    message.set_end_us(to_us(gather.time_to_final_deadline));
    message.set_head(gather.head);
    message.set_body(gather.body);
    message.set_without_reply_body(gather.without_reply_body);
    message.set_max_attempts(gather.max_attempts);
    return message.SerializeAsString();
}

kernel::result<gateway::delegated_gather> decode_delegated_gather(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::GatherOrder>(bytes));
    gateway::delegated_gather gather;
    gather.number = message.number();
    gather.reply_to = message.reply_to();
    gather.configuration_version = message.configuration_version();
    gather.request_id = message.request_id();
    gather.host = message.host();
    gather.target = message.target();
    gather.fingerprint = message.fingerprint();
    gather.time_to_partial_deadline = from_us(message.answer_us());
    gather.time_to_final_deadline = from_us(message.end_us());
    gather.head = message.head();
    gather.body = message.body();
    gather.without_reply_body = message.without_reply_body();
    gather.max_attempts = message.max_attempts();
    return gather;
}

std::string encode_delegated_gather_reference(
    const gateway::delegated_gather_reference& reference) {
    proto::OrderReference message;
    message.set_number(reference.number);
    message.set_reply_to(reference.reply_to);
    return message.SerializeAsString();
}

kernel::result<gateway::delegated_gather_reference> decode_delegated_gather_reference(
    std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::OrderReference>(bytes));
    return gateway::delegated_gather_reference{message.number(), message.reply_to()};
}

std::string encode_gather_cancel(const gateway::gather_cancel& cancel) {
    proto::GatherCancel message;
    message.set_number(cancel.number);
    message.set_reply_to(cancel.reply_to);
    message.set_unheard(cancel.reports_missed);
    return message.SerializeAsString();
}

kernel::result<gateway::gather_cancel> decode_gather_cancel(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::GatherCancel>(bytes));
    return gateway::gather_cancel{message.number(), message.reply_to(), message.unheard()};
}

std::string encode_gather_report(const gateway::gather_report& report) {
    proto::GatherReport message;
    message.set_number(report.number);
    message.set_outcome(to_proto(report.status));
    message.set_next_report_us(to_us(report.next_report));
    message.set_load(report.load);
    if (report.status == outcome::answered) {
        message.set_kind(static_cast<std::uint32_t>(report.answer.kind));
        for (const auto& signature : report.answer.signatures) {
            message.add_signatures(signature);
        }
        message.set_missing(report.answer.missing);
        message.set_records(report.answer.records);
        message.set_retry_after_us(to_us(report.answer.retry_after));
        message.set_reason(report.answer.reason);
        message.set_when_due(report.at_partial_deadline);
        to_proto(report.answer.summary, *message.mutable_summary());
    }
    return message.SerializeAsString();
}

kernel::result<gateway::gather_report> decode_gather_report(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, internal::parse_message<proto::GatherReport>(bytes));
    gateway::gather_report report;
    BOOST_LEAF_ASSIGN(report.status, to_outcome(message.outcome()));
    report.number = message.number();
    report.next_report = from_us(message.next_report_us());
    report.load = message.load();
    if (report.status == outcome::answered) {
        BOOST_LEAF_ASSIGN(report.answer.kind, to_kind(message.kind()));
        report.answer.signatures.assign(message.signatures().begin(), message.signatures().end());
        report.answer.missing = message.missing();
        report.answer.records = message.records();
        report.answer.retry_after = from_us(message.retry_after_us());
        report.answer.reason = message.reason();
        report.at_partial_deadline = message.when_due();
        report.answer.summary = from_proto(message.summary());
    }
    return report;
}

}  // namespace poplarfront::wire
