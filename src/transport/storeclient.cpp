#include "crocusport/transport/storeclient.h"

#include "crocusport/protocol/etcdcodec.h"

#include "storecall.h"
#include "storewatch.h"

#include <cassert>
#include <cstdint>
#include <map>
#include <utility>

namespace crocusport {

struct StoreClient::Private
{
    /*!
        Sends \a body and passes the reply, parsed by \a parse, to \a onResult. A malformed reply is
        reported as ConnectionClosed, since a write may have taken effect.
    */
    template<typename T, typename Parse>
    void call(StoreCall::Kind kind, std::string_view path, std::string body, Parse parse,
              StoreCallback<T> onResult)
    {
        const auto id = ++started;
        auto onReply = [this, id, parse,
                        onResult = std::move(onResult)](AsyncResult<std::string> reply) {
            const auto finished = calls.extract(id); // Destroyed after the callback.
            if (auto *error = std::get_if<Error>(&reply)) {
                onResult(std::move(*error));
                return;
            }
            // The callback is called outside of handleErrors(), so that errors raised in it are not
            // handled as errors of the reply.
            auto result = handleErrors(
                [&]() -> Result<AsyncResult<T>> {
                    BOOST_LEAF_AUTO(value, parse(std::get<std::string>(reply)));
                    return AsyncResult<T>(std::move(value));
                },
                [](const Error &error) {
                    const bool isUnusable = error.code == ResultCode::MalformedMessage;
                    return AsyncResult<T>(
                        isUnusable ? Error { ResultCode::ConnectionClosed, error.message } : error);
                });
            onResult(std::move(result));
        };
        calls.emplace(
            id,
            std::make_unique<StoreCall>(context, kind, path, std::move(body), std::move(onReply)));
    }

    StoreCallContext context;
    Duration watchIdleTimeout;
    std::size_t started = 0;
    std::map<std::size_t, std::unique_ptr<StoreCall>> calls;
    std::map<std::size_t, std::unique_ptr<StoreWatch>> watches;
};

StoreClient::StoreClient(EventLoop &loop, HttpClient &client, const Options &options)
    : d_(new Private { { loop, client, options.addresses, options.timeout, 0 },
                       options.watchIdleTimeout,
                       0,
                       {},
                       {} })
{
    assert(!options.addresses.empty());
}

StoreClient::~StoreClient() = default;

void StoreClient::get(const std::string &key, StoreCallback<std::optional<StoreEntry>> onEntry)
{
    const auto parse = [](const std::string &reply) -> Result<std::optional<StoreEntry>> {
        BOOST_LEAF_AUTO(range, parseEtcdRange(reply));
        if (range.entries.empty())
            return std::optional<StoreEntry> {};
        return std::optional(std::move(range.entries.front()));
    };
    d_->call(StoreCall::Kind::Read, kEtcdRangePath, writeEtcdRange(key), parse, std::move(onEntry));
}

void StoreClient::compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply)
{
    d_->call(StoreCall::Kind::Write, kEtcdTxnPath, writeEtcdCompareAndSwap(swap),
             parseEtcdCompareAndSwap, std::move(onReply));
}

void StoreClient::grantLease(Milliseconds timeToLive, StoreCallback<LeaseId> onLease)
{
    d_->call(StoreCall::Kind::Write, kEtcdLeaseGrantPath,
             writeEtcdLeaseGrant(std::chrono::ceil<std::chrono::seconds>(timeToLive)),
             parseEtcdLeaseGrant, std::move(onLease));
}

void StoreClient::keepAlive(LeaseId lease, StoreCallback<LeaseId> onLease)
{
    // Renewing a lease is idempotent, so the call may be retried like a read.
    d_->call(StoreCall::Kind::Read, kEtcdLeaseKeepAlivePath, writeEtcdLeaseKeepAlive(lease),
             parseEtcdLeaseKeepAlive, std::move(onLease));
}

void StoreClient::watch(const std::string &key, StoreRevision revision,
                        StoreCallback<std::optional<StoreEntry>> onEntry)
{
    const auto id = ++d_->started;
    auto *const d = d_.get();
    auto handler = [d, id,
                    onEntry = std::move(onEntry)](AsyncResult<std::optional<StoreEntry>> result) {
        if (std::holds_alternative<Error>(result)) {
            const auto finished = d->watches.extract(id); // Destroyed after the callback.
            onEntry(std::move(result));
        } else {
            onEntry(std::move(result));
        }
    };
    d_->watches.emplace(id,
                        std::make_unique<StoreWatch>(d_->context, key, revision,
                                                     d_->watchIdleTimeout, std::move(handler)));
}

void StoreClient::cancelWatch(const std::string &key)
{
    std::erase_if(d_->watches, [&](const auto &entry) { return entry.second->key() == key; });
}

std::size_t StoreClient::startedCalls() const
{
    return d_->started;
}

} // namespace crocusport
