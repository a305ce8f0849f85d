#pragma once

#include <optional>

#include "zinniadock/request/requestid.h"

namespace zinniadock
{

/// What to do with a received token frame.
enum class TokenAction {
    Deliver, ///< the next token of the followed generation
    Drop, ///< a duplicate, or a token of another generation
    Gap, ///< a token after the next one: the tokens in between are missing
};

/// Delivers the tokens of one generation in order and removes duplicates.
class TokenOrder
{
public:
    /// Starts to follow a generation at its first token.
    /// \pre no token of an earlier generation has been delivered
    void follow(GenerationId generation);

    /// Decides what to do with a token frame, and counts the token as delivered if the result is Deliver.
    /// Complexity: constant.
    TokenAction accept(GenerationId generation, SequenceNumber sequence);

    GenerationId generation() const;

    /// Returns the number of delivered tokens, which is also the next sequence number to deliver.
    SequenceNumber next() const;

private:
    GenerationId m_generation = 0;
    SequenceNumber m_next = 0;
};

} // namespace zinniadock
