#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::store {

/// Maximum size in bytes of a value that the store accepts.
inline constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

/// How a store call ended.
enum class store_status {
    ok,
    /// A compare-and-swap found another version; nothing was written.
    conflict,
    /// The store refused the call or could not be reached; nothing was written.
    unavailable,
    /// No reply in time, or none that says whether the call took effect; a write may or may not
    /// have taken effect.
    unknown,
};

/// A value and its version in the store; version 0 means that the key does not exist.
struct store_value {
    std::string bytes;
    std::uint64_t version = 0;
    friend auto operator<=>(const store_value&, const store_value&) = default;
};

struct read_outcome {
    store_status status = store_status::unavailable;
    store_value value;
    friend auto operator<=>(const read_outcome&, const read_outcome&) = default;
};

struct write_outcome {
    store_status status = store_status::unavailable;
    /// The version of the key after the call: of the written value for `ok`, of the current value
    /// for `conflict`.
    std::uint64_t version = 0;
    friend auto operator<=>(const write_outcome&, const write_outcome&) = default;
};

/// A client of a store whose calls block until the reply arrives or the deadline passes.
template <class T>
concept store_client = requires(T& client, const std::string& key, const std::string& bytes,
                                std::uint64_t version, kernel::time_point deadline) {
    { client.read(key, deadline) } -> std::same_as<read_outcome>;
    // Writes `bytes` if the version of the key is `version` (0: the key does not exist).
    { client.compare_and_swap(key, version, bytes, deadline) } -> std::same_as<write_outcome>;
    // Returns when the key has a version other than `version`; at the deadline returns `ok` with
    // `version`.
    { client.watch(key, version, deadline) } -> std::same_as<read_outcome>;
};

/// Identifies one call of an asynchronous store, so that its completion can be matched to it.
using call_id = std::uint64_t;

/// A store whose calls return immediately. The owner of the calling state machine must deliver each
/// completion to that state machine, with the call id.
template <class T>
concept async_store = requires(T& store, call_id call, const std::string& key,
                               const std::string& bytes, std::uint64_t version) {
    { store.read(call, key) } -> std::same_as<void>;
    { store.compare_and_swap(call, key, version, bytes) } -> std::same_as<void>;
};

}  // namespace poplarfront::store
