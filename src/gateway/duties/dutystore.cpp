#include "dutystore.h"

#include <cassert>
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

DutyStore::DutyStore(HttpClient &client, const FormatTable &formats, SocketAddress address,
                     Eras eras)
    : formats_(formats), address_(std::move(address)), eras_(std::move(eras)), calls_(client)
{ }

template<typename Reply, typename Decode>
void DutyStore::call(HttpCallRequest request, Decode decode, StoreCallback<Reply> callback)
{
    request.address = address_;
    calls_.start(
        std::move(request), kCallTimeout, {},
        [this, decode, callback, sentIn = eras_.latest()](const HttpCallEnd &end,
                                                          const CallResponse &response) {
            if (end.failure != HttpFailure::None) {
                callback(Error { ResultCode::Timeout, std::string(httpFailureName(end.failure)) });
                return;
            }
            const auto era = formats_.storeEra(response.headers).value_or(sentIn);
            eras_.note(era);
            if (era != sentIn || eras_.latest() != sentIn) {
                callback(Error { ResultCode::StoreUnavailable, "store: restored since the call" });
                return;
            }
            callback(handleErrors(
                [&]() -> Result<AsyncResult<Reply>> {
                    BOOST_LEAF_AUTO(reply, decode(era, end.status, response.body));
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
        [this](StoreEra era, int status, const std::string &body) -> Result<Reply> {
            if (status == kNotFound)
                return Reply();
            if (status != kOk)
                return unexpected(status);
            BOOST_LEAF_AUTO(entry, formats_.decodeItem(body));
            entry.modRevision = orderedNumber({ era, entry.modRevision });
            return Reply(std::move(entry));
        },
        std::move(onEntry));
}

void DutyStore::compareAndSwap(const CompareAndSwap &swap, StoreCallback<SwapReply> onReply)
{
    assert(!swap.expectedValue);
    auto sent = swap;
    if (swap.expectedRevision != 0) {
        const auto expected = positionOfNumber(swap.expectedRevision);
        if (expected.era != eras_.latest()) {
            onReply(Error { ResultCode::StoreUnavailable, "store: restored since the condition" });
            return;
        }
        sent.expectedRevision = expected.revision;
    }
    call<SwapReply>(
        formats_.swapCall(sent),
        [this, sent](StoreEra era, int status, const std::string &body) -> Result<SwapReply> {
            BOOST_LEAF_AUTO(reply, formats_.decodeSwap(sent, status, body));
            reply.revision = orderedNumber({ era, reply.revision });
            if (reply.current)
                reply.current->modRevision = orderedNumber({ era, reply.current->modRevision });
            return reply;
        },
        std::move(onReply));
}

void DutyStore::grantLease(Milliseconds timeToLive, StoreCallback<LeaseId> onLease)
{
    call<LeaseId>(
        formats_.leaseCall(timeToLive),
        [this](StoreEra /*era*/, int status, const std::string &body) -> Result<LeaseId> {
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
        [lease](StoreEra /*era*/, int status, const std::string & /*body*/) -> Result<LeaseId> {
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
