#include "loadgen/load_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplarfront::loadgen {

using std::chrono::microseconds;

load_plan::load_plan(load_options options) : options_(std::move(options)), random_(options_.seed) {
    for (const auto& it : options_.searchers) {
        total_weight_ += it.weight;
    }
    const double factor = options_.extra ? std::max(options_.extra->factor, 1.0) : 1.0;
    highest_rate_ = options_.rate * factor;
}

std::optional<planned_request> load_plan::next() {
    // Thinning of a Poisson process of the highest rate gives one of the present rate.
    while (planned_ < options_.max_requests) {
        const double gap_s = -std::log(1.0 - kernel::uniform_unit(random_)) / highest_rate_;
        at_ += microseconds{std::llround(gap_s * 1e6)};
        if (at_ >= options_.duration) {
            return std::nullopt;
        }
        if (kernel::uniform_unit(random_) * highest_rate_ < total_rate(at_)) {
            return make_request(choose_searcher());
        }
    }
    return std::nullopt;
}

double load_plan::rate_of(const searcher_load& load, microseconds at) const {
    const double usual = options_.rate * load.weight / total_weight_;
    const auto& extra = options_.extra;
    const bool surges = extra && extra->searcher == load.searcher && extra->contains(at);
    return surges ? usual * extra->factor : usual;
}

double load_plan::total_rate(microseconds at) const {
    double sum = 0;
    for (const auto& it : options_.searchers) {
        sum += rate_of(it, at);
    }
    return sum;
}

const searcher_load& load_plan::choose_searcher() {
    double left = kernel::uniform_unit(random_) * total_rate(at_);
    for (const auto& it : options_.searchers) {
        left -= rate_of(it, at_);
        if (left < 0) {
            return it;
        }
    }
    return options_.searchers.back();
}

planned_request load_plan::make_request(const searcher_load& load) {
    planned_request request;
    request.at = at_;
    request.number = ++planned_;
    request.searcher = load.searcher;
    request.instance =
        options_.instances[kernel::uniform_below(random_, options_.instances.size())];
    if (kernel::uniform_unit(random_) < options_.action_fraction) {
        const auto target = kernel::uniform_below(random_, options_.action_targets.size());
        request.action_target = options_.action_targets[target];
    } else if (!options_.query.empty()) {
        request.query = options_.query;
    } else if (kernel::uniform_unit(random_) < options_.key_fraction) {
        request.query = "key:k" + std::to_string(kernel::uniform_below(random_, options_.keys));
    } else {
        request.query = "all";
    }
    return request;
}

}  // namespace poplarfront::loadgen
