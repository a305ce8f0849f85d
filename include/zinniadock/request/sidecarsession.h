#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "zinniadock/connection/linkmessage.h"
#include "zinniadock/connection/linktransport.h"

namespace zinniadock
{

/// One request at a sidecar: the response so far, and the link that gets the remainder.
///
/// Keeps the response until the entry has acknowledged it, so that a new link can resume where the last link broke.
/// Owned jointly by the worker that runs the request and by the link's thread. All functions are thread-safe.
class SidecarSession : public std::enable_shared_from_this<SidecarSession>
{
public:
    /// Maximum number of unacknowledged tokens. The worker waits while the window is full.
    static constexpr std::size_t replayWindow = 256;

    using Sender = std::function<void(LinkId, const LinkMessage &)>;

    /// \param firstSequence  sequence number of the first token that this session will append
    SidecarSession(Offer offer, LinkId link, SequenceNumber firstSequence, Sender sender);

    const Offer &offer() const;
    GenerationKey key() const;

    /// Attaches the session to a link and sends all messages from token \p next on. Returns false if token \p next was
    /// released or is after the next token to append.
    bool attach(LinkId link, SequenceNumber next);

    /// Detaches the session from \p link if \p link is its current link.
    void detach(LinkId link);

    /// Releases the tokens before \p next.
    /// \param final  whether the entry has the whole response; a session that has ended can then be removed
    void acknowledge(SequenceNumber next, bool final);

    /// Records and sends that the request has left the queue, after a wait of \p queued.
    void recordStart(std::chrono::milliseconds queued);

    /// Appends the next token. Waits while the window is full. Returns false if the session is cancelled.
    bool append(const std::string &text);

    /// Records and sends the end of the request. Ignores all calls after the first.
    void recordEnd(LinkMessage message);

    /// Cancels the session: ends the wait of append() and calls the abort function of the worker.
    void cancel();

    /// Sets the function that cancel() calls to interrupt a worker which waits for its backend server. Calls it
    /// immediately if the session is cancelled.
    void setAbort(const std::function<void()> &abort);

    bool isCancelled() const;

    /// Returns the sequence number of the next token to append.
    SequenceNumber next() const;

    /// Returns whether the request has ended.
    bool hasEnded() const;

    /// Returns whether the session can be removed: it ended, and was acknowledged, was cancelled, or has been without a
    /// link for longer than \p maxDetachedTime.
    bool isRemovable(std::chrono::steady_clock::time_point now, std::chrono::milliseconds maxDetachedTime) const;

    /// Returns whether the request has not ended and the session has been without a link for longer than
    /// \p maxDetachedTime.
    bool isOrphaned(std::chrono::steady_clock::time_point now, std::chrono::milliseconds maxDetachedTime) const;

private:
    void sendToken(SequenceNumber sequence, const std::string &text);

    const Offer m_offer;
    const Sender m_sender;
    mutable std::mutex m_mutex;
    std::condition_variable m_windowChanged;
    LinkId m_link;
    std::deque<std::string> m_window; ///< unacknowledged tokens
    SequenceNumber m_firstUnacknowledged; ///< sequence number of the first token in m_window
    std::optional<std::chrono::milliseconds> m_queueTime;
    std::optional<LinkMessage> m_end;
    std::function<void()> m_abort;
    bool m_cancelled = false;
    bool m_acknowledged = false;
    std::chrono::steady_clock::time_point m_detachedSince;
};

} // namespace zinniadock
