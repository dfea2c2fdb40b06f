#pragma once

#include <utility>
#include <vector>

namespace poplarfront::kernel {

/// A list of entries that packages register during static initialisation. There is one list for
/// each entry type; a package adds an entry by defining a static `registration` object.
///
/// Thread safety: entries are added during static initialisation, on one thread, and are only read
/// afterwards.
template <class Entry>
class extension_point {
public:
    class registration {
    public:
        explicit registration(Entry entry) { storage().push_back(std::move(entry)); }
    };

    /// All entries, in no particular order.
    [[nodiscard]] static const std::vector<Entry>& entries() { return storage(); }

private:
    static std::vector<Entry>& storage() {
        static std::vector<Entry> entries;
        return entries;
    }
};

}  // namespace poplarfront::kernel
