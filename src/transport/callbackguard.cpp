#include "crocusport/transport/callbackguard.h"

#include <glog/logging.h>

namespace crocusport {

namespace {

std::uint64_t failures = 0;

} // namespace

void reportCallbackFailure(std::string_view callback, std::string_view reason) noexcept
{
    ++failures;
    try {
        LOG(ERROR) << "callback " << callback << " failed: " << reason;
    } catch (...) {
        // Logging can fail for lack of memory; then only the counter shows the failure.
        return;
    }
}

std::uint64_t callbackFailures()
{
    return failures;
}

} // namespace crocusport
