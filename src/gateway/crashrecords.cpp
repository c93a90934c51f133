#include "crashrecords.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace crocusport {

namespace {

const std::string kKeyPrefix = "crocusport/crashes/";
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxDigits = 16;
// Separates the crash ids in a record.
constexpr char kSeparator = '\n';
constexpr Duration kCallTimeout = std::chrono::seconds(1);
// The result of a call appears in the router's copy of the store within this time.
constexpr Duration kCallInterval = std::chrono::seconds(1);
// A router delays its calls by its rank times this duration.
constexpr Duration kRankDelay = std::chrono::seconds(1);

std::string keyOf(Fingerprint fingerprint)
{
    std::array<char, kMaxDigits> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   fingerprint.value(), kHexadecimal);
    return kKeyPrefix + std::string(digits.data(), end.ptr);
}

std::optional<Fingerprint> fingerprintOf(const std::string &key)
{
    const auto *const end = key.data() + key.size();
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(key.data() + kKeyPrefix.size(), end, number, kHexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return Fingerprint(number);
}

} // namespace

CrashRecords::CrashRecords(HttpClient &client, const FormatTable &formats, SocketAddress store,
                           CrashLedger &ledger)
    : client_(client), formats_(formats), store_(std::move(store)), ledger_(ledger)
{ }

bool CrashRecords::isRecordKey(const std::string &key)
{
    return key.starts_with(kKeyPrefix);
}

void CrashRecords::noteRefused(Fingerprint fingerprint, Instant now)
{
    records_.try_emplace(fingerprint, Record { false, now, std::nullopt });
}

void CrashRecords::applyChange(const StoreChange &change, Instant now)
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
    std::string_view rest = *change.value;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(kSeparator), rest.size());
        ledger_.add(*fingerprint, std::string(rest.substr(0, end)), now);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
}

void CrashRecords::update(std::size_t rank, Instant now)
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
void CrashRecords::start(HttpCallRequest request, Record &record, Instant now)
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

} // namespace crocusport
