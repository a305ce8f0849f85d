#pragma once

#include <chrono>
#include <memory>

#include "zinniadock/connection/asynctypes.h"
#include "zinniadock/connection/calldeadline.h"

namespace zinniadock
{

class HttpExchange;

/// Ends an exchange whose time limit has passed, unless it makes progress (see CallDeadline).
class CallTimer : public std::enable_shared_from_this<CallTimer>
{
public:
    CallTimer(asio::io_context &context, std::shared_ptr<HttpExchange> exchange, std::chrono::milliseconds limit);

    void start();

    /// Leaves the exchange as it is from now on. To be called when it has ended.
    void cancel();

    /// Returns whether the exchange was ended.
    bool hasExpired() const;

    /// Returns whether bytes of the response had arrived when the exchange was ended.
    bool hadResponseBegun() const;

private:
    void check();

    asio::steady_timer m_timer;
    CallDeadline m_deadline;
    std::shared_ptr<HttpExchange> m_exchange; ///< null after cancel()
    bool m_hasExpired = false;
    bool m_hadResponseBegun = false;
};

} // namespace zinniadock
