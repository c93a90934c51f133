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
    The store's records of requests that are refused because servers crashed under them. A router
    that starts, was cut off or belongs to another availability zone reads them with everything
    else that the store holds, so that it need not see the crashes itself.

    A record is written once, by the first router of a neighbourhood; the others do it in the order
    of their ranks when it does not appear. It is removed when the request is not refused any more.

    Thread safety: loop thread only. Client, formats and ledger must outlive the records.
*/
class CrashRecords
{
public:
    CrashRecords(HttpClient &client, const FormatTable &formats, SocketAddress store,
                 CrashLedger &ledger);

    CrashRecords(const CrashRecords &) = delete;
    CrashRecords &operator=(const CrashRecords &) = delete;

    static bool isRecordKey(const std::string &key);

    //! \a fingerprint is refused from now on, as the ledger says.
    void noteRefused(Fingerprint fingerprint, Instant now);
    //! Takes in what the store holds now. Precondition: isRecordKey(change.key).
    void take(const StoreChange &change, Instant now);
    /*!
        Makes the store hold what the ledger refuses, one call at a time. \a rank is the number of
        routers that do so before this one. To be called several times a second.
    */
    void update(std::size_t rank, Instant now);
    std::uint64_t calls() const { return calls_; }

private:
    struct Record
    {
        bool isStored = false;
        Instant since {}; //!< That it is stored, or refused.
        std::optional<Instant> triedAt;
    };

    void start(HttpCallRequest request, Record &record, Instant now);

    HttpClient &client_;
    const FormatTable &formats_;
    SocketAddress store_;
    CrashLedger &ledger_;
    std::map<Fingerprint, Record> records_; //!< What is stored or refused.
    std::unique_ptr<HttpCall> call_;
    std::uint64_t calls_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_CRASHRECORDS_H
