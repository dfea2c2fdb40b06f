#include "capacity/report.h"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>

namespace poplarfront::capacity {
namespace {

boost::json::object to_object(const std::map<std::string, double>& values) {
    boost::json::object object;
    for (const auto& [name, value] : values) {
        object[name] = value;
    }
    return object;
}

boost::json::value to_value(const measured& from) {
    boost::json::array samples;
    for (const auto& it : from.samples) {
        samples.push_back({{"sizes", to_object(it.sizes)}, {"figures", to_object(it.figures)}});
    }
    boost::json::object fits;
    for (const auto& [name, it] : from.fits) {
        fits[name] = {
            {"base", it.base}, {"slopes", to_object(it.slopes)}, {"max_error", it.max_error}};
    }
    return {{"name", from.name},
            {"description", from.description},
            {"samples", std::move(samples)},
            {"fits", std::move(fits)}};
}

std::string line(const sample& from) {
    std::string text;
    for (const auto* values : {&from.sizes, &from.figures}) {
        for (const auto& [name, value] : *values) {
            text += fmt::format("{}={:.6g}  ", name, value);
        }
    }
    return text;
}

}  // namespace

std::string to_table(const measured& from) {
    auto text = fmt::format("{}: {}\n", from.name, from.description);
    for (const auto& it : from.samples) {
        text += "  " + line(it) + "\n";
    }
    for (const auto& [name, it] : from.fits) {
        text += fmt::format("  {} = {:.4g}", name, it.base);
        for (const auto& [term, slope] : it.slopes) {
            text += fmt::format(" + {:.4g} {}", slope, term);
        }
        text += fmt::format("  (largest error {:.3g})\n", it.max_error);
    }
    return text;
}

std::string to_json(const std::vector<measured>& all) {
    boost::json::array values;
    for (const auto& it : all) {
        values.push_back(to_value(it));
    }
    return boost::json::serialize(values) + "\n";
}

}  // namespace poplarfront::capacity
