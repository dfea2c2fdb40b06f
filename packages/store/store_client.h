#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include "kernel/concepts.h"

namespace poplarfront::store {

/// Largest value that the store accepts, in bytes.
inline constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

/// How a store call ended.
enum class store_status {
    ok,
    /// A compare-and-swap found another version; nothing was written.
    conflict,
    /// The store refused or could not be reached; nothing was written.
    unavailable,
    /// No reply in time; a write may or may not have taken effect.
    unknown,
};

/// A value with the store's version of it; version 0 means that the key does not exist.
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
    /// The version after the call: of the value written if ok, of the newer value if in conflict.
    std::uint64_t version = 0;
    friend auto operator<=>(const write_outcome&, const write_outcome&) = default;
};

/// A store whose calls return when the reply is there or the deadline has passed.
template <class T>
concept store_client = requires(T& client, const std::string& key, const std::string& bytes,
                                std::uint64_t version, kernel::time_point deadline) {
    { client.read(key, deadline) } -> std::same_as<read_outcome>;
    // Writes `bytes` if the key has exactly `version` (0: does not exist).
    { client.compare_and_swap(key, version, bytes, deadline) } -> std::same_as<write_outcome>;
    // Returns when the key has a version other than `version`, or ok with that version after the
    // deadline.
    { client.watch(key, version, deadline) } -> std::same_as<read_outcome>;
};

/// Names one call of an asynchronous store, so that its completion can be matched.
using call_id = std::uint64_t;

/// A store whose calls return at once. The owner of the state machine that called passes each
/// completion back to it by call id.
template <class T>
concept async_store = requires(T& store, call_id call, const std::string& key,
                               const std::string& bytes, std::uint64_t version) {
    { store.read(call, key) } -> std::same_as<void>;
    { store.compare_and_swap(call, key, version, bytes) } -> std::same_as<void>;
};

}  // namespace poplarfront::store
