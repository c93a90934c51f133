#ifndef CROCUSPORT_STORESERVICE_H
#define CROCUSPORT_STORESERVICE_H

#include "callratelimiter.h"
#include "crocusport/transport/timer.h"
#include "standinserver.h"
#include "storegateway.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

//! Settings of a simulated key-value service.
struct StoreServiceOptions
{
    double writesPerSecond = 0; //!< 0: no limit.
    double readsPerSecond = 0;  //!< 0: no limit.
    Duration serviceTime = std::chrono::milliseconds(1);
};

/*!
    A simulated key-value service that speaks the JSON gateway of etcd v3.

    Thread safety: loop thread only.
*/
class StoreService
{
public:
    StoreService(EventLoop &loop, StandinServer &server, const StoreServiceOptions &options);

private:
    using ExchangePointer = std::shared_ptr<GuardedExchange>;

    struct Watch
    {
        ExchangePointer exchange;
        std::string key;
        std::string rangeEnd;
        std::int64_t nextRevision = 0;
    };

    void onRequest(const ExchangePointer &exchange);
    void runCall(const ExchangePointer &exchange, StoreCallKind kind);
    void startWatch(const ExchangePointer &exchange, const nlohmann::json &request);
    void notifyWatches();
    void replyCounts(GuardedExchange &exchange) const;

    StandinServer &server_;
    StoreServiceOptions options_;
    StoreGateway gateway_;
    CallRateLimiter writes_;
    CallRateLimiter reads_;
    std::map<std::string, std::uint64_t> counts_;
    std::vector<std::unique_ptr<Watch>> watches_;
    Timer leaseTimer_;
};

} // namespace crocusport

#endif // CROCUSPORT_STORESERVICE_H
