#pragma once

#include <memory>
#include <type_traits>
#include <typeindex>
#include <unordered_map>
#include <utility>

#include "kernel/settings.h"

namespace poplarfront::kernel {

/// The settings and services that a module can use, passed to it at its creation. The services are
/// those that modules created earlier provide; they are looked up by type.
///
/// Thread safety: used on the main thread only, while modules are created.
class module_context {
public:
    explicit module_context(settings settings) : settings_(std::move(settings)) {}

    [[nodiscard]] const settings& process_settings() const { return settings_; }

    template <class Service>
    void provide(std::shared_ptr<Service> service) {
        services_[typeid(Service)] =
            std::const_pointer_cast<std::remove_const_t<Service>>(std::move(service));
    }

    /// Precondition: a module that this one depends on provides the service.
    template <class Service>
    [[nodiscard]] std::shared_ptr<Service> require() const {
        return std::static_pointer_cast<Service>(services_.at(typeid(Service)));
    }

private:
    settings settings_;
    std::unordered_map<std::type_index, std::shared_ptr<void>> services_;
};

}  // namespace poplarfront::kernel
