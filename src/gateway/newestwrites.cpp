#include "newestwrites.h"

namespace crocusport {

bool NewestWrites::isOutdated(const std::string &key, const WriteNumber &write, StoreEra era,
                              Duration now) const
{
    const auto found = writes_.find(key);
    if (found == writes_.end() || now - found->second.readAt > kMaxWriteDelay)
        return false;
    const auto &newest = found->second;
    return write < newest.write
        || (write == newest.write && newest.removedIn && *newest.removedIn < era);
}

void NewestWrites::noteRemoved(const std::string &key, StoreEra era)
{
    const auto found = writes_.find(key);
    if (found != writes_.end())
        found->second.removedIn = era;
}

void NewestWrites::note(const std::string &key, const WriteNumber &write, Duration now)
{
    writes_[key] = { write, now, std::nullopt };
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
