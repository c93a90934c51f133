#include "requesttable.h"

namespace crocusport {

RequestRecord *RequestTable::find(const RequestId &id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const RequestRecord *RequestTable::find(const RequestId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

RequestRecord &RequestTable::create(const RequestId &id)
{
    const auto [entry, inserted] = records_.try_emplace(id);
    entry->second.id = &entry->first;
    entry->second.sequence = nextSequence_++;
    return entry->second;
}

void RequestTable::remove(RequestRecord &record)
{
    records_.erase(records_.find(*record.id));
}

} // namespace crocusport
