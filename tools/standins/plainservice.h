#ifndef CROCUSPORT_PLAINSERVICE_H
#define CROCUSPORT_PLAINSERVICE_H

#include "standinserver.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocusport {

//! Settings of a simulated plain service.
struct PlainServiceOptions
{
    std::uint32_t slots = 16;
    Duration serviceTime = std::chrono::milliseconds(5);
    Duration bookingTime = std::chrono::milliseconds(20);
    std::uint64_t start = 0;
    Duration linger {};
};

/*!
    A simulated HTTP service whose bookings are not idempotent: it runs each one that it receives
    and counts them, so that a test can see what ran twice.

    Thread safety: loop thread only.
*/
class PlainService
{
public:
    //! \a onLeft is called when the service is leaving and nothing runs any more.
    PlainService(StandinServer &server, const PlainServiceOptions &options,
                 std::function<void()> onLeft);

    void leave();

private:
    using ExchangePointer = std::shared_ptr<GuardedExchange>;

    void onRequest(const ExchangePointer &exchange);
    void enqueue(const ExchangePointer &exchange);
    void startWaiting();
    void run(const ExchangePointer &exchange);
    void answer(GuardedExchange &exchange, std::uint64_t execution);
    std::uint64_t recordBooking(const GuardedExchange &exchange);
    void replyExecutions(GuardedExchange &exchange) const;
    void checkLeft();

    StandinServer &server_;
    PlainServiceOptions options_;
    std::function<void()> onLeft_;
    std::deque<ExchangePointer> waiting_;
    std::map<std::string, std::uint32_t> executionsByKey_;
    std::map<std::string, std::uint32_t> executionsByMarker_;
    std::uint64_t bookings_ = 0;
    std::uint64_t requests_ = 0;
    std::uint32_t running_ = 0;
    bool isLeaving_ = false;
    std::optional<Instant> mayExitAt_;
};

} // namespace crocusport

#endif // CROCUSPORT_PLAINSERVICE_H
