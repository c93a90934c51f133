#ifndef CROCUSPORT_CRASHRECORDS_H
#define CROCUSPORT_CRASHRECORDS_H

#include "formattable.h"

#include "crocusport/state/crashledger.h"
#include "crocusport/transport/httpclient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocusport {

/*!
    Keeps records in the store of the requests that are refused because backend servers crashed
    while running them. A router reads these records together with all other items of the store. So
    a router that has just started, was disconnected or is in another availability zone refuses the
    same requests without having observed the crashes.

    The router of the lowest rank in a neighbourhood writes a record. If the record does not appear
    in the store, the other routers try to write it in the order of their ranks. A record is removed
    when its request is no longer refused.

    Thread safety: loop thread only. Client, formats and ledger must outlive the object.
*/
class CrashRecords
{
public:
    CrashRecords(HttpClient &client, const FormatTable &formats, SocketAddress store,
                 CrashLedger &ledger);

    CrashRecords(const CrashRecords &) = delete;
    CrashRecords &operator=(const CrashRecords &) = delete;

    static bool isRecordKey(const std::string &key);

    //! Schedules a record for \a fingerprint, which the ledger refuses from now on.
    void noteRefused(Fingerprint fingerprint, Instant now);
    //! Applies a change of a record in the store to the ledger. Precondition:
    //! isRecordKey(change.key).
    void applyChange(const StoreChange &change, Instant now);
    /*!
        Writes missing records to the store and removes obsolete ones, with one call at a time.
        \a rank is the number of routers that write before this one. Call it several times a second.
    */
    void update(std::size_t rank, Instant now);
    std::uint64_t calls() const { return calls_; }

private:
    struct Record
    {
        bool isStored = false;
        //! Time at which the record was stored or, before that, the request was first refused.
        Instant since {};
        std::optional<Instant> triedAt;
    };

    void start(HttpCallRequest request, Record &record, Instant now);

    HttpClient &client_;
    const FormatTable &formats_;
    SocketAddress store_;
    CrashLedger &ledger_;
    std::map<Fingerprint, Record> records_; //!< Stored records and refused requests.
    std::unique_ptr<HttpCall> call_;
    std::uint64_t calls_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_CRASHRECORDS_H
