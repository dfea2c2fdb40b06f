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

/// A clock that can also block its caller, without spinning, until a time is reached.
template <class T>
concept waiting_clock = kernel::clock_source<T> && requires(T& clock, kernel::time_point until) {
    { clock.sleep_until(until) } -> std::same_as<void>;
};

/// A request to replace one section.
struct section_write {
    std::string section;
    /// INI text.
    std::string text;
    /// The section's revision that the text is based on; empty for the one in the store.
    std::optional<model::revision> expected;
    /// Unique to this write; 1 to 20 identifier characters without '/'.
    std::string nonce;
    kernel::time_point deadline;
    friend auto operator<=>(const section_write&, const section_write&) = default;
};

enum class write_status {
    /// The section has the given content at `revision`.
    accepted,
    /// Not accepted, and it can no longer take effect.
    refused,
    /// Not accepted, because the section is not at the expected revision; `revision` is the current
    /// one.
    conflict,
    /// It is unknown whether the write took effect: the store did not reply in time, or the head no
    /// longer lists the nonce.
    unknown,
};

struct write_result {
    write_status status = write_status::refused;
    model::revision revision;
    std::string reason;
    /// If accepted: the head to announce to instances, and the section's canonical text.
    head accepted_head;
    std::string text;
    friend auto operator<=>(const write_result&, const write_result&) = default;
};

/// Validates a section and writes it to the store. The write is accepted when a compare-and-swap of
/// the head succeeds. Other writers may write at the same time.
///
/// Thread safety: used on one thread; `write` may suspend the fiber in the store client and the
/// clock, both of which must outlive the writer.
template <store::store_client Store, store_codec Codec, waiting_clock Clock>
class section_writer {
public:
    section_writer(Store& store, Codec codec, Clock& clock, model::deployment_id deployment)
        : store_(store),
          codec_(codec),
          clock_(clock),
          deployment_(std::move(deployment)),
          reader_(store, std::move(codec), deployment_) {}

    /// Returns one retry_delay after the deadline at the latest, if store calls keep their
    /// deadlines.
    write_result write(const section_write& request) {
        write_state state;
        while (clock_.now() < request.deadline) {
            const auto reading = reader_.read_head(call_deadline(request));
            if (reading.head) {
                if (auto result = try_write(request, reading, state)) {
                    return *std::move(result);
                }
            } else if (!reading.transient) {
                return failure_result(request, state, reading.reason);
            } else {
                wait_before_retry();
            }
        }
        return failure_result(request, state, "the write was not completed before its deadline");
    }

private:
    /// A head to be written if the stored one still has `version`.
    struct proposal {
        std::uint64_t version = 0;
        head next;
    };

    struct write_state {
        /// The proposal whose compare-and-swap had no reply, until its outcome is known.
        std::optional<proposal> in_doubt;
        /// The section's revision that the write replaces.
        std::optional<model::revision> base_revision;
        /// The new content of the section.
        section_document document;
        /// Texts of accepted sections by name, at the revision that was read.
        std::map<std::string, std::pair<model::revision, std::string>> texts;
        std::vector<std::string> blob_keys;
        std::string canonical_text;
    };

    static constexpr std::chrono::milliseconds retry_delay{50};
    static constexpr std::chrono::seconds call_timeout{1};
    /// Leaves room for the other fields of a blob.
    static constexpr std::size_t max_part_bytes = store::max_value_bytes - 1024;

    /// Makes one attempt to write, based on a head; empty if the head must be read again.
    std::optional<write_result> try_write(const section_write& request,
                                          const head_read_result& reading, write_state& state) {
        if (auto resolved = resolve_in_doubt(request, reading, state)) {
            return resolved;
        }
        if (state.in_doubt) {
            return propose(request, *state.in_doubt, state);
        }
        if (auto result = prepare(request, *reading.head, state)) {
            return *result;
        }
        if (!write_blobs(request, *reading.head, state)) {
            wait_before_retry();
            return std::nullopt;
        }
        section_head next{{}, state.blob_keys, digest_of(state.canonical_text), request.nonce};
        const auto change = difference(current_document(request, state), state.document);
        return propose(
            request,
            {reading.version, reading.head->accept(request.section, std::move(next), change)},
            state);
    }

    /// Resolves the proposal in doubt from the head that was just read. Returns a result if it was
    /// accepted or can no longer be resolved; clears `in_doubt` if it was not accepted.
    std::optional<write_result> resolve_in_doubt(const section_write& request,
                                                 const head_read_result& reading,
                                                 write_state& state) {
        if (!state.in_doubt) {
            return std::nullopt;
        }
        if (reading.head->has_nonce(request.nonce)) {
            return accepted_result(*state.in_doubt, state);
        }
        if (reading.version == state.in_doubt->version) {
            return std::nullopt;
        }
        const auto replaced_revision = state.in_doubt->next.document_revision.value - 1;
        if (reading.head->document_revision.value - replaced_revision >= max_recent_nonces) {
            return write_result{write_status::unknown,
                                {},
                                "the head no longer shows whether the write was accepted"};
        }
        // Another write replaced the head, so the compare-and-swap in doubt can no longer succeed.
        state.in_doubt.reset();
        return std::nullopt;
    }

    /// Reads all sections and validates the write. Returns a result if nothing has to be written:
    /// on a conflict, a failed read, an invalid section or unchanged content.
    std::optional<write_result> prepare(const section_write& request, const head& head,
                                        write_state& state) {
        const auto current = head.section(request.section).revision;
        if (!state.base_revision) {
            state.base_revision = request.expected.value_or(current);
        }
        if (current != *state.base_revision) {
            return write_result{write_status::conflict, current,
                                "section " + request.section + " is not at the expected revision"};
        }
        if (auto failed = read_sections(request, head, state)) {
            return failed;
        }
        if (auto refused = validate(request, state)) {
            return refused;
        }
        if (current.value > 0 && state.document == current_document(request, state)) {
            return write_result{write_status::accepted, current, "unchanged", head,
                                state.canonical_text};
        }
        return std::nullopt;
    }

    std::optional<write_result> read_sections(const section_write& request, const head& head,
                                              write_state& state) {
        for (const auto& [name, section] : head.sections) {
            const auto known = state.texts.find(name);
            if (known != state.texts.end() && known->second.first == section.revision) {
                continue;
            }
            auto reading = reader_.read_text(name, section, call_deadline(request));
            while (!reading.text && reading.transient && clock_.now() < request.deadline) {
                wait_before_retry();
                reading = reader_.read_text(name, section, call_deadline(request));
            }
            if (!reading.text) {
                return write_result{write_status::refused, {}, reading.reason};
            }
            state.texts.insert_or_assign(name,
                                         std::pair{section.revision, *std::move(reading.text)});
        }
        return std::nullopt;
    }

    std::optional<write_result> validate(const section_write& request, write_state& state) const {
        section_texts all;
        for (const auto& [name, text] : state.texts) {
            all.insert_or_assign(name, text.second);
        }
        all.insert_or_assign(request.section, request.text);
        const auto reason = kernel::handle<section_error>(
            [&]() -> kernel::result<std::string> {
                BOOST_LEAF_CHECK(check_sections(all, request.section));
                BOOST_LEAF_ASSIGN(state.document,
                                  section_document::parse(request.section, request.text));
                return std::string{};
            },
            [](const section_error& error) { return to_string(error); });
        if (!reason.empty()) {
            return write_result{write_status::refused, {}, reason};
        }
        state.canonical_text = state.document.text();
        return std::nullopt;
    }

    section_document current_document(const section_write& request,
                                      const write_state& state) const {
        const auto it = state.texts.find(request.section);
        if (it == state.texts.end()) {
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

    /// Writes all parts of the text. Returns false if it is not certain that all are in the store.
    bool write_blobs(const section_write& request, const head& head, write_state& state) {
        const auto blobs = split_into_blobs(deployment_, request.section, request.nonce,
                                            state.canonical_text, max_part_bytes);
        const auto prefix = "config/" + request.section + "/" +
                            std::to_string(head.document_revision.next().value) + "-" +
                            request.nonce;
        while (state.blob_keys.size() < blobs.size()) {
            const auto part = state.blob_keys.size();
            const auto key = part == 0 ? prefix : prefix + "." + std::to_string(part);
            if (!write_blob(key, codec_.encode(blobs[part]), request)) {
                state.blob_keys.clear();
                return false;
            }
            state.blob_keys.push_back(key);
        }
        return true;
    }

    bool write_blob(const std::string& key, const std::string& bytes,
                    const section_write& request) {
        const auto written = store_.compare_and_swap(key, 0, bytes, call_deadline(request));
        if (written.status == store::store_status::ok) {
            return true;
        }
        if (written.status == store::store_status::unavailable) {
            return false;
        }
        const auto stored = store_.read(key, call_deadline(request));
        return stored.status == store::store_status::ok && stored.value.bytes == bytes;
    }

    std::optional<write_result> propose(const section_write& request, proposal proposal,
                                        write_state& state) {
        const auto written = store_.compare_and_swap(
            head_key, proposal.version, codec_.encode(proposal.next), call_deadline(request));
        switch (written.status) {
            case store::store_status::ok:
                return accepted_result(proposal, state);
            case store::store_status::conflict:
                return std::nullopt;
            case store::store_status::unavailable:
                break;
            case store::store_status::unknown:
                state.in_doubt = std::move(proposal);
                break;
        }
        wait_before_retry();
        return std::nullopt;
    }

    static write_result accepted_result(const proposal& proposal, const write_state& state) {
        return {write_status::accepted,
                proposal.next.document_revision,
                {},
                proposal.next,
                state.canonical_text};
    }

    static write_result failure_result(const section_write& request, const write_state& state,
                                       const std::string& reason) {
        if (state.in_doubt) {
            return {write_status::unknown,
                    {},
                    reason + "; section " + request.section + " may have been accepted"};
        }
        return {write_status::refused, {}, reason + "; nothing was accepted"};
    }

    kernel::time_point call_deadline(const section_write& request) const {
        return std::min(request.deadline, clock_.now() + call_timeout);
    }

    void wait_before_retry() { clock_.sleep_until(clock_.now() + retry_delay); }

    Store& store_;
    Codec codec_;
    Clock& clock_;
    model::deployment_id deployment_;
    store_reader<Store, Codec> reader_;
};

}  // namespace poplarfront::configuration
