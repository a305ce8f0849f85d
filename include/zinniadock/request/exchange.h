#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <variant>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/process/boundedring.h"
#include "zinniadock/request/sidecarsession.h"

namespace zinniadock
{

/// Tells the waiting request that its link broke.
struct LinkBroken
{
};

/// What arrives for a request at an entry.
using ExchangeEvent = std::variant<Started, Token, Finished, Reply, Failed, LinkBroken>;

/// One attempt of a request at an entry: joins the link's thread with the caller's thread.
class Exchange
{
public:
    explicit Exchange(Resume description)
        : m_description(std::move(description))
        , m_events(capacity)
    {
    }

    GenerationKey key() const
    {
        return GenerationKey{ .request = m_description.request, .generation = m_description.generation };
    }

    /// Returns the message that takes the request up again on a new link.
    Resume resumeMessage() const
    {
        Resume message = m_description;
        message.next = m_next;
        message.offeredIncarnation = m_offeredTo;
        return message;
    }

    /// Sets the sequence number of the next token to deliver.
    void setNext(SequenceNumber next)
    {
        m_next = next;
    }

    /// Sets the incarnation of the sidecar that got the offer.
    void setOfferedTo(std::uint64_t incarnation)
    {
        m_offeredTo = incarnation;
    }

    /// Hands an event to the caller's thread; a full ring loses it, and the gap in the sequence makes the caller's
    /// thread ask for the tokens again.
    void push(ExchangeEvent event)
    {
        m_events.tryPush(std::move(event));
    }

    /// Takes all events that have arrived, waiting up to \p timeout for one.
    std::vector<ExchangeEvent> popAll(std::chrono::milliseconds timeout)
    {
        return m_events.popAll(timeout);
    }

private:
    // Room for a whole replay window twice, since a resumed link repeats what may still be in the ring.
    static constexpr std::size_t capacity = 2 * SidecarSession::replayWindow + 64;

    const Resume m_description;
    std::atomic<SequenceNumber> m_next{ 0 };
    std::atomic<std::uint64_t> m_offeredTo{ 0 };
    BoundedQueue<ExchangeEvent> m_events;
};

} // namespace zinniadock
