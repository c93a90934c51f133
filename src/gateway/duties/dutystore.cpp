#include "dutystore.h"

#include <utility>

namespace crocusport {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

boost::leaf::error_id unexpected(int status)
{
    return makeError(ResultCode::StoreUnavailable, "store: status " + std::to_string(status));
}

} // namespace

DutyStore::DutyStore(HttpClient &client, const FormatTable &formats, SocketAddress address)
    : formats_(formats), address_(std::move(address)), calls_(client)
{ }

template<typename Reply, typename Decode>
void DutyStore::call(HttpCallRequest request, Decode decode, StoreCallback<Reply> callback)
{
    request.address = address_;
    calls_.start(
        std::move(request), kCallTimeout, {},
        [decode, callback](const HttpCallEnd &end, const std::string &body) {
            if (end.failure != HttpFailure::None) {
                callback(Error { ResultCode::Timeout, std::string(httpFailureName(end.failure)) });
                return;
            }
            callback(handleErrors(
                [&]() -> Result<AsyncResult<Reply>> {
                    BOOST_LEAF_AUTO(reply, decode(end.status, body));
                    return AsyncResult<Reply>(std::move(reply));
                },
                [](const Error &error) { return AsyncResult<Reply>(error); }));
        });
}

void DutyStore::get(const std::string &key, StoreCallback<std::optional<StoreEntry>> onEntry)
{
    using Reply = std::optional<StoreEntry>;
    call<Reply>(
        formats_.itemCall(key),
        [this](int status, const std::string &body) -> Result<Reply> {
            if (status == kNotFound)
                return Reply();
            if (status != kOk)
                return unexpected(status);
            BOOST_LEAF_AUTO(entry, formats_.decodeItem(body));
            return Reply(std::move(entry));
        },
        std::move(onEntry));
}

void DutyStore::compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply)
{
    call<SwapReply>(
        formats_.swapCall(swap),
        [this, swap](int status, const std::string &body) {
            return formats_.decodeSwap(swap, status, body);
        },
        std::move(onReply));
}

void DutyStore::grantLease(Milliseconds timeToLive, StoreCallback<LeaseId> onLease)
{
    call<LeaseId>(
        formats_.leaseCall(timeToLive),
        [this](int status, const std::string &body) -> Result<LeaseId> {
            if (status != kOk)
                return unexpected(status);
            return formats_.decodeLease(body);
        },
        std::move(onLease));
}

void DutyStore::keepAlive(LeaseId lease, StoreCallback<LeaseId> onLease)
{
    call<LeaseId>(
        formats_.keepLeaseCall(lease),
        [lease](int status, const std::string & /*body*/) -> Result<LeaseId> {
            if (status == kNotFound)
                return LeaseId { 0 };
            if (status != kOk)
                return unexpected(status);
            return lease;
        },
        std::move(onLease));
}

void DutyStore::endLease(LeaseId lease)
{
    auto request = formats_.endLeaseCall(lease);
    request.address = address_;
    calls_.start(std::move(request), kCallTimeout, {}, [](const auto &, const auto &) {});
}

void DutyStore::put(const std::string &key, const std::string &value)
{
    auto request = formats_.putCall(key, value);
    request.address = address_;
    calls_.start(std::move(request), kCallTimeout, {}, [](const auto &, const auto &) {});
}

void DutyStore::remove(const std::string &key)
{
    auto request = formats_.removeCall(key);
    request.address = address_;
    calls_.start(std::move(request), kCallTimeout, {}, [](const auto &, const auto &) {});
}

} // namespace crocusport
