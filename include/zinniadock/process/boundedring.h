#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace zinniadock
{

/// A ring of fixed capacity that joins two duties; a full ring rejects, and an empty one parks its reader.
template <typename Item>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Appends an item; false if the ring is full or closed. Complexity: constant.
    bool tryPush(Item item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_changed.notify_one();
        return true;
    }

    /// Takes the oldest item, waiting up to \p timeout for one.
    std::optional<Item> pop(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [this] {
            return !m_items.empty() || m_closed;
        });
        if (m_items.empty()) {
            return std::nullopt;
        }
        Item item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

    /// Rejects further items and wakes the reader; items already there can still be taken.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    boost::circular_buffer<Item> m_items;
    bool m_closed = false;
};

} // namespace zinniadock
