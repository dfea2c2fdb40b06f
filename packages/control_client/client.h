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

/// Executes the commands of poplarctl.
///
/// Thread safety: used on one thread; calls may suspend in the store, the instances and the clock.
template <store::store_client Store, instance_api Instances, configuration::waiting_clock Clock>
class client {
public:
    /// All references must outlive the client. `nonce` is unique to this process.
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
        // The acceptance stands, so spreading it gets a time limit of its own.
        deadline_ = clock_.now() + arguments_.timeout;
        return spread(result);
    }

    exit_code status() {
        const auto head = read_head();
        if (!head) {
            return exit_code::unknown;
        }
        if (arguments_.section_or_address.empty()) {
            return follow(instance_addresses(), head->document_revision);
        }
        if (configuration::find_schema(arguments_.section_or_address) == nullptr) {
            err_ << "no section has the name " << arguments_.section_or_address << "\n";
            return exit_code::usage;
        }
        return follow(instance_addresses(), head->section(arguments_.section_or_address).revision);
    }

    exit_code state() {
        const auto state = instances_.state(arguments_.section_or_address, deadline_);
        if (!state) {
            err_ << "unknown: " << arguments_.section_or_address << " did not answer\n";
            return exit_code::unknown;
        }
        out_ << *state << "\n";
        return exit_code::success;
    }

private:
    /// Instances that must have acknowledged an acceptance before the client stops announcing it.
    static constexpr std::size_t announcements = 3;
    /// With the head it stays below the largest HTTP body. Instances reach a larger section by its
    /// delta or read it from the store.
    static constexpr std::size_t max_announced_text_bytes = std::size_t{1024} * 1024;
    static constexpr std::chrono::milliseconds poll_interval{200};
    static constexpr std::chrono::seconds longest_call{1};

    std::optional<configuration::head> read_head() {
        auto reading = reader_.read_head(deadline_);
        if (!reading.head) {
            err_ << "unknown: " << reading.reason << "\n";
        }
        return std::move(reading.head);
    }

    bool read_all(const configuration::head& head, configuration::section_texts& all) {
        for (const auto& [name, section] : head.sections) {
            auto reading = reader_.read_text(name, section, deadline_);
            if (!reading.text) {
                err_ << "unknown: " << reading.reason << "\n";
                return false;
            }
            all.insert_or_assign(name, *std::move(reading.text));
        }
        return true;
    }

    std::optional<std::string> read_section(const std::string& name) {
        const auto head = read_head();
        if (!head) {
            return std::nullopt;
        }
        auto reading = reader_.read_text(name, head->section(name), deadline_);
        if (!reading.text) {
            err_ << "unknown: " << reading.reason << "\n";
        }
        return std::move(reading.text);
    }

    kernel::result<configuration::section_document> parse(std::string_view text) const {
        return configuration::section_document::parse(arguments_.section_or_address, text);
    }

    /// Empty if the section is valid.
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
        for (const auto& [place, value] : change.changes) {
            out_ << (value ? "set   [" : "erase [") << place.header << "] " << place.key
                 << (value ? " = " + *value : "") << "\n";
        }
    }

    std::vector<std::string> instance_addresses() {
        if (!arguments_.instances.empty()) {
            return arguments_.instances;
        }
        const auto outcome = store_.read(wire::instance_list_key, call_limit());
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

    exit_code spread(const configuration::write_result& result) {
        const auto addresses = instance_addresses();
        configuration::announcement announcement{result.accepted, {}};
        if (result.text.size() <= max_announced_text_bytes) {
            announcement.texts.emplace(arguments_.section_or_address, result.text);
        }
        std::size_t acknowledged = 0;
        for (const auto& address : addresses) {
            if (acknowledged == announcements || clock_.now() >= deadline_) {
                break;
            }
            acknowledged += instances_.announce(address, announcement, call_limit()) ? 1 : 0;
        }
        out_ << "announced to " << acknowledged << " instances\n";
        return arguments_.follow ? follow(addresses, result.revision) : exit_code::success;
    }

    /// Waits until all instances have the revision, and names those that lag.
    exit_code follow(std::vector<std::string> lagging, model::revision target) {
        if (lagging.empty()) {
            err_ << "unknown: no instance is known; use --instances\n";
            return exit_code::unknown;
        }
        const auto total = lagging.size();
        std::vector<std::string> reasons;
        for (;;) {
            reasons = keep_lagging(lagging, target);
            if (lagging.empty()) {
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

    /// Removes the instances that have the revision; returns what is known of the others.
    std::vector<std::string> keep_lagging(std::vector<std::string>& lagging,
                                          model::revision target) {
        const auto statuses = instances_.statuses(lagging, call_limit());
        std::vector<std::string> still;
        std::vector<std::string> reasons;
        for (std::size_t n = 0; n < lagging.size(); ++n) {
            const auto& status = statuses[n];
            if (status && status->revision >= target) {
                continue;
            }
            still.push_back(lagging[n]);
            reasons.push_back(lagging[n] + (status
                                                ? " " + status->instance.text() + " has revision " +
                                                      std::to_string(status->revision.value)
                                                : " does not answer"));
        }
        lagging = std::move(still);
        return reasons;
    }

    kernel::time_point call_limit() const {
        return std::min(deadline_, clock_.now() + longest_call);
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
