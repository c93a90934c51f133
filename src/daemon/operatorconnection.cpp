#include "operatorconnection.h"

#include "crocusport/coordination/publisher.h"
#include "crocusport/protocol/configurationdocument.h"
#include "crocusport/protocol/digest.h"
#include "crocusport/transport/storeclient.h"

#include <optional>
#include <utility>

namespace crocusport {

namespace {

constexpr Duration kRouterTimeout = std::chrono::seconds(5);
// People wait longer for the store than requests may.
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr std::size_t kPublishIdBytes = 16;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

//! Runs \a loop until the callback that \a start receives was called, and returns what it got.
template<typename T, typename Start>
Result<T> waitFor(EventLoop &loop, Start &&start)
{
    std::optional<AsyncResult<T>> result;
    start([&](AsyncResult<T> received) {
        result = std::move(received);
        loop.stop();
    });
    if (!result)
        loop.run();
    if (!result)
        return makeError(ResultCode::InternalError, "the event loop ended without a result");
    if (const auto *error = std::get_if<Error>(&*result))
        return makeError(error->code, error->message);
    return std::move(std::get<T>(*result));
}

ResultCode codeOf(const HttpCallEnd &end)
{
    switch (end.failure) {
    case HttpFailure::ConnectFailed:
        return ResultCode::ConnectFailed;
    case HttpFailure::ProgressTimeout:
        return ResultCode::Timeout;
    case HttpFailure::None:
        return end.status == kNotFound ? ResultCode::NotFound : ResultCode::BadRequest;
    default:
        return ResultCode::ConnectionClosed;
    }
}

} // namespace

Result<std::unique_ptr<OperatorConnection>> OperatorConnection::create()
{
    BOOST_LEAF_AUTO(loop, EventLoop::create());
    std::unique_ptr<OperatorConnection> connection(new OperatorConnection);
    connection->loop_ = std::move(loop);
    connection->client_ = std::make_unique<HttpClient>(*connection->loop_, HttpClient::Options {});
    return connection;
}

Result<std::string> OperatorConnection::get(const SocketAddress &router, const std::string &target)
{
    HttpCallRequest request;
    request.address = router;
    request.target = target;
    request.connectTimeout = kRouterTimeout;
    request.progressTimeout = kRouterTimeout;
    std::unique_ptr<HttpCall> call;
    return waitFor<std::string>(*loop_, [&](const StoreCallback<std::string> &onDone) {
        auto body = std::make_shared<std::string>();
        HttpCallHandlers handlers;
        handlers.onBody = [body](std::string_view data) { body->append(data); };
        handlers.onEnd = [=](const HttpCallEnd &end) {
            if (end.failure == HttpFailure::None && end.status == kOk) {
                onDone(std::move(*body));
                return;
            }
            const std::string reason = end.failure == HttpFailure::None
                ? "status " + std::to_string(end.status) + ' ' + *body
                : std::string(httpFailureName(end.failure));
            onDone(Error { codeOf(end), "router at " + router.value() + ": " + reason });
        };
        call = client_->start(std::move(request), std::move(handlers));
    });
}

Result<std::string> OperatorConnection::readConfiguration(const std::vector<SocketAddress> &store)
{
    StoreClient client(*loop_, *client_, { store, kStoreTimeout });
    BOOST_LEAF_AUTO(entry, waitFor<std::optional<StoreEntry>>(*loop_, [&](const auto &onEntry) {
                        client.get(kConfigurationKey, onEntry);
                    }));
    if (!entry)
        return makeError(ResultCode::NotFound, "no configuration has been published");
    return std::move(entry->value);
}

Result<ConfigurationVersion> OperatorConnection::publish(const std::vector<SocketAddress> &store,
                                                         const Configuration &configuration)
{
    const auto encode = [&](ConfigurationVersion version, const std::string &publishId) {
        auto numbered = configuration;
        numbered.version = version;
        numbered.publishId = publishId;
        return writeConfigurationDocument(numbered);
    };
    const auto publishId = toHex(randomBytes(kPublishIdBytes));
    const auto size = encode(ConfigurationVersion(UINT64_MAX), publishId).size();
    if (size > kMaxConfigurationBytes)
        return makeError(ResultCode::ConfigurationTooLarge,
                         "configuration has " + std::to_string(size) + " bytes; allowed are "
                             + std::to_string(kMaxConfigurationBytes));
    StoreClient client(*loop_, *client_, { store, kStoreTimeout });
    Publisher<StoreClient> publisher(client);
    return waitFor<ConfigurationVersion>(*loop_, [&](const auto &onDone) {
        publisher.publish({ publishId, encode, readPublishedDocument, {} }, onDone);
    });
}

} // namespace crocusport
