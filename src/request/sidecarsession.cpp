#include "zinniadock/request/sidecarsession.h"

#include <utility>

namespace zinniadock
{

namespace
{

constexpr LinkId noLink = 0;

} // namespace

SidecarSession::SidecarSession(Offer offer, LinkId link, SequenceNumber firstSequence, Sender sender)
    : m_offer(std::move(offer))
    , m_sender(std::move(sender))
    , m_link(link)
    , m_firstUnacknowledged(firstSequence)
    , m_detachedSince(std::chrono::steady_clock::now())
{
}

const Offer &SidecarSession::offer() const
{
    return m_offer;
}

GenerationKey SidecarSession::key() const
{
    return GenerationKey{ .request = m_offer.request, .generation = m_offer.generation };
}

bool SidecarSession::attach(LinkId link, SequenceNumber next)
{
    const std::lock_guard lock(m_mutex);
    if (next < m_firstUnacknowledged || next > m_firstUnacknowledged + m_window.size()) {
        return false;
    }
    m_link = link;
    if (m_queueTime) {
        m_sender(link,
                 Started{ .request = m_offer.request, .generation = m_offer.generation, .queueTime = *m_queueTime });
    }
    for (SequenceNumber sequence = next; sequence < m_firstUnacknowledged + m_window.size(); ++sequence) {
        sendToken(sequence, m_window[sequence - m_firstUnacknowledged]);
    }
    if (m_end) {
        m_sender(m_link, *m_end);
    }
    return true;
}

void SidecarSession::detach(LinkId link)
{
    const std::lock_guard lock(m_mutex);
    if (m_link == link) {
        m_link = noLink;
        m_detachedSince = std::chrono::steady_clock::now();
    }
}

void SidecarSession::acknowledge(SequenceNumber next, bool final)
{
    {
        const std::lock_guard lock(m_mutex);
        while (m_firstUnacknowledged < next && !m_window.empty()) {
            m_window.pop_front();
            ++m_firstUnacknowledged;
        }
        m_acknowledged = m_acknowledged || final;
    }
    m_windowChanged.notify_all();
}

void SidecarSession::recordStart(std::chrono::milliseconds queued)
{
    const std::lock_guard lock(m_mutex);
    m_queueTime = queued;
    if (m_link != noLink) {
        m_sender(m_link, Started{ .request = m_offer.request, .generation = m_offer.generation, .queueTime = queued });
    }
}

bool SidecarSession::append(const std::string &text)
{
    std::unique_lock lock(m_mutex);
    m_windowChanged.wait(lock, [this] {
        return m_window.size() < replayWindow || m_cancelled;
    });
    if (m_cancelled) {
        return false;
    }
    m_window.push_back(text);
    if (m_link != noLink) {
        sendToken(m_firstUnacknowledged + m_window.size() - 1, text);
    }
    return true;
}

void SidecarSession::recordEnd(LinkMessage message)
{
    const std::lock_guard lock(m_mutex);
    if (m_end) {
        return;
    }
    m_end = std::move(message);
    if (m_link != noLink) {
        m_sender(m_link, *m_end);
    }
}

void SidecarSession::cancel()
{
    std::function<void()> abort;
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled = true;
        abort = m_abort;
    }
    m_windowChanged.notify_all();
    if (abort) {
        abort();
    }
}

void SidecarSession::setAbort(const std::function<void()> &abort)
{
    bool abortNow = false;
    {
        const std::lock_guard lock(m_mutex);
        m_abort = abort;
        abortNow = m_cancelled;
    }
    if (abortNow && abort) {
        abort();
    }
}

bool SidecarSession::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

SequenceNumber SidecarSession::next() const
{
    const std::lock_guard lock(m_mutex);
    return m_firstUnacknowledged + m_window.size();
}

bool SidecarSession::hasEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_end.has_value();
}

bool SidecarSession::isRemovable(std::chrono::steady_clock::time_point now,
                                 std::chrono::milliseconds maxDetachedTime) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_end) {
        return false;
    }
    return m_acknowledged || m_cancelled || (m_link == noLink && now - m_detachedSince > maxDetachedTime);
}

bool SidecarSession::isOrphaned(std::chrono::steady_clock::time_point now,
                                std::chrono::milliseconds maxDetachedTime) const
{
    const std::lock_guard lock(m_mutex);
    return m_link == noLink && !m_end && now - m_detachedSince > maxDetachedTime;
}

void SidecarSession::sendToken(SequenceNumber sequence, const std::string &text)
{
    m_sender(m_link,
             Token{ .request = m_offer.request, .generation = m_offer.generation, .sequence = sequence, .text = text });
}

} // namespace zinniadock
