#include "crocusport/transport/clientmemory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace crocusport {

namespace {

constexpr std::size_t kMiB = 1024UL * 1024;
// The smallest host of the deployments; used if the memory of the host is unknown.
constexpr std::size_t kDefaultHostBytes = 120 * kMiB;
// For the program (8 MB) and the state of routers and servers.
constexpr std::size_t kProgramBytes = 24 * kMiB;
// Of the rest, half is for clients and answers; the other half is for kernel buffers, copies while
// strings grow, and fragments in the allocator.
constexpr std::size_t kSharePart = 2;
constexpr std::size_t kReservePart = 8;
// Orders unread answers of the same moment by size.
constexpr Duration kMinStall = std::chrono::milliseconds(1);
// Holds one body of 4 MiB, which is charged twice because it is copied to the server's connection.
constexpr std::size_t kMinTotalBytes = 9 * kMiB + kMiB / 2;

std::size_t shareOf(std::size_t hostBytes)
{
    const auto host = hostBytes == 0 ? kDefaultHostBytes : hostBytes;
    return host > kProgramBytes ? (host - kProgramBytes) / kSharePart : 0;
}

} // namespace

std::size_t ClientMemory::answerBytesFor(std::size_t hostBytes, std::size_t wantedBytes)
{
    return std::min(wantedBytes, std::max(shareOf(hostBytes) / 2, kMiB));
}

ClientMemory::Limits ClientMemory::limitsFor(std::size_t hostBytes, std::size_t answerBytes)
{
    const auto share = shareOf(hostBytes);
    return limitsOf(share - std::min(share, answerBytesFor(hostBytes, answerBytes)));
}

ClientMemory::Limits ClientMemory::limitsOf(std::size_t bytes)
{
    Limits limits;
    limits.totalBytes = std::max(bytes, kMinTotalBytes);
    // Of what was asked for: the least total is only for a single large body.
    limits.unreadBytes = std::max(bytes / 2, kMiB);
    limits.reserveBytes = limits.totalBytes / kReservePart;
    return limits;
}

bool ClientMemory::fits(const Account &account, std::size_t growth) const
{
    const bool isSmall = account.heldBytes_ + growth <= kSmallBytes;
    const auto limit = limits_.totalBytes - (isSmall ? 0 : limits_.reserveBytes);
    return heldBytes_ + growth <= limit;
}

void ClientMemory::relieve(Instant now)
{
    grantWaiting(now);
    while (isPressed() && evictOne(now))
        grantWaiting(now);
    refuseLongWaiting(now);
}

void ClientMemory::grantWaiting(Instant now)
{
    bool isLargeBlocked = false;
    std::vector<Account *> granted;
    for (auto *const account : waiting_) {
        const auto growth = account->wantedBytes_ - account->held_[index(account->wantedKind_)];
        const bool isSmall = account->heldBytes_ + growth <= kSmallBytes;
        if ((!isSmall && isLargeBlocked) || !fits(*account, growth)) {
            isLargeBlocked = isLargeBlocked || !isSmall;
            continue;
        }
        account->charge(account->wantedKind_, account->wantedBytes_);
        granted.push_back(account);
    }
    for (auto *const account : granted) {
        account->stopWaiting();
        account->progressAt_ = now;
    }
    // Last: holders only resume reading, which takes effect in a later callback.
    for (auto *const account : granted)
        account->holder_.onGranted();
}

void ClientMemory::refuseLongWaiting(Instant now)
{
    while (!waiting_.empty() && now - waiting_.front()->waitingSince_ >= limits_.maxWait) {
        auto *const account = waiting_.front();
        account->stopWaiting();
        noteLoss(ClientLoss::Refused);
        account->holder_.onRefused();
    }
}

// Returns whether a connection was closed.
bool ClientMemory::evictOne(Instant now)
{
    Account *victim = nullptr;
    double most = 0;
    Account *unread = nullptr;
    double mostUnread = 0;
    for (auto *const account : accounts_) {
        if (account->isHandedOver_ || account->isWaiting_
            || account->heldBytes_ <= kConnectionBytes)
            continue;
        const auto unreadBytes = account->held_[index(ClientCharge::UnreadAnswer)];
        const auto stalled = now - account->progressAt_;
        const auto unreadWeight = static_cast<double>(unreadBytes) * toSeconds(stalled + kMinStall);
        if (unreadWeight > mostUnread) {
            unread = account;
            mostUnread = unreadWeight;
        }
        const auto weight = static_cast<double>(account->heldBytes_) * toSeconds(stalled);
        if (stalled >= limits_.stallTime && weight > most) {
            victim = account;
            most = weight;
        }
    }
    if (!victim && isOverLimit())
        victim = unread;
    if (!victim)
        return false;
    noteLoss(ClientLoss::Stalled);
    victim->holder_.onEvicted();
    return true;
}

ClientMemory::Account::Account(ClientMemory &memory, Holder &holder, Instant now)
    : memory_(memory), holder_(holder), progressAt_(now),
      position_(memory.accounts_.insert(memory.accounts_.end(), this))
{
    charge(ClientCharge::Connection, kConnectionBytes);
}

ClientMemory::Account::~Account()
{
    stopWaiting();
    for (std::size_t kind = 0; kind < held_.size(); ++kind)
        charge(static_cast<ClientCharge>(kind), 0);
    memory_.accounts_.erase(position_);
}

bool ClientMemory::Account::reserve(ClientCharge kind, std::size_t bytes, Instant now)
{
    bytes = std::min(bytes, memory_.maxReservation());
    const auto before = held_[index(kind)];
    if (bytes <= before || memory_.fits(*this, bytes - before)) {
        charge(kind, bytes);
        return true;
    }
    wantedKind_ = kind;
    wantedBytes_ = bytes;
    if (!isWaiting_) {
        isWaiting_ = true;
        waitingSince_ = now;
        memory_.waiting_.push_back(this);
    }
    return false;
}

void ClientMemory::Account::charge(ClientCharge kind, std::size_t bytes)
{
    const auto before = std::exchange(held_[index(kind)], bytes);
    heldBytes_ += bytes - before;
    memory_.heldBytes_ += bytes - before;
    memory_.held_[index(kind)] += bytes - before;
}

void ClientMemory::Account::stopWaiting()
{
    if (!std::exchange(isWaiting_, false))
        return;
    memory_.waiting_.remove(this);
}

} // namespace crocusport
