#include "zinniadock/process/crashreport.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace zinniadock
{

std::string toText(RequestTrait trait)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, trait);
    return text.data();
}

} // namespace zinniadock
