#include "backendcallrequest.h"

#include "crocusport/protocol/settings.h"
#include "crocusport/transport/httpexchange.h"

#include <array>
#include <utility>

namespace crocusport {

namespace {

constexpr std::size_t kMaxEventBytes = 256UL * 1024;
// Headers of the caller that a backend server gets as they are.
constexpr std::array kForwardedHeaders = { "Content-Type", "Accept", "X-Team", "X-Class",
                                           "Idempotency-Key" };

} // namespace

BackendCallRequest makeBackendCallRequest(const Settings &settings, AnswerMemory &answerMemory,
                                          const HttpExchange &exchange, const BackendServer &server)
{
    BackendCallRequest request;
    request.server = server;
    request.method = exchange.method();
    request.target = exchange.target();
    for (const auto *name : kForwardedHeaders) {
        if (auto value = exchange.header(name))
            request.headers.emplace_back(name, std::move(*value));
    }
    request.connectTimeout = settings.timeouts.connect;
    request.progressTimeout = settings.timeouts.progress;
    request.probeTimeout = settings.timeouts.connect;
    request.maxResponseBytes = settings.limits.maxResponseBytes;
    request.maxEventBytes = kMaxEventBytes;
    request.answerMemory = &answerMemory;
    return request;
}

} // namespace crocusport
