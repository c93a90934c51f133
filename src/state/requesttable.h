#ifndef CROCUSPORT_REQUESTTABLE_H
#define CROCUSPORT_REQUESTTABLE_H

#include "requestrecord.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    The known requests of a pool, by id. Records keep their address while they exist.

    Thread safety: none; use from one thread.
*/
class RequestTable
{
public:
    //! Returns nullptr when \a id is unknown.
    RequestRecord *find(const RequestId &id);
    const RequestRecord *find(const RequestId &id) const;
    //! Precondition: \a id is unknown.
    RequestRecord &create(const RequestId &id);
    //! Precondition: \a record is in no ordered set.
    void remove(RequestRecord &record);

    std::size_t size() const { return records_.size(); }
    //! Returns the records for which \a predicate holds. Linear in their number.
    template<typename Predicate>
    std::vector<RequestRecord *> select(Predicate &&predicate)
    {
        std::vector<RequestRecord *> selected;
        for (auto &[id, record] : records_) {
            if (predicate(record))
                selected.push_back(&record);
        }
        return selected;
    }

private:
    std::unordered_map<RequestId, RequestRecord> records_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTTABLE_H
