#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "zinniadock/process/hintedlength.h"

using namespace zinniadock;

TEST_CASE("lengths that are expected by callers' estimates")
{
    HintedLengthModel length;
    constexpr double longest = 1800;

    SECTION("before any output has ended, an estimate counts in part against the usual one")
    {
        for (int i = 0; i < 20; ++i) {
            length.recordHint(400);
        }
        CHECK(length.expectedLength(400, longest) > 350);
        CHECK(length.expectedLength(400, longest) < 700);
        CHECK(length.expectedLength(4000, longest) < 1800);
        CHECK(length.expectedLength(40, longest) > 80);
    }
    SECTION("never beyond the longest output")
    {
        length.recordHint(400);
        CHECK(length.expectedLength(1e6, longest) == longest);
    }
    SECTION("learns how far estimates are off, and errs less than one who believes them")
    {
        std::mt19937 random(3);
        std::normal_distribution<> spread(0, 1);
        double learned = 0;
        double believed = 0;
        for (int i = 0; i < 2000; ++i) {
            const double output = std::min(std::exp(6 + spread(random)), longest);
            const double hint = output * std::exp(1.2 * spread(random));
            length.recordHint(hint);
            learned += std::pow(length.expectedLength(hint, longest) - output, 2);
            believed += std::pow(std::min(hint, longest) - output, 2);
            length.recordOutput(hint, output);
        }
        CHECK(learned < 0.7 * believed);
    }
    SECTION("follows a route whose outputs become longer than their estimates say")
    {
        for (int i = 0; i < 1000; ++i) {
            length.recordHint(100);
            length.recordOutput(100, 100);
        }
        const double before = length.expectedLength(100, longest);
        for (int i = 0; i < 1000; ++i) {
            length.recordHint(100);
            length.recordOutput(100, 800);
        }
        CHECK(length.expectedLength(100, longest) > 4 * before);
    }
}
