#include "enginequeue.h"

namespace crocusport {

void EngineQueue::push(const std::string &id, int priority)
{
    const Position position(priority, ++sequence_);
    if (positions_.emplace(id, position).second)
        waiting_.emplace(position, id);
}

std::optional<std::string> EngineQueue::pop()
{
    if (waiting_.empty())
        return std::nullopt;
    auto id = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    positions_.erase(id);
    return id;
}

bool EngineQueue::remove(const std::string &id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end())
        return false;
    waiting_.erase(found->second);
    positions_.erase(found);
    return true;
}

} // namespace crocusport
