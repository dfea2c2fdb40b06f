#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "configuration/section_schema.h"
#include "configuration/store_reader.h"
#include "kernel/concepts.h"

namespace poplarfront::configuration {

/// A clock whose reader can also wait, without spinning, until a time has come.
template <class T>
concept waiting_clock = kernel::clock_source<T> && requires(T& clock, kernel::time_point until) {
    { clock.sleep_until(until) } -> std::same_as<void>;
};

/// One write of a section as an operator states it.
struct section_write {
    std::string section;
    /// INI text.
    std::string text;
    /// The section's revision that the text was made from; absent: the one in the store now.
    std::optional<model::revision> expected;
    /// Unique to this write; 1 to 20 identifier characters without '/'.
    std::string nonce;
    kernel::time_point deadline;
    friend auto operator<=>(const section_write&, const section_write&) = default;
};

enum class write_status {
    /// The section has the given content at `revision`.
    accepted,
    /// Certainly not accepted, and it never will be.
    refused,
    /// Not accepted, because the section was changed meanwhile; `revision` is the newer one.
    conflict,
    /// The store did not say in time whether it took effect.
    unknown,
};

struct write_result {
    write_status status = write_status::refused;
    model::revision revision;
    std::string reason;
    /// If accepted: the head to announce to instances, and the section's canonical text.
    head accepted;
    std::string text;
    friend auto operator<=>(const write_result&, const write_result&) = default;
};

/// Validates a section and gets it accepted by a compare-and-swap of the head.
///
/// Thread safety: used on one thread; `write` may suspend in the store client and the clock, both
/// of which must outlive the writer.
template <store::store_client Store, store_codec Codec, waiting_clock Clock>
class section_writer {
public:
    section_writer(Store& store, Codec codec, Clock& clock, model::deployment_id deployment)
        : store_(store),
          codec_(codec),
          clock_(clock),
          deployment_(std::move(deployment)),
          reader_(store, std::move(codec), deployment_) {}

    /// Returns at the deadline at the latest, plus the time of one store call.
    write_result write(const section_write& request) {
        progress progress;
        while (clock_.now() < request.deadline) {
            const auto reading = reader_.read_head(call_limit(request));
            if (reading.head) {
                if (auto result = step(request, reading, progress)) {
                    return *std::move(result);
                }
            } else if (!reading.transient) {
                return given_up(request, progress, reading.reason);
            } else {
                wait();
            }
        }
        return given_up(request, progress, "the store did not answer in time");
    }

private:
    /// A head whose compare-and-swap was sent.
    struct proposal {
        std::uint64_t version = 0;
        head next;
    };

    struct progress {
        /// Set while it is not known whether the store took the proposal.
        std::optional<proposal> unsettled;
        /// The section's revision that the write replaces.
        std::optional<model::revision> replaces;
        section_document document;
        /// Texts of accepted sections by name, at the revision that was read.
        std::map<std::string, std::pair<model::revision, std::string>> texts;
        std::vector<std::string> blob_keys;
        std::string canonical;
    };

    static constexpr std::chrono::milliseconds retry_delay{50};
    static constexpr std::chrono::seconds longest_call{1};
    /// Leaves room for the other fields of a blob.
    static constexpr std::size_t max_part_bytes = store::max_value_bytes - 1024;

    /// Goes on from a head; nothing if the head must be read again.
    std::optional<write_result> step(const section_write& request, const head_read_result& reading,
                                     progress& progress) {
        if (auto settled = settle(request, reading, progress)) {
            return settled;
        }
        if (progress.unsettled) {
            return swap(request, *progress.unsettled, progress);
        }
        if (auto ended = prepare(request, *reading.head, progress)) {
            return *ended;
        }
        if (!write_blobs(request, *reading.head, progress)) {
            wait();
            return std::nullopt;
        }
        section_head next{{}, progress.blob_keys, digest_of(progress.canonical), request.nonce};
        const auto change = difference(old_document(request, progress), progress.document);
        return swap(
            request,
            {reading.version, reading.head->accept(request.section, std::move(next), change)},
            progress);
    }

    /// Finds out whether an unsettled proposal took effect.
    std::optional<write_result> settle(const section_write& request,
                                       const head_read_result& reading, progress& progress) {
        if (!progress.unsettled) {
            return std::nullopt;
        }
        if (reading.head->has_nonce(request.nonce)) {
            return accepted(*progress.unsettled, progress);
        }
        if (reading.version == progress.unsettled->version) {
            return std::nullopt;
        }
        const auto before = progress.unsettled->next.document_revision.value - 1;
        if (reading.head->document_revision.value - before >= max_recent_nonces) {
            return write_result{write_status::unknown,
                                {},
                                "the head no longer says whether the write was accepted"};
        }
        // The head moved on without this write, so its compare-and-swap can no longer succeed.
        progress.unsettled.reset();
        return std::nullopt;
    }

    /// Reads and checks all that the write depends on; a result if it ends here.
    std::optional<write_result> prepare(const section_write& request, const head& head,
                                        progress& progress) {
        const auto current = head.section(request.section).revision;
        if (!progress.replaces) {
            progress.replaces = request.expected.value_or(current);
        }
        if (current != *progress.replaces) {
            return write_result{write_status::conflict, current,
                                "section " + request.section + " was changed by another writer"};
        }
        if (auto failed = read_sections(request, head, progress)) {
            return failed;
        }
        if (auto refused = check(request, progress)) {
            return refused;
        }
        if (current.value > 0 && progress.document == old_document(request, progress)) {
            return write_result{write_status::accepted, current, "unchanged", head,
                                progress.canonical};
        }
        return std::nullopt;
    }

    std::optional<write_result> read_sections(const section_write& request, const head& head,
                                              progress& progress) {
        for (const auto& [name, section] : head.sections) {
            const auto known = progress.texts.find(name);
            if (known != progress.texts.end() && known->second.first == section.revision) {
                continue;
            }
            auto reading = reader_.read_text(name, section, call_limit(request));
            while (!reading.text && reading.transient && clock_.now() < request.deadline) {
                wait();
                reading = reader_.read_text(name, section, call_limit(request));
            }
            if (!reading.text) {
                return write_result{write_status::refused, {}, reading.reason};
            }
            progress.texts.insert_or_assign(name,
                                            std::pair{section.revision, *std::move(reading.text)});
        }
        return std::nullopt;
    }

    std::optional<write_result> check(const section_write& request, progress& progress) const {
        section_texts all;
        for (const auto& [name, text] : progress.texts) {
            all.insert_or_assign(name, text.second);
        }
        all.insert_or_assign(request.section, request.text);
        const auto reason = kernel::handle<section_error>(
            [&]() -> kernel::result<std::string> {
                BOOST_LEAF_CHECK(check_sections(all, request.section));
                BOOST_LEAF_ASSIGN(progress.document,
                                  section_document::parse(request.section, request.text));
                return std::string{};
            },
            [](const section_error& error) { return to_string(error); });
        if (!reason.empty()) {
            return write_result{write_status::refused, {}, reason};
        }
        progress.canonical = progress.document.text();
        return std::nullopt;
    }

    section_document old_document(const section_write& request, const progress& progress) const {
        const auto it = progress.texts.find(request.section);
        if (it == progress.texts.end()) {
            return {};
        }
        const auto parsed = kernel::handle<section_error>(
            [&]() -> kernel::result<std::optional<section_document>> {
                BOOST_LEAF_AUTO(document,
                                section_document::parse(request.section, it->second.second));
                return std::optional{std::move(document)};
            },
            [](const section_error&) { return std::optional<section_document>{}; });
        return parsed.value_or(section_document{});
    }

    /// Whether all parts of the text are certainly in the store.
    bool write_blobs(const section_write& request, const head& head, progress& progress) {
        const auto blobs = split_blob(deployment_, request.section, request.nonce,
                                      progress.canonical, max_part_bytes);
        const auto prefix = "config/" + request.section + "/" +
                            std::to_string(head.document_revision.next().value) + "-" +
                            request.nonce;
        while (progress.blob_keys.size() < blobs.size()) {
            const auto part = progress.blob_keys.size();
            const auto key = part == 0 ? prefix : prefix + "." + std::to_string(part);
            if (!write_blob(key, codec_.encode(blobs[part]), request)) {
                progress.blob_keys.clear();
                return false;
            }
            progress.blob_keys.push_back(key);
        }
        return true;
    }

    bool write_blob(const std::string& key, const std::string& bytes,
                    const section_write& request) {
        const auto written = store_.compare_and_swap(key, 0, bytes, call_limit(request));
        if (written.status == store::store_status::ok) {
            return true;
        }
        if (written.status == store::store_status::unavailable) {
            return false;
        }
        const auto stored = store_.read(key, call_limit(request));
        return stored.status == store::store_status::ok && stored.value.bytes == bytes;
    }

    std::optional<write_result> swap(const section_write& request, proposal proposal,
                                     progress& progress) {
        const auto written = store_.compare_and_swap(
            head_key, proposal.version, codec_.encode(proposal.next), call_limit(request));
        switch (written.status) {
            case store::store_status::ok:
                return accepted(proposal, progress);
            case store::store_status::conflict:
                return std::nullopt;
            case store::store_status::unavailable:
                break;
            case store::store_status::unknown:
                progress.unsettled = std::move(proposal);
                break;
        }
        wait();
        return std::nullopt;
    }

    static write_result accepted(const proposal& proposal, const progress& progress) {
        return {write_status::accepted,
                proposal.next.document_revision,
                {},
                proposal.next,
                progress.canonical};
    }

    static write_result given_up(const section_write& request, const progress& progress,
                                 const std::string& reason) {
        if (progress.unsettled) {
            return {write_status::unknown,
                    {},
                    reason + "; section " + request.section + " may have been accepted"};
        }
        return {write_status::refused, {}, reason + "; nothing was accepted"};
    }

    kernel::time_point call_limit(const section_write& request) const {
        return std::min(request.deadline, clock_.now() + longest_call);
    }

    void wait() { clock_.sleep_until(clock_.now() + retry_delay); }

    Store& store_;
    Codec codec_;
    Clock& clock_;
    model::deployment_id deployment_;
    store_reader<Store, Codec> reader_;
};

}  // namespace poplarfront::configuration
