#ifndef CROCUSPORT_ETCDCODEC_H
#define CROCUSPORT_ETCDCODEC_H

#include "crocusport/coordination/keyvaluestore.h"
#include "crocusport/state/error.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

// Request and response bodies of the etcd v3 JSON gateway: keys and values in base64, 64-bit
// integers as text, absent fields zero or empty. All functions are safe from any thread. Parsers
// fail with MalformedMessage, or StoreError when the store reports an error.

inline constexpr std::string_view kEtcdRangePath = "/v3/kv/range";
inline constexpr std::string_view kEtcdPutPath = "/v3/kv/put";
inline constexpr std::string_view kEtcdTxnPath = "/v3/kv/txn";
inline constexpr std::string_view kEtcdLeaseGrantPath = "/v3/lease/grant";
inline constexpr std::string_view kEtcdLeaseKeepAlivePath = "/v3/lease/keepalive";
inline constexpr std::string_view kEtcdWatchPath = "/v3/watch";

//! Entries by key, and the store's revision when it answered.
struct EtcdRangeReply
{
    StoreRevision revision = 0;
    std::vector<StoreEntry> entries;
};

//! One change that a watch reports.
struct EtcdEvent
{
    std::string key;
    std::optional<StoreEntry> entry; //!< Empty: the key was deleted.
};

//! One message of a watch's stream.
struct EtcdWatchReply
{
    StoreRevision revision = 0;
    bool isCreated = false;
    std::vector<EtcdEvent> events;
};

std::string writeEtcdRange(const std::string &key);
Result<EtcdRangeReply> parseEtcdRange(std::string_view body);

std::string writeEtcdPut(const std::string &key, const std::string &value);

//! A transaction that puts the value if the key has the expected modification revision and, if
//! given, the expected value, and otherwise reads the entry.
std::string writeEtcdCompareAndSwap(const CompareAndSwap &swap);
Result<SwapReply> parseEtcdCompareAndSwap(std::string_view body);

std::string writeEtcdLeaseGrant(std::chrono::seconds timeToLive);
Result<LeaseId> parseEtcdLeaseGrant(std::string_view body);

std::string writeEtcdLeaseKeepAlive(LeaseId lease);
//! Fails with NotFound when the lease has expired.
Result<LeaseId> parseEtcdLeaseKeepAlive(std::string_view body);

//! Asks for the changes of \a key from \a startRevision on; 0 means from now on.
std::string writeEtcdWatch(const std::string &key, StoreRevision startRevision);
//! Parses one line of a watch's stream. Fails with StoreError when the store has ended the watch.
Result<EtcdWatchReply> parseEtcdWatch(std::string_view line);

} // namespace crocusport

#endif // CROCUSPORT_ETCDCODEC_H
