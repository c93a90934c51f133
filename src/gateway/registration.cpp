#include "registration.h"

#include "crocusport/protocol/socketaddresstext.h"

namespace crocusport {

namespace {

const std::string kKeyPrefix = "crocusport/routers/";
// An entry outlives its router by this much at most, and outages of the store shorter than that.
constexpr Milliseconds kLeaseTime = std::chrono::seconds(12);
constexpr Duration kRenewalInterval = std::chrono::seconds(4);
constexpr Duration kFailurePause = std::chrono::seconds(1);
constexpr Duration kCallTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

} // namespace

Registration::Registration(EventLoop &loop, HttpClient &client, const FormatTable &formats,
                           SocketAddress store, const RouterEntry &router)
    : client_(client), formats_(formats), store_(std::move(store)),
      key_(kKeyPrefix + router.name.value()),
      value_(router.address.value() + ' ' + router.zone.value()), timer_(loop, [this] { call(); })
{
    timer_.startOnce(Duration::zero());
}

void Registration::stop()
{
    timer_.stop();
    call_.reset();
}

bool Registration::isRouterKey(const std::string &key)
{
    return key.starts_with(kKeyPrefix);
}

RouterName Registration::routerOfKey(const std::string &key)
{
    return RouterName(key.substr(kKeyPrefix.size()));
}

std::optional<RouterEntry> Registration::decode(const std::string &key, const std::string &value)
{
    const auto space = value.find(' ');
    if (!isRouterKey(key) || space == std::string::npos
        || !isSocketAddressText(value.substr(0, space)))
        return std::nullopt;
    return RouterEntry { routerOfKey(key), SocketAddress(value.substr(0, space)),
                         AvailabilityZone(value.substr(space + 1)) };
}

void Registration::call()
{
    auto request = step_ == Step::Grant ? formats_.grantLeaseCall(kLeaseTime)
        : step_ == Step::Put            ? formats_.putCall(key_, value_, lease_)
                                        : formats_.keepLeaseCall(lease_);
    request.address = store_;
    request.connectTimeout = kCallTimeout;
    request.progressTimeout = kCallTimeout;
    body_.clear();
    HttpCallHandlers handlers;
    handlers.onBody = [this](std::string_view data) { body_ += data; };
    handlers.onEnd = [this](const HttpCallEnd &end) { onEnd(end); };
    call_ = client_.start(std::move(request), std::move(handlers));
}

void Registration::onEnd(const HttpCallEnd &end)
{
    if (end.failure != HttpFailure::None || (end.status != kOk && end.status != kNotFound)) {
        timer_.startOnce(kFailurePause);
        return;
    }
    if (end.status == kNotFound) {
        // The lease has ended while the store was away.
        step_ = Step::Grant;
    } else if (step_ == Step::Grant) {
        lease_ = handleErrors([&] { return formats_.decodeLease(body_); },
                              [](const Error & /*error*/) { return std::uint64_t(0); });
        step_ = lease_ == 0 ? Step::Grant : Step::Put;
        timer_.startOnce(lease_ == 0 ? kFailurePause : Duration::zero());
        return;
    } else {
        step_ = Step::Renew;
    }
    timer_.startOnce(step_ == Step::Renew ? kRenewalInterval : kFailurePause);
}

} // namespace crocusport
