#ifndef CROCUSPORT_INDEXSET_H
#define CROCUSPORT_INDEXSET_H

#include "nametable.h"

#include <cstddef>
#include <limits>
#include <vector>

namespace crocusport {

/*!
    Set of server indexes with insertion, removal and access by position in constant time, so that
    members can be sampled at random.

    Thread safety: none; use from one thread.
*/
class IndexSet
{
public:
    std::size_t size() const { return members_.size(); }
    bool empty() const { return members_.empty(); }
    ServerIndex at(std::size_t position) const { return members_[position]; }

    bool contains(ServerIndex index) const
    {
        return index.value() < positions_.size() && positions_[index.value()] != kAbsent;
    }

    //! Makes \a index a member or removes it.
    void set(ServerIndex index, bool member)
    {
        if (contains(index) == member)
            return;
        if (member)
            insert(index);
        else
            erase(index);
    }

private:
    static constexpr std::size_t kAbsent = std::numeric_limits<std::size_t>::max();

    void insert(ServerIndex index)
    {
        if (index.value() >= positions_.size())
            positions_.resize(index.value() + 1, kAbsent);
        positions_[index.value()] = members_.size();
        members_.push_back(index);
    }

    void erase(ServerIndex index)
    {
        const auto position = positions_[index.value()];
        const auto last = members_.back();
        members_[position] = last;
        positions_[last.value()] = position;
        positions_[index.value()] = kAbsent;
        members_.pop_back();
    }

    std::vector<ServerIndex> members_;
    std::vector<std::size_t> positions_;
};

} // namespace crocusport

#endif // CROCUSPORT_INDEXSET_H
