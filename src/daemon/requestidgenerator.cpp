#include "requestidgenerator.h"

#include "crocusport/protocol/digest.h"

namespace crocusport {

namespace {

// 4 random bytes tell the starts of one router apart without a clock.
constexpr std::size_t kStartBytes = 4;

} // namespace

RequestIdGenerator::RequestIdGenerator(const RouterName &router)
    : prefix_(router.value() + '-' + toHex(randomBytes(kStartBytes)) + '-')
{ }

RequestId RequestIdGenerator::next()
{
    return RequestId(prefix_ + std::to_string(++counter_));
}

std::optional<RouterName> RequestIdGenerator::routerOf(const RequestId &request)
{
    const auto &text = request.value();
    const auto counter = text.rfind('-');
    if (counter == std::string::npos || counter == 0)
        return std::nullopt;
    const auto start = text.rfind('-', counter - 1);
    if (start == std::string::npos || start == 0)
        return std::nullopt;
    return RouterName(text.substr(0, start));
}

} // namespace crocusport
