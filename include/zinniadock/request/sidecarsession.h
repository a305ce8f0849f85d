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

/// One request at a sidecar: what it has answered so far, and which link waits for the rest.
///
/// Keeps the answer until the entry has acknowledged it, so that a new link can take up where the last one broke. The
/// worker that runs the request and the link's thread share ownership.
class SidecarSession : public std::enable_shared_from_this<SidecarSession>
{
public:
    /// Tokens sent and not yet acknowledged; the worker waits when the window is full.
    static constexpr std::size_t replayWindow = 256;

    using Sender = std::function<void(LinkId, const LinkMessage &)>;

    /// \param firstSequence  sequence number of the first token that this session will append
    SidecarSession(Offer offer, LinkId link, SequenceNumber firstSequence, Sender sender);

    const Offer &offer() const;
    GenerationKey key() const;

    /// Binds the session to a link and sends everything from \p next on; false if a token before it was released.
    bool attach(LinkId link, SequenceNumber next);

    /// Leaves the session without a link, if \p link is its present one.
    void detach(LinkId link);

    /// Releases the tokens before \p next; \p final releases the session.
    void acknowledge(SequenceNumber next, bool final);

    /// Sends the message that the request has left the queue.
    void recordStart(std::chrono::milliseconds queued);

    /// Appends the next token, waiting while the window is full; false once cancelled.
    bool append(const std::string &text);

    /// Records the end of the request and sends it. Only the first end counts.
    void recordEnd(LinkMessage message);

    /// Ends the wait of append() and calls the abort function of the worker.
    void cancel();

    /// Sets what cancel() calls to interrupt a worker that waits for its backend server; calls it at once if cancelled.
    void setAbort(const std::function<void()> &abort);

    bool isCancelled() const;

    /// Returns the sequence number of the next token to append.
    SequenceNumber next() const;

    /// Says whether the request has ended.
    bool hasEnded() const;

    /// Says whether the session can be forgotten: it ended, and was acknowledged or left without a link for \p
    /// maxDetachedTime.
    bool isRemovable(std::chrono::steady_clock::time_point now, std::chrono::milliseconds maxDetachedTime) const;

    /// Says whether the session has been without a link for longer than \p maxDetachedTime.
    bool isOrphaned(std::chrono::steady_clock::time_point now, std::chrono::milliseconds maxDetachedTime) const;

private:
    void sendToken(SequenceNumber sequence, const std::string &text);

    const Offer m_offer;
    const Sender m_sender;
    mutable std::mutex m_mutex;
    std::condition_variable m_windowChanged;
    LinkId m_link;
    std::deque<std::string> m_window;
    SequenceNumber m_firstUnacknowledged; ///< sequence number of the front of the window
    std::optional<std::chrono::milliseconds> m_queueTime;
    std::optional<LinkMessage> m_end;
    std::function<void()> m_abort;
    bool m_cancelled = false;
    bool m_acknowledged = false;
    std::chrono::steady_clock::time_point m_detachedSince;
};

} // namespace zinniadock
