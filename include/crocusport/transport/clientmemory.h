#ifndef CROCUSPORT_CLIENTMEMORY_H
#define CROCUSPORT_CLIENTMEMORY_H

#include "crocusport/state/instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>

namespace crocusport {

//! What memory is held for; see kClientChargeNames.
enum class ClientCharge { Connection, Head, Body, UnreadAnswer };
inline constexpr std::array<std::string_view, 4> kClientChargeNames = { "connection", "head",
                                                                        "body", "unread_answer" };

//! Why a client was turned away; see kClientLossNames.
enum class ClientLoss { Stalled, Refused, TooSlow, Replaced };
inline constexpr std::array<std::string_view, 4> kClientLossNames = { "stalled", "refused",
                                                                      "too_slow", "replaced" };

/*!
    Limits the memory that a process holds for clients. Memory is reserved before the bytes are
    read, so the sum of all reservations never exceeds the limit; a connection without a reservation
    stops reading, and the bytes stay in the kernel.

    Load pattern: many clients send most of a body, or of a head, or read no answers, and stay
    connected, on hosts with little memory.

    A connection that holds a large body has reserved the whole of it, so that it can always be
    completed and reservations cannot block each other.

    Thread safety: none; use from one thread.
*/
class ClientMemory
{
public:
    class Account;

    //! What the connection of an account does on decisions of the budget. The methods are called
    //! by relieve() only, and may destroy the account.
    class Holder
    {
    public:
        //! The reservation that was refused before has been made.
        virtual void onGranted() = 0;
        //! The connection must be closed. It has no request that was handed over.
        virtual void onEvicted() = 0;
        //! The request that waits for memory must be refused.
        virtual void onRefused() = 0;

    protected:
        ~Holder() = default;
    };

    struct Limits
    {
        std::size_t totalBytes = 0;
        std::size_t reserveBytes = 0; //!< Only for accounts that hold at most kSmallBytes.
        std::size_t unreadBytes = 0;  //!< Part for unread answers.
        //! Time without progress after which a connection is closed when others need its memory.
        Duration stallTime = std::chrono::seconds(1);
        Duration maxWait = std::chrono::seconds(10); //!< Then a waiting request is refused.
    };

    explicit ClientMemory(const Limits &limits) : limits_(limits) { }

    ClientMemory(const ClientMemory &) = delete;
    ClientMemory &operator=(const ClientMemory &) = delete;

    //! The limits for clients on a host with \a hostBytes of memory (0: unknown), of which
    //! \a answerBytes are wanted for answers.
    static Limits limitsFor(std::size_t hostBytes, std::size_t answerBytes);
    //! The limits of a budget of \a bytes, at least what the largest body needs.
    static Limits limitsOf(std::size_t bytes);
    //! The part of \a wantedBytes that answers may use on a host with \a hostBytes of memory.
    static std::size_t answerBytesFor(std::size_t hostBytes, std::size_t wantedBytes);

    /*!
        Makes waiting reservations in the order of their requests, small ones also past large ones
        that do not fit. Closes stalled connections, the largest product of bytes and stall time
        first, while a reservation does not fit or more than the limit is held; above the limit
        also unread answers that have not stalled.
    */
    void relieve(Instant now);
    //! Whether relieve() has something to do.
    bool isPressed() const { return !waiting_.empty() || isOverLimit(); }
    //! Whether more than the limit is held, or more than their part for unread answers: these
    //! are charged when they exist already.
    bool isOverLimit() const
    {
        return heldBytes_ > limits_.totalBytes
            || heldBytes(ClientCharge::UnreadAnswer) > limits_.unreadBytes;
    }

    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t heldBytes(ClientCharge kind) const { return held_[index(kind)]; }
    std::size_t waitingCount() const { return waiting_.size(); }
    const Limits &limits() const { return limits_; }
    //! Reservations above this count as this: a request of any size that the body limit allows is
    //! served, but no two of them at once, and idle connections fit beside it.
    std::size_t maxReservation() const
    {
        return (limits_.totalBytes - limits_.reserveBytes) / 4 * 3;
    }
    //! Counts a client that was turned away by the connection itself.
    void noteLoss(ClientLoss reason) { ++losses_[static_cast<std::size_t>(reason)]; }
    std::uint64_t losses(ClientLoss reason) const
    {
        return losses_[static_cast<std::size_t>(reason)];
    }

    //! Charged for each connection: its objects and the bytes of a first read.
    static constexpr std::size_t kConnectionBytes = 6UL * 1024;
    //! Accounts that hold no more may use the reserve. Larger than usual requests.
    static constexpr std::size_t kSmallBytes = 80UL * 1024;

private:
    static constexpr std::size_t index(ClientCharge kind) { return static_cast<std::size_t>(kind); }
    bool fits(const Account &account, std::size_t growth) const;
    void grantWaiting(Instant now);
    void refuseLongWaiting(Instant now);
    bool evictOne(Instant now);

    Limits limits_;
    std::size_t heldBytes_ = 0;
    std::array<std::size_t, kClientChargeNames.size()> held_ {};
    std::array<std::uint64_t, kClientLossNames.size()> losses_ {};
    std::list<Account *> accounts_;
    std::list<Account *> waiting_; //!< In the order of their requests.
};

//! The memory that one connection holds. Must not outlive its ClientMemory.
class ClientMemory::Account
{
public:
    //! Charges kConnectionBytes; the number of connections is limited elsewhere. \a holder must
    //! outlive the account.
    Account(ClientMemory &memory, Holder &holder, Instant now);
    ~Account();

    Account(const Account &) = delete;
    Account &operator=(const Account &) = delete;

    /*!
        Sets the bytes held as \a kind, at most maxReservation(). Returns false if they do not fit;
       the charge then stays as it is until Holder::onGranted(), and the connection must not read.
       At most one kind waits.
    */
    bool reserve(ClientCharge kind, std::size_t bytes, Instant now);
    //! Sets the bytes held as \a kind, which exist already. May exceed the limit; relieve() then
    //! closes connections.
    void charge(ClientCharge kind, std::size_t bytes);
    //! Records that the client has sent or read enough to count as progress.
    void noteProgress(Instant now) { progressAt_ = now; }
    //! A request that was handed over is never evicted.
    void setHandedOver(bool isHandedOver) { isHandedOver_ = isHandedOver; }
    std::size_t heldBytes() const { return heldBytes_; }
    std::size_t heldBytes(ClientCharge kind) const { return held_[index(kind)]; }

private:
    friend class ClientMemory;
    void stopWaiting();

    ClientMemory &memory_;
    Holder &holder_;
    std::array<std::size_t, kClientChargeNames.size()> held_ {};
    std::size_t heldBytes_ = 0;
    Instant progressAt_;
    Instant waitingSince_;
    ClientCharge wantedKind_ = ClientCharge::Head;
    std::size_t wantedBytes_ = 0;
    bool isWaiting_ = false;
    bool isHandedOver_ = false;
    std::list<Account *>::iterator position_;
};

} // namespace crocusport

#endif // CROCUSPORT_CLIENTMEMORY_H
