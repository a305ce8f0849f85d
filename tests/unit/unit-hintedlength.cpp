#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include "zinniadock/process/placing/hintedlength.h"

using namespace zinniadock;

TEST_CASE("output lengths predicted from callers' estimates")
{
    HintedLengthModel length;
    constexpr double maxTokens = 1800;

    SECTION("before any output has ended, the prediction grows less than proportionally with the estimate")
    {
        for (int i = 0; i < 20; ++i) {
            length.recordHint(400);
        }
        CHECK(length.expectedLength(400, maxTokens) > 350);
        CHECK(length.expectedLength(400, maxTokens) < 700);
        CHECK(length.expectedLength(4000, maxTokens) < 1800);
        CHECK(length.expectedLength(40, maxTokens) > 80);
    }
    SECTION("the prediction never exceeds the maximum length")
    {
        length.recordHint(400);
        CHECK(length.expectedLength(1e6, maxTokens) == maxTokens);
    }
    SECTION("the prediction learns the error of the estimates, and has a smaller error than the estimates")
    {
        std::mt19937 random(3);
        std::normal_distribution<> spread(0, 1);
        double learned = 0;
        double unadjusted = 0;
        for (int i = 0; i < 2000; ++i) {
            const double output = std::min(std::exp(6 + spread(random)), maxTokens);
            const double hint = output * std::exp(1.2 * spread(random));
            length.recordHint(hint);
            learned += std::pow(length.expectedLength(hint, maxTokens) - output, 2);
            unadjusted += std::pow(std::min(hint, maxTokens) - output, 2);
            length.recordOutput(hint, output);
        }
        CHECK(learned < 0.7 * unadjusted);
    }
    SECTION("the prediction follows outputs that become longer than their estimates")
    {
        for (int i = 0; i < 1000; ++i) {
            length.recordHint(100);
            length.recordOutput(100, 100);
        }
        const double before = length.expectedLength(100, maxTokens);
        for (int i = 0; i < 1000; ++i) {
            length.recordHint(100);
            length.recordOutput(100, 800);
        }
        CHECK(length.expectedLength(100, maxTokens) > 4 * before);
    }
}
