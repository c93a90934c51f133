#include "healthprobe.h"

#include "crocusport/protocol/hostlistcodec.h"

#include <utility>

namespace crocusport {

namespace {

constexpr std::size_t kMaxHealthBytes = 4096;

} // namespace

HealthProbe::HealthProbe(HttpClient &client, const BackendServer &server, Duration timeout,
                         Handler handler)
    : knownStart_(server.start), handler_(std::move(handler))
{
    HttpCallRequest request;
    request.address = server.address;
    request.target = "/healthz";
    request.connection = ConnectionUse::Fresh;
    request.connectTimeout = timeout;
    request.progressTimeout = timeout;
    request.maxResponseBytes = kMaxHealthBytes;
    HttpCallHandlers handlers;
    handlers.onBody = [this](std::string_view data) { body_.append(data); };
    handlers.onEnd = [this](const HttpCallEnd &end) {
        // The handler may destroy this probe.
        const auto result = interpret(end);
        const auto onResult = handler_;
        onResult(result);
    };
    call_ = client.start(std::move(request), std::move(handlers));
}

ProbeResult HealthProbe::interpret(const HttpCallEnd &end) const
{
    ProbeResult result;
    if (end.failure == HttpFailure::ConnectFailed) {
        result.finding = ProbeFinding::Refused;
        return result;
    }
    if (end.failure != HttpFailure::None)
        return result;
    result.finding = ProbeFinding::Alive;
    // A plain service may answer anything; that it answered is enough.
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(health, parseBackendHealth(body_));
            result.isLeaving = health.state == BackendServerState::Leaving;
            if (health.start > knownStart_)
                result.finding = ProbeFinding::Restarted;
            return {};
        },
        [](const Error &) {});
    return result;
}

} // namespace crocusport
