#include "crashrecords.h"

#include "numbertext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace crocusport {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxDigits = 16;
// Separates the crash ids in a record.
constexpr char kSeparator = '\n';
constexpr Duration kCallTimeout = std::chrono::seconds(1);
// The result of a call appears in the router's copy of the store within this time.
constexpr Duration kCallInterval = std::chrono::seconds(1);
// A router delays its calls by its rank times this duration.
constexpr Duration kRankDelay = std::chrono::seconds(1);

} // namespace

template<RefusingLedger Ledger>
CrashRecords<Ledger>::CrashRecords(HttpClient &client, const FormatTable &formats,
                                   SocketAddress store, Ledger &ledger, std::string keyPrefix)
    : client_(client), formats_(formats), store_(std::move(store)), ledger_(ledger),
      keyPrefix_(std::move(keyPrefix))
{ }

template<RefusingLedger Ledger>
std::string CrashRecords<Ledger>::keyOf(Fingerprint fingerprint) const
{
    std::array<char, kMaxDigits> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   fingerprint.value(), kHexadecimal);
    return keyPrefix_ + std::string(digits.data(), end.ptr);
}

template<RefusingLedger Ledger>
std::optional<Fingerprint> CrashRecords<Ledger>::fingerprintOf(const std::string &key) const
{
    const auto number =
        parseNumber<std::uint64_t>(std::string_view(key).substr(keyPrefix_.size()), kHexadecimal);
    return number ? std::optional(Fingerprint(*number)) : std::nullopt;
}

template<RefusingLedger Ledger>
bool CrashRecords<Ledger>::isRecordKey(const std::string &key) const
{
    return key.starts_with(keyPrefix_);
}

template<RefusingLedger Ledger>
void CrashRecords<Ledger>::noteRefused(Fingerprint fingerprint, Instant now)
{
    records_.try_emplace(fingerprint, Record { false, now, std::nullopt });
}

template<RefusingLedger Ledger>
void CrashRecords<Ledger>::applyChange(const StoreChange &change, Instant now)
{
    const auto fingerprint = fingerprintOf(change.key);
    if (!fingerprint)
        return;
    if (!change.value) {
        records_.erase(*fingerprint);
        ledger_.clear(*fingerprint);
        return;
    }
    records_[*fingerprint] = { true, now, std::nullopt };
    std::vector<std::string> crashes;
    std::string_view rest = *change.value;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(kSeparator), rest.size());
        crashes.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    ledger_.addRecord(*fingerprint, crashes, now);
}

template<RefusingLedger Ledger>
void CrashRecords<Ledger>::noteLost(const std::string &key, Instant now)
{
    if (const auto fingerprint = fingerprintOf(key))
        records_[*fingerprint] = { false, now, std::nullopt };
}

template<RefusingLedger Ledger>
void CrashRecords<Ledger>::update(std::size_t rank, Instant now)
{
    if (call_)
        return;
    const auto delay = kRankDelay * static_cast<int>(rank);
    for (auto record = records_.begin(); record != records_.end();) {
        const bool isRefused = ledger_.refusedUntil(record->first, now).has_value();
        auto &[isStored, since, triedAt] = record->second;
        if (!isStored && !isRefused) {
            record = records_.erase(record);
            continue;
        }
        const bool isDue =
            now >= since + delay && (!triedAt || now >= *triedAt + kCallInterval + delay);
        if (isStored == isRefused || !isDue) {
            ++record;
            continue;
        }
        const auto key = keyOf(record->first);
        start(isRefused ? formats_.putCall(key, ledger_.crashList(record->first, kSeparator))
                        : formats_.removeCall(key),
              record->second, now);
        return;
    }
}

// The response is ignored: the router's copy of the store shows whether the call succeeded.
template<RefusingLedger Ledger>
void CrashRecords<Ledger>::start(HttpCallRequest request, Record &record, Instant now)
{
    record.triedAt = now;
    request.address = store_;
    request.connectTimeout = kCallTimeout;
    request.progressTimeout = kCallTimeout;
    ++calls_;
    HttpCallHandlers handlers;
    handlers.onEnd = [this](const HttpCallEnd & /*end*/) { call_.reset(); };
    call_ = client_.start(std::move(request), std::move(handlers));
}

template class CrashRecords<CrashLedger>;
template class CrashRecords<PartCrashLedger>;

} // namespace crocusport
