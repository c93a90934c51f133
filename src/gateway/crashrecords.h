#ifndef CROCUSPORT_CRASHRECORDS_H
#define CROCUSPORT_CRASHRECORDS_H

#include "formattable.h"
#include "partcrashledger.h"

#include "crocusport/state/crashledger.h"
#include "crocusport/transport/httpclient.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! Decides which fingerprints are refused because of crashes, for CrashRecords.
template<typename T>
concept RefusingLedger = requires(T ledger, Fingerprint fingerprint,
                                  const std::vector<std::string> &crashes, Instant now)
{
    {
        ledger.refusedUntil(fingerprint, now)
        } -> std::same_as<std::optional<Instant>>;
    {
        ledger.crashList(fingerprint, ',')
        } -> std::same_as<std::string>;
    ledger.addRecord(fingerprint, crashes, now);
    ledger.clear(fingerprint);
};

/*!
    Keeps records in the store of the requests, or of the prompt parts, that are refused because
    backend servers crashed while running them. A router reads these records together with all other
   items of the store. So a router that has just started, was disconnected or is in another
   availability zone refuses the same requests without having observed the crashes.

    The router of the lowest rank in a neighbourhood writes a record. If the record does not appear
    in the store, the other routers try to write it in the order of their ranks. A record is removed
    when its request is no longer refused.

    Thread safety: loop thread only. Client, formats and ledger must outlive the object.
*/
template<RefusingLedger Ledger>
class CrashRecords
{
public:
    //! \a keyPrefix begins the keys of all records.
    CrashRecords(HttpClient &client, const FormatTable &formats, SocketAddress store,
                 Ledger &ledger, std::string keyPrefix);

    CrashRecords(const CrashRecords &) = delete;
    CrashRecords &operator=(const CrashRecords &) = delete;

    bool isRecordKey(const std::string &key) const;

    //! Schedules a record for \a fingerprint, which the ledger refuses from now on.
    void noteRefused(Fingerprint fingerprint, Instant now);
    //! Applies a change of a record in the store to the ledger. Precondition:
    //! isRecordKey(change.key).
    void applyChange(const StoreChange &change, Instant now);
    //! Records that a later era of the store lacks a record. It is written again if its request is
    //! still refused. Precondition: isRecordKey(key).
    void noteLost(const std::string &key, Instant now);
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

    std::string keyOf(Fingerprint fingerprint) const;
    std::optional<Fingerprint> fingerprintOf(const std::string &key) const;
    void start(HttpCallRequest request, Record &record, Instant now);

    HttpClient &client_;
    const FormatTable &formats_;
    SocketAddress store_;
    Ledger &ledger_;
    std::string keyPrefix_;
    std::map<Fingerprint, Record> records_; //!< Stored records and refused requests.
    std::unique_ptr<HttpCall> call_;
    std::uint64_t calls_ = 0;
};

extern template class CrashRecords<CrashLedger>;
extern template class CrashRecords<PartCrashLedger>;

} // namespace crocusport

#endif // CROCUSPORT_CRASHRECORDS_H
