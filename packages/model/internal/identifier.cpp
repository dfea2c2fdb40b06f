#include "model/identifier.h"

namespace poplarfront::model {

bool is_identifier(std::string_view text) {
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/";
    return !text.empty() && text.size() <= max_identifier_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset_basis ^ seed;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    // FNV-1a mixes the last bytes poorly into the high bits, which rendezvous hashing compares. The
    // finaliser of MurmurHash3 is therefore applied to the result.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

}  // namespace poplarfront::model
