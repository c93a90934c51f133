#include "soakcheck.h"

namespace crocusport {

namespace {

// The value of bounds.revocation_ms in the settings of the routers.
constexpr Duration kRevocationBound = std::chrono::seconds(3);
constexpr int kOk = 200;
// The platform's limit: after three crashes a request counts as their cause, and it may then crash
// three more servers.
constexpr int kCrashesBeforeRefusal = 3;
constexpr int kAllowedLateCrashes = 3;

//! Returns whether \a status tells a caller that the request has not run.
bool saysNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string SoakCheck::event(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

void SoakCheck::fail(const std::string &id, const std::string &fault)
{
    faults_.push_back(id + ": " + fault);
}

void SoakCheck::sent(const std::string &id, Kind kind, const std::string &key, Instant now)
{
    auto &entry = entries_[id];
    entry.kind = kind;
    entry.key = key;
    entry.sentAt = now;
}

void SoakCheck::ran(const std::string &id, Instant /*now*/)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        fail(id, "a server ran a request that no caller sent");
        return;
    }
    auto &entry = found->second;
    ++entry.runs;
    const bool isOnce = entry.kind == Kind::Unsafe || entry.kind == Kind::Fragile;
    if (isOnce && entry.runs > 1)
        fail(id, "ran twice");
    if (isOnce && entry.isRefused)
        fail(id, "ran after it was refused as not run");
    const auto withdrawn = withdrawn_.find(entry.key);
    if (withdrawn != withdrawn_.end() && entry.sentAt > withdrawn->second + kRevocationBound)
        fail(id, "ran with a key that was withdrawn longer ago than the revocation bound");
}

void SoakCheck::answered(const std::string &id, int status, bool isWhole, bool isSealed,
                         const std::string &body)
{
    auto &entry = entries_[id];
    const bool isOnce = entry.kind == Kind::Unsafe || entry.kind == Kind::Fragile;
    if (saysNotRun(status)) {
        entry.isRefused = true;
        if (isOnce && entry.runs > 0)
            fail(id, "refused as not run with " + std::to_string(status) + ", but it has run");
    }
    if (status != kOk)
        return;
    if (!isSealed)
        fail(id, "success without a seal");
    if (entry.kind == Kind::Stream || entry.kind == Kind::Fragile)
        checkStream(id, isWhole, body);
    else if (isWhole && body != plainBody(id))
        fail(id, "wrong body: " + body);
    served_ += isWhole ? 1 : 0;
}

void SoakCheck::crashed(const std::string &cause, bool isRecoveryTimeOver)
{
    auto &crashes = crashes_[cause];
    const bool isKnownCause = crashes.all++ >= kCrashesBeforeRefusal;
    if (isRecoveryTimeOver && isKnownCause && ++crashes.afterRecovery == kAllowedLateCrashes + 1)
        fail(cause, "crashed more servers than the limit allows");
}

void SoakCheck::checkStream(const std::string &id, bool isWhole, const std::string &body)
{
    std::string expected;
    for (int number = 1; number <= kEvents; ++number)
        expected += event(id, number);
    if (isWhole ? body != expected : !expected.starts_with(body))
        fail(id, "events are missing, duplicated or of another request: " + body);
}

} // namespace crocusport
