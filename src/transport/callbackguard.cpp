#include "crocusport/transport/callbackguard.h"

#include <glog/logging.h>

namespace crocusport {

namespace {

std::uint64_t failures = 0;

} // namespace

void noteCallbackFailure(std::string_view callback, std::string_view reason) noexcept
{
    ++failures;
    try {
        LOG(ERROR) << "callback " << callback << " failed: " << reason;
    } catch (...) {
        // Without memory for a log line, the counter alone tells of it.
        return;
    }
}

std::uint64_t callbackFailures()
{
    return failures;
}

} // namespace crocusport
