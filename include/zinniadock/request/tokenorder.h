#pragma once

#include <optional>

#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// What to do with a token frame that has just arrived.
enum class TokenAction {
    Deliver, ///< the next token of the generation that is shown
    Drop, ///< a repeat, or of another generation
    Gap, ///< a later token than the next one: earlier ones are missing
};

/// Delivers each sequence number of one generation once and in order.
class TokenOrder
{
public:
    /// Follows a generation from its first token.
    /// \pre no token of an earlier generation has been delivered
    void follow(GenerationId generation);

    /// Decides on one token frame, and counts it as delivered if it is the next one. Complexity: constant.
    TokenAction accept(GenerationId generation, SequenceNumber sequence);

    GenerationId generation() const;

    /// Returns the number of tokens delivered, which is also the next sequence number.
    SequenceNumber next() const;

private:
    GenerationId m_generation = 0;
    SequenceNumber m_next = 0;
};

} // namespace zinniadock
