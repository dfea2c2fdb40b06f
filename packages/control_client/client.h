#pragma once

#include <algorithm>
#include <chrono>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "configuration/section_writer.h"
#include "control_client/command_line.h"
#include "control_client/exit_code.h"
#include "control_client/instance_api.h"
#include "wire/configuration_codec.h"
#include "wire/instance_list.h"

namespace poplarfront::control_client {

/// Executes the commands of poplarctl and prints their results.
///
/// Thread safety: used on one thread; calls may suspend in the store, the instances and the clock.
template <store::store_client Store, instance_api Instances, configuration::waiting_clock Clock>
class client {
public:
    /// All references must outlive the client. `nonce` identifies the write in the store, so that
    /// one client writes at most once.
    client(Store& store, Instances& instances, Clock& clock, const command_line& arguments,
           std::string nonce, std::ostream& out, std::ostream& err)
        : store_(store),
          instances_(instances),
          clock_(clock),
          arguments_(arguments),
          nonce_(std::move(nonce)),
          deployment_(model::deployment_id::trusted(arguments.deployment)),
          reader_(store, {}, deployment_),
          out_(out),
          err_(err),
          deadline_(clock.now() + arguments.timeout) {}

    exit_code list() {
        const auto head = read_head();
        if (!head) {
            return exit_code::unknown;
        }
        out_ << "document revision " << head->document_revision.value << "\n";
        for (const auto& name : configuration::section_names()) {
            out_ << name << " revision " << head->section(name).revision.value << "\n";
        }
        return exit_code::success;
    }

    exit_code read() {
        const auto text = read_section(arguments_.section_or_address);
        if (!text) {
            return exit_code::unknown;
        }
        out_ << *text;
        return exit_code::success;
    }

    exit_code validate(const std::string& text) {
        configuration::section_texts all;
        if (!arguments_.store.empty()) {
            const auto head = read_head();
            if (!head || !read_all(*head, all)) {
                return exit_code::unknown;
            }
        }
        all.insert_or_assign(arguments_.section_or_address, text);
        return report(check(all));
    }

    exit_code diff(const std::string& text) {
        const auto old_text = read_section(arguments_.section_or_address);
        if (!old_text) {
            return exit_code::unknown;
        }
        const auto reason = kernel::handle<configuration::section_error>(
            [&]() -> kernel::result<std::string> {
                BOOST_LEAF_AUTO(from, parse(*old_text));
                BOOST_LEAF_AUTO(to, parse(text));
                print(configuration::difference(from, to));
                return std::string{};
            },
            [](const configuration::section_error& error) { return to_string(error); });
        if (!reason.empty()) {
            err_ << "refused: " << reason << "\n";
        }
        return reason.empty() ? exit_code::success : exit_code::refused;
    }

    exit_code write(const std::string& text) {
        configuration::section_write request{arguments_.section_or_address, text, std::nullopt,
                                             nonce_, deadline_};
        if (arguments_.expected_revision) {
            request.expected = model::revision{*arguments_.expected_revision};
        }
        configuration::section_writer writer{store_, wire::configuration_store_codec{}, clock_,
                                             deployment_};
        const auto result = writer.write(request);
        switch (result.status) {
            case configuration::write_status::refused:
                err_ << "refused: " << result.reason << "\n";
                return exit_code::refused;
            case configuration::write_status::conflict:
                err_ << "conflict: " << result.reason << "; it is at revision "
                     << result.revision.value << "\n";
                return exit_code::conflict;
            case configuration::write_status::unknown:
                err_ << "unknown: " << result.reason << "\n";
                return exit_code::unknown;
            case configuration::write_status::accepted:
                break;
        }
        out_ << "accepted: section " << arguments_.section_or_address << " has revision "
             << result.revision.value << "\n";
        // The write is accepted at this point, so its distribution gets a deadline of its own.
        deadline_ = clock_.now() + arguments_.timeout;
        return announce(result);
    }

    exit_code status() {
        const auto head = read_head();
        if (!head) {
            return exit_code::unknown;
        }
        if (arguments_.section_or_address.empty()) {
            return wait_for_revision(instance_addresses(), head->document_revision);
        }
        if (configuration::find_schema(arguments_.section_or_address) == nullptr) {
            err_ << "unknown section " << arguments_.section_or_address << "\n";
            return exit_code::usage;
        }
        return wait_for_revision(instance_addresses(),
                                 head->section(arguments_.section_or_address).revision);
    }

    exit_code state() {
        const auto state = instances_.state(arguments_.section_or_address, deadline_);
        if (!state) {
            err_ << "unknown: " << arguments_.section_or_address << " returned no valid response\n";
            return exit_code::unknown;
        }
        out_ << *state << "\n";
        return exit_code::success;
    }

private:
    /// Number of acknowledgements after which the client stops announcing an accepted write to
    /// further instances.
    static constexpr std::size_t required_acknowledgements = 3;
    /// Keeps the announcement, which also contains the head, below the maximum size of an HTTP
    /// body. Instances get a larger section as a delta or read it from the store.
    static constexpr std::size_t max_announced_text_bytes = std::size_t{1024} * 1024;
    static constexpr std::chrono::milliseconds poll_interval{200};
    static constexpr std::chrono::seconds max_call_duration{1};

    std::optional<configuration::head> read_head() {
        auto result = reader_.read_head(deadline_);
        if (!result.head) {
            err_ << "unknown: " << result.reason << "\n";
        }
        return std::move(result.head);
    }

    bool read_all(const configuration::head& head, configuration::section_texts& all) {
        for (const auto& [name, section] : head.sections) {
            auto result = reader_.read_text(name, section, deadline_);
            if (!result.text) {
                err_ << "unknown: " << result.reason << "\n";
                return false;
            }
            all.insert_or_assign(name, *std::move(result.text));
        }
        return true;
    }

    std::optional<std::string> read_section(const std::string& name) {
        const auto head = read_head();
        if (!head) {
            return std::nullopt;
        }
        auto result = reader_.read_text(name, head->section(name), deadline_);
        if (!result.text) {
            err_ << "unknown: " << result.reason << "\n";
        }
        return std::move(result.text);
    }

    kernel::result<configuration::section_document> parse(std::string_view text) const {
        return configuration::section_document::parse(arguments_.section_or_address, text);
    }

    /// Why the section is invalid; empty if it is valid.
    std::string check(const configuration::section_texts& all) const {
        return kernel::handle<configuration::section_error>(
            [&]() -> kernel::result<std::string> {
                BOOST_LEAF_CHECK(configuration::check_sections(all, arguments_.section_or_address));
                return std::string{};
            },
            [](const configuration::section_error& error) { return to_string(error); });
    }

    exit_code report(const std::string& reason) {
        if (reason.empty()) {
            out_ << "valid\n";
            return exit_code::success;
        }
        err_ << "refused: " << reason << "\n";
        return exit_code::refused;
    }

    void print(const configuration::delta& change) {
        for (const auto& [location, value] : change.changes) {
            out_ << (value ? "set   [" : "erase [") << location.header << "] " << location.key
                 << (value ? " = " + *value : "") << "\n";
        }
    }

    std::vector<std::string> instance_addresses() {
        if (!arguments_.instances.empty()) {
            return arguments_.instances;
        }
        const auto outcome = store_.read(wire::instance_list_key, call_deadline());
        if (outcome.status != store::store_status::ok || outcome.value.version == 0) {
            return {};
        }
        return kernel::handle<wire::wire_error>(
            [&] { return wire::decode_operator_addresses(outcome.value.bytes); },
            [&](const wire::wire_error& error) {
                err_ << "the instance list is malformed: " << error.message << "\n";
                return std::vector<std::string>{};
            });
    }

    exit_code announce(const configuration::write_result& result) {
        const auto addresses = instance_addresses();
        configuration::announcement announcement{result.accepted_head, {}};
        if (result.text.size() <= max_announced_text_bytes) {
            announcement.texts.emplace(arguments_.section_or_address, result.text);
        }
        std::size_t acknowledged = 0;
        for (const auto& address : addresses) {
            if (acknowledged == required_acknowledgements || clock_.now() >= deadline_) {
                break;
            }
            acknowledged += instances_.announce(address, announcement, call_deadline()) ? 1 : 0;
        }
        out_ << "announced to " << acknowledged << " instances\n";
        return arguments_.follow ? wait_for_revision(addresses, result.revision)
                                 : exit_code::success;
    }

    /// Waits until all instances have the revision; at the deadline prints those that lag behind.
    exit_code wait_for_revision(std::vector<std::string> pending, model::revision target) {
        if (pending.empty()) {
            err_ << "unknown: no instance addresses are available; use --instances\n";
            return exit_code::unknown;
        }
        const auto total = pending.size();
        std::vector<std::string> reasons;
        for (;;) {
            reasons = remove_up_to_date(pending, target);
            if (pending.empty()) {
                out_ << "in force: revision " << target.value << " on " << total << " instances\n";
                return exit_code::success;
            }
            if (clock_.now() + poll_interval >= deadline_) {
                break;
            }
            clock_.sleep_until(clock_.now() + poll_interval);
        }
        for (const auto& reason : reasons) {
            err_ << "lags: " << reason << "\n";
        }
        return exit_code::unknown;
    }

    /// Removes the instances that have the revision from `pending`. Returns a description of each
    /// remaining instance.
    std::vector<std::string> remove_up_to_date(std::vector<std::string>& pending,
                                               model::revision target) {
        const auto statuses = instances_.statuses(pending, call_deadline());
        std::vector<std::string> remaining;
        std::vector<std::string> reasons;
        for (std::size_t n = 0; n < pending.size(); ++n) {
            const auto& status = statuses[n];
            if (status && status->revision >= target) {
                continue;
            }
            remaining.push_back(pending[n]);
            reasons.push_back(pending[n] + (status
                                                ? " " + status->instance.text() + " has revision " +
                                                      std::to_string(status->revision.value)
                                                : " returned no valid status"));
        }
        pending = std::move(remaining);
        return reasons;
    }

    kernel::time_point call_deadline() const {
        return std::min(deadline_, clock_.now() + max_call_duration);
    }

    Store& store_;
    Instances& instances_;
    Clock& clock_;
    const command_line& arguments_;
    std::string nonce_;
    model::deployment_id deployment_;
    configuration::store_reader<Store, wire::configuration_store_codec> reader_;
    std::ostream& out_;
    std::ostream& err_;
    kernel::time_point deadline_;
};

}  // namespace poplarfront::control_client
