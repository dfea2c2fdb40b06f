#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace poplarfront::kernel {

/// The sources of a process's state dump. Modules add their sources when they are created.
///
/// Thread safety: `add` is called on the main thread before modules start; afterwards `dump` is
/// called on one thread, which may be another one. Each source must be safe to call there.
class state_registry {
public:
    /// Returns the state as a JSON value.
    using source = std::function<std::string()>;

    /// Precondition: no other source has this name.
    void add(std::string name, source source) {
        sources_.emplace(std::move(name), std::move(source));
    }

    /// One JSON object with the state of each source under its name.
    [[nodiscard]] std::string dump() const {
        std::string text = "{";
        for (const auto& [name, source] : sources_) {
            text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + source();
        }
        return text + "}";
    }

private:
    std::map<std::string, source> sources_;
};

}  // namespace poplarfront::kernel
