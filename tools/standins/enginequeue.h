#ifndef CROCUSPORT_ENGINEQUEUE_H
#define CROCUSPORT_ENGINEQUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace crocusport {

/*!
    The waiting requests of an engine: lower priority values first, then first come, first served.

    Thread safety: none; use from one thread.
*/
class EngineQueue
{
public:
    //! Adds \a id; does nothing if it is waiting already.
    void push(const std::string &id, int priority);
    //! Removes and returns the first request.
    std::optional<std::string> pop();
    //! Removes \a id; returns whether it was waiting.
    bool remove(const std::string &id);
    std::size_t size() const { return waiting_.size(); }
    bool isEmpty() const { return waiting_.empty(); }

private:
    using Position = std::pair<int, std::uint64_t>;

    std::map<Position, std::string> waiting_;
    std::unordered_map<std::string, Position> positions_;
    std::uint64_t sequence_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_ENGINEQUEUE_H
