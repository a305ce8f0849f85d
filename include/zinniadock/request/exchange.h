#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <variant>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/process/links/boundedring.h"
#include "zinniadock/request/sidecarsession.h"

namespace zinniadock
{

/// Notifies the waiting request that its link to the sidecar broke.
struct LinkBroken
{
};

/// A message from a sidecar for one attempt of a request, or the loss of the link to the sidecar.
using ExchangeEvent = std::variant<Started, Token, Finished, ServiceResponse, Failed, LinkBroken>;

/// One attempt of a request over the link to a sidecar. Passes events from the link's thread to the caller's thread.
class LinkExchange
{
public:
    explicit LinkExchange(Resume description)
        : m_description(std::move(description))
        , m_events(capacity)
    {
    }

    GenerationKey key() const
    {
        return GenerationKey{ .request = m_description.request, .generation = m_description.generation };
    }

    /// Returns the message that resumes the request on a new link.
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

    /// Sets the incarnation of the sidecar to which the request was offered.
    void setOfferedTo(std::uint64_t incarnation)
    {
        m_offeredTo = incarnation;
    }

    /// Passes an event to the caller's thread. Drops the event if the queue is full. The caller's thread detects
    /// dropped tokens by a gap in the sequence numbers and requests the tokens again.
    void push(ExchangeEvent event)
    {
        m_events.tryPush(std::move(event));
    }

    /// Removes and returns all queued events. Waits up to \p timeout if there is none.
    std::vector<ExchangeEvent> popAll(std::chrono::milliseconds timeout)
    {
        return m_events.popAll(timeout);
    }

private:
    // Twice the replay window: after a resume the sidecar sends up to one window of messages again, while the same
    // messages from before the resume may still be queued.
    static constexpr std::size_t capacity = 2 * SidecarSession::replayWindow + 64;

    const Resume m_description;
    std::atomic<SequenceNumber> m_next{ 0 };
    std::atomic<std::uint64_t> m_offeredTo{ 0 };
    BoundedQueue<ExchangeEvent> m_events;
};

} // namespace zinniadock
