#include "crocusport/transport/httpclient.h"

#include "callstate.h"
#include "clientconnection.h"
#include "connectionpool.h"

#include <utility>

namespace crocusport {

std::string_view httpFailureName(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::None:
        return "None";
    case HttpFailure::ConnectFailed:
        return "ConnectFailed";
    case HttpFailure::ClosedBeforeResponse:
        return "ClosedBeforeResponse";
    case HttpFailure::ClosedMidResponse:
        return "ClosedMidResponse";
    case HttpFailure::ProgressTimeout:
        return "ProgressTimeout";
    case HttpFailure::Malformed:
        return "Malformed";
    case HttpFailure::TooLarge:
        return "TooLarge";
    case HttpFailure::Withdrawn:
        return "Withdrawn";
    }
    return "Unknown";
}

HttpCall::HttpCall(std::shared_ptr<CallState> state) : state_(std::move(state)) { }

HttpCall::~HttpCall()
{
    state_->cancel();
}

bool HttpCall::isEnded() const
{
    return state_->isEnded();
}

bool HttpCall::isOnNewConnection() const
{
    return state_->isOnNewConnection();
}

bool HttpCall::dropResponse()
{
    return state_->dropResponse();
}

void HttpCall::reportProgress(Duration limit)
{
    state_->reportProgress(limit);
}

HttpClient::HttpClient(EventLoop &loop, const Options &options)
    : pool_(std::make_unique<ConnectionPool>(loop, options))
{ }

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::start(HttpCallRequest request, HttpCallHandlers handlers)
{
    const auto address = request.address;
    const auto use = request.connection;
    const auto state =
        std::make_shared<CallState>(pool_->loop(), std::move(request), std::move(handlers));
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(connection, pool_->take(address, use));
            connection->send(state);
            return {};
        },
        [&](const Error & /*error*/) { CallState::endLater(state, HttpFailure::ConnectFailed); });
    return std::unique_ptr<HttpCall>(new HttpCall(state));
}

void HttpClient::closeIdle(const SocketAddress &address)
{
    pool_->closeIdle(address);
}

std::size_t HttpClient::idleConnections() const
{
    return pool_->idleCount();
}

std::uint64_t HttpClient::openedConnections() const
{
    return pool_->openedCount();
}

std::uint64_t HttpClient::strayConnections() const
{
    return pool_->strayCount();
}

} // namespace crocusport
