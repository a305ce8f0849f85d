#include "zinniadock/request/tokenorder.h"

#include <cassert>

namespace zinniadock
{

void TokenOrder::follow(GenerationId generation)
{
    assert(m_next == 0);
    m_generation = generation;
}

TokenAction TokenOrder::accept(GenerationId generation, SequenceNumber sequence)
{
    if (generation != m_generation || sequence < m_next) {
        return TokenAction::Drop;
    }
    if (sequence > m_next) {
        return TokenAction::Gap;
    }
    ++m_next;
    return TokenAction::Deliver;
}

GenerationId TokenOrder::generation() const
{
    return m_generation;
}

SequenceNumber TokenOrder::next() const
{
    return m_next;
}

} // namespace zinniadock
