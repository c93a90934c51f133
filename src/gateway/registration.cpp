#include "registration.h"

#include "crocusport/protocol/socketaddresstext.h"

namespace crocusport {

namespace {

const std::string kKeyPrefix = "crocusport/routers/";
// After this time a call has either changed the mirror or failed, and is repeated if necessary.
constexpr Duration kCallInterval = std::chrono::seconds(3);
constexpr Duration kCallTimeout = std::chrono::seconds(1);

} // namespace

Registration::Registration(HttpClient &client, const FormatTable &formats, SocketAddress store,
                           const RouterEntry &router)
    : client_(client), formats_(formats), store_(std::move(store)),
      key_(kKeyPrefix + router.name.value()),
      value_(router.address.value() + ' ' + router.zone.value())
{ }

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

void Registration::update(const StoreMirror &mirror, bool isWanted,
                          const std::vector<RouterName> &silentRouters, Duration now)
{
    if (now < notBefore_)
        return;
    if (isWanted && mirror.value(key_) != value_)
        start(formats_.putCall(key_, value_), now);
    else if (!silentRouters.empty())
        start(formats_.removeCall(kKeyPrefix + silentRouters.front().value()), now);
}

// The response is ignored: the mirror shows whether the call succeeded.
void Registration::start(HttpCallRequest request, Duration now)
{
    notBefore_ = now + kCallInterval;
    request.address = store_;
    request.connectTimeout = kCallTimeout;
    request.progressTimeout = kCallTimeout;
    ++calls_;
    call_ = client_.start(std::move(request), {});
}

} // namespace crocusport
