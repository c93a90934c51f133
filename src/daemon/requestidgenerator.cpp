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

} // namespace crocusport
