#include "newestwrites.h"

namespace crocusport {

bool NewestWrites::isOutdated(const std::string &key, const WriteNumber &write, Duration now) const
{
    const auto newest = writes_.find(key);
    return newest != writes_.end() && write < newest->second.write
        && now - newest->second.readAt <= kMaxWriteDelay;
}

void NewestWrites::note(const std::string &key, const WriteNumber &write, Duration now)
{
    if (!isOutdated(key, write, now))
        writes_[key] = { write, now };
}

void NewestWrites::expire(Duration now)
{
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + kMaxWriteDelay;
    std::erase_if(writes_,
                  [&](const auto &item) { return now - item.second.readAt > kMaxWriteDelay; });
}

} // namespace crocusport
