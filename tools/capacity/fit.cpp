#include "capacity/fit.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace poplarfront::capacity {
namespace {

using row = std::vector<double>;

double term_value(const sample& from, const std::string& term) {
    std::istringstream names{term};
    double product = 1;
    for (std::string name; std::getline(names, name, '*');) {
        product *= from.sizes.at(name);
    }
    return product;
}

// Solves the normal equations by elimination with pivoting; a dependent column gets 0.
row solve(std::vector<row> equations) {
    constexpr double negligible = 1e-9;
    const auto size = equations.size();
    std::vector<bool> used(size, false);
    std::vector<std::size_t> pivots(size, size);
    for (std::size_t column = 0; column < size; ++column) {
        std::size_t best = size;
        for (std::size_t n = 0; n < size; ++n) {
            const bool larger =
                best == size || std::abs(equations[n][column]) > std::abs(equations[best][column]);
            best = !used[n] && larger ? n : best;
        }
        if (best == size || std::abs(equations[best][column]) < negligible) {
            continue;
        }
        used[best] = true;
        pivots[column] = best;
        for (std::size_t n = 0; n < size; ++n) {
            const auto factor = n == best ? 0 : equations[n][column] / equations[best][column];
            for (std::size_t m = 0; m <= size; ++m) {
                equations[n][m] -= factor * equations[best][m];
            }
        }
    }
    row solution(size, 0);
    for (std::size_t column = 0; column < size; ++column) {
        if (pivots[column] < size) {
            const auto& equation = equations[pivots[column]];
            solution[column] = equation[size] / equation[column];
        }
    }
    return solution;
}

// The values of the terms divided by their largest, so that the equations are well scaled.
std::vector<row> scaled_inputs(const std::vector<sample>& samples,
                               const std::vector<std::string>& terms, row& scales) {
    scales.assign(terms.size() + 1, 1);
    std::vector<row> inputs;
    for (const auto& it : samples) {
        row input{1};
        for (std::size_t n = 0; n < terms.size(); ++n) {
            input.push_back(term_value(it, terms[n]));
            scales[n + 1] = std::max(scales[n + 1], input.back());
        }
        inputs.push_back(std::move(input));
    }
    for (auto& input : inputs) {
        std::transform(input.begin(), input.end(), scales.begin(), input.begin(), std::divides<>{});
    }
    return inputs;
}

double dot(const row& a, const row& b) {
    double sum = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        sum += a[n] * b[n];
    }
    return sum;
}

}  // namespace

std::map<std::string, fitted_figure> fit(const std::vector<sample>& samples,
                                         const std::vector<std::string>& terms) {
    std::map<std::string, fitted_figure> fits;
    if (samples.empty()) {
        return fits;
    }
    row scales;
    const auto inputs = scaled_inputs(samples, terms, scales);
    const auto size = terms.size() + 1;
    for (const auto& [name, value] : samples.front().figures) {
        std::vector<row> equations(size, row(size + 1, 0));
        for (std::size_t s = 0; s < samples.size(); ++s) {
            for (std::size_t n = 0; n < size; ++n) {
                for (std::size_t m = 0; m < size; ++m) {
                    equations[n][m] += inputs[s][n] * inputs[s][m];
                }
                equations[n][size] += inputs[s][n] * samples[s].figures.at(name);
            }
        }
        const auto solution = solve(std::move(equations));
        auto& made = fits[name];
        made.base = solution[0];
        for (std::size_t n = 0; n < terms.size(); ++n) {
            made.slopes[terms[n]] = solution[n + 1] / scales[n + 1];
        }
        for (std::size_t s = 0; s < samples.size(); ++s) {
            const auto error = std::abs(dot(inputs[s], solution) - samples[s].figures.at(name));
            made.max_error = std::max(made.max_error, error);
        }
    }
    return fits;
}

}  // namespace poplarfront::capacity
