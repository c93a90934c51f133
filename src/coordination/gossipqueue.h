#ifndef CROCUSPORT_GOSSIPQUEUE_H
#define CROCUSPORT_GOSSIPQUEUE_H

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace crocusport {

/*!
    Keys of updates that are piggybacked on messages a limited number of times. Those that were sent
    least often are sent first.

    Thread safety: none; use from one thread.
*/
template<typename Key>
class GossipQueue
{
public:
    //! Queues \a key, or resets its number of transmissions if it is queued already.
    void add(const Key &key) { transmissions_[key] = 0; }
    void remove(const Key &key) { transmissions_.erase(key); }
    bool contains(const Key &key) const { return transmissions_.count(key) > 0; }

    //! Returns up to \a count keys. Removes those of them that have now been sent \a limit times.
    std::vector<Key> take(std::size_t count, std::size_t limit)
    {
        std::vector<std::pair<std::size_t, Key>> order;
        order.reserve(transmissions_.size());
        for (const auto &[key, sent] : transmissions_)
            order.emplace_back(sent, key);
        const auto taken = std::min(count, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken),
                          order.end());
        std::vector<Key> keys;
        for (std::size_t i = 0; i < taken; ++i) {
            auto &[sent, key] = order[i];
            if (sent + 1 >= limit)
                transmissions_.erase(key);
            else
                transmissions_[key] = sent + 1;
            keys.push_back(std::move(key));
        }
        return keys;
    }

private:
    std::map<Key, std::size_t> transmissions_;
};

} // namespace crocusport

#endif // CROCUSPORT_GOSSIPQUEUE_H
