#ifndef CROCUSPORT_REQUESTTABLE_H
#define CROCUSPORT_REQUESTTABLE_H

#include "requestrecord.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    The waiting and running requests of a pool, by id. The address of a record does not change.

    Thread safety: none; use from one thread.
*/
class RequestTable
{
public:
    //! Returns the record of \a id, or nullptr if \a id is unknown.
    RequestRecord *find(const RequestId &id);
    const RequestRecord *find(const RequestId &id) const;
    //! Returns a new record for \a id. Precondition: \a id is unknown.
    RequestRecord &create(const RequestId &id);
    //! Removes \a record. Precondition: \a record is linked into none of the ordered sets of the
    //! queue.
    void remove(RequestRecord &record);

    std::size_t size() const { return records_.size(); }
    //! Returns the records for which \a predicate holds. Linear in the number of all records.
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
