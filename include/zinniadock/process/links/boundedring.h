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

/// A FIFO queue of fixed capacity between several producers and one consumer. A push into a full queue discards the
/// item. A pop from an empty queue blocks the consumer until an item arrives or a timeout expires. Thread-safe.
template <typename Item>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// Appends an item; returns false and discards the item if the queue is full. Complexity: constant.
    bool tryPush(Item item)
    {
        bool wake = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
            wake = m_isReaderWaiting;
        }
        if (wake) {
            m_itemAvailable.notify_one();
        }
        return true;
    }

    /// Removes and returns all items, oldest first. Waits up to \p timeout while the queue is empty. Returns no items
    /// if none arrive.
    std::vector<Item> popAll(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_isReaderWaiting = true;
        m_itemAvailable.wait_for(lock, timeout, [this] {
            return !m_items.empty();
        });
        m_isReaderWaiting = false;
        std::vector<Item> items(std::make_move_iterator(m_items.begin()), std::make_move_iterator(m_items.end()));
        m_items.clear();
        return items;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_itemAvailable;
    boost::circular_buffer<Item> m_items;
    bool m_isReaderWaiting = false; ///< the consumer waits, so a push has to notify it
};

} // namespace zinniadock
