#ifndef CROCUSPORT_MODELSTORE_H
#define CROCUSPORT_MODELSTORE_H

#include "crocusport/gateway/wiremessages.h"

#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! A store in memory: its items with their revisions, and the history of its changes.
class ModelStore
{
public:
    void put(const std::string &key, const std::string &value)
    {
        items_[key] = { key, value, ++revision_ };
        changes_.push_back(items_[key]);
    }
    //! Removes an item, and records a change even if there is none.
    void erase(const std::string &key)
    {
        items_.erase(key);
        changes_.push_back({ key, std::nullopt, ++revision_ });
    }
    //! Discards the history up to the current revision.
    void dropHistory()
    {
        changes_.clear();
        historyStart_ = revision_;
    }
    //! Returns up to \a count items that follow the key \a after.
    StorePage list(const std::string &after, std::size_t count) const
    {
        StorePage page;
        page.revision = revision_;
        auto item = after.empty() ? items_.begin() : items_.upper_bound(after);
        for (; item != items_.end() && page.changes.size() < count; ++item)
            page.changes.push_back(item->second);
        page.hasMore = item != items_.end();
        return page;
    }
    StorePage list() const { return list({}, items_.size()); }
    //! Returns the changes after a revision, or nothing if the history no longer contains them.
    std::optional<StorePage> watch(StoreRevision after) const
    {
        if (after < historyStart_)
            return std::nullopt;
        StorePage page;
        for (const auto &change : changes_) {
            if (change.revision > after)
                page.changes.push_back(change);
        }
        page.revision = revision_;
        return page;
    }
    StoreRevision revision() const { return revision_; }
    const std::map<std::string, StoreChange> &items() const { return items_; }

private:
    std::map<std::string, StoreChange> items_;
    std::vector<StoreChange> changes_;
    StoreRevision revision_ = 0;
    StoreRevision historyStart_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_MODELSTORE_H
