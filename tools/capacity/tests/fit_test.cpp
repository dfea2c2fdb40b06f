#include "capacity/fit.h"

#include <catch2/catch.hpp>

namespace poplarfront::capacity {
namespace {

std::vector<sample> samples() {
    std::vector<sample> made;
    for (const double a : {17.0, 300.0, 3000.0}) {
        for (const double b : {100.0, 16000.0}) {
            made.push_back(
                {{{"a", a}, {"b", b}, {"same", 5}}, {{"f", 7 + 0.5 * a + 2 * b + 1e-3 * a * b}}});
        }
    }
    return made;
}

TEST_CASE("the slopes of an exact linear figure are found, products included") {
    const auto fits = fit(samples(), {"a", "b", "a*b"});
    CHECK(fits.at("f").base == Approx(7).margin(1e-3));
    CHECK(fits.at("f").slopes.at("a") == Approx(0.5));
    CHECK(fits.at("f").slopes.at("b") == Approx(2));
    CHECK(fits.at("f").slopes.at("a*b") == Approx(1e-3));
    CHECK(fits.at("f").max_error < 1e-3);
}

TEST_CASE("a term that does not vary does not break the fit, and a missing term shows as error") {
    CHECK(fit(samples(), {"a", "b", "a*b", "same"}).at("f").max_error < 1e-3);
    CHECK(fit(samples(), {"a"}).at("f").max_error > 1000);
    CHECK(fit({}, {"a"}).empty());
}

}  // namespace
}  // namespace poplarfront::capacity
