#include "zinniadock/process/crashes/responsehistory.h"

#include <utility>

namespace zinniadock
{

namespace
{

constexpr std::chrono::minutes generationTime{ 5 };

/// Bounds the memory to about 1 MB.
constexpr std::size_t maxTraits = 8192;

} // namespace

void ResponseHistory::record(RequestTrait trait, SteadyTime at)
{
    if (m_current.size() >= maxTraits || at - m_currentSince > generationTime) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = at;
    }
    m_current[trait] = at;
}

std::optional<SteadyTime> ResponseHistory::lastResponse(RequestTrait trait) const
{
    for (const Responses *responses : { &m_current, &m_previous }) {
        const auto found = responses->find(trait);
        if (found != responses->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace zinniadock
