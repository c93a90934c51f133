#include "pendingcalls.h"

#include <utility>

namespace crocusport {

namespace {

// Responses of the store and of the platform's duty calls take at most a few kilobytes.
constexpr std::size_t kMaxResponseBytes = 64UL * 1024;

} // namespace

void PendingCalls::start(HttpCallRequest request, Duration timeout,
                         std::function<bool()> mayStillSend, EndHandler onEnd)
{
    request.connectTimeout = timeout;
    request.progressTimeout = timeout;
    request.maxResponseBytes = kMaxResponseBytes;
    const auto number = ++started_;
    auto &pending = calls_[number];
    HttpCallHandlers handlers;
    handlers.onReady = std::move(mayStillSend);
    handlers.onHead = [&pending](int /*status*/, const HttpHeaders &headers) {
        pending.response.headers = headers;
    };
    handlers.onBody = [&pending](std::string_view data) { pending.response.body += data; };
    handlers.onEnd = [this, number, onEnd = std::move(onEnd)](const HttpCallEnd &end) {
        // Destroying the call destroys this handler, so it happens last.
        const auto ended = calls_.extract(number);
        onEnd(end, ended.mapped().response);
    };
    pending.call = client_.start(std::move(request), std::move(handlers));
}

} // namespace crocusport
