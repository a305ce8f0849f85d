#pragma once

#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace zinniadock
{

/// A ring of fixed capacity that joins two duties; a full ring loses an item, and an empty one parks its reader.
template <typename Item>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Appends an item; false, with the item lost, if the ring is full. Complexity: constant.
    bool tryPush(Item item)
    {
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
            wake = m_waiting;
        }
        if (wake) {
            m_changed.notify_one();
        }
        return true;
    }

    /// Takes all items, oldest first, waiting up to \p timeout for one.
    std::vector<Item> popAll(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_waiting = true;
        m_changed.wait_for(lock, timeout, [this] {
            return !m_items.empty();
        });
        m_waiting = false;
        std::vector<Item> items(std::make_move_iterator(m_items.begin()), std::make_move_iterator(m_items.end()));
        m_items.clear();
        return items;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    boost::circular_buffer<Item> m_items;
    bool m_waiting = false; ///< a reader is parked, so a push has to wake it
};

} // namespace zinniadock
