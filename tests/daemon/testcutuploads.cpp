#include "enginecall.h"
#include "servicecall.h"

#include "crocusport/transport/httpclient.h"

#include "../transport/looprunner.h"
#include "../transport/rawserver.h"
#include "../transport/uploadcutter.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace crocusport;

namespace {

constexpr std::size_t kLongBody = 8UL * 1024 * 1024;

//! One call of a router to the server at an address.
class OneCall
{
public:
    OneCall(LoopRunner &runner, const SocketAddress &address, bool isEngine, std::size_t bodyBytes)
        : client_(runner.loop(), {})
    {
        BackendCallRequest request;
        request.server.name = BackendServerName("server-1");
        request.server.address = address;
        request.server.start = StartNumber(1);
        request.attempt = RequestId("attempt-1");
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.body.assign(bodyBytes, 'b');
        request.connectTimeout = request.progressTimeout = request.probeTimeout =
            std::chrono::milliseconds(300);
        request.maxResponseBytes = request.maxEventBytes = 100'000;
        request.answerMemory = &answerMemory_;
        const auto onEnd = [this](const BackendCallResult &end) { result = end; };
        if (isEngine)
            engineCall_ = std::make_unique<EngineCall>(
                client_, request, [](const SseEvent & /*event*/) {}, onEnd);
        else
            serviceCall_ = std::make_unique<ServiceCall>(client_, request, onEnd);
        REQUIRE(runner.runUntil([this] { return result.has_value(); }));
    }

    std::optional<BackendCallResult> result;

private:
    static constexpr std::size_t kSharedBytes = 150'000;

    HttpClient client_;
    AnswerMemory answerMemory_ { kSharedBytes };
    std::unique_ptr<EngineCall> engineCall_;
    std::unique_ptr<ServiceCall> serviceCall_;
};

std::string answerHead(const std::string &status, const std::string &framing)
{
    return "HTTP/1.1 " + status + " x\r\nX-Request-Id: attempt-1\r\n"
        + "Content-Type: text/event-stream\r\n" + framing + "\r\n";
}

} // namespace

// Guards against a part of a response that callers of crocusportd receive as a complete one.
SCENARIO("A server responds to a long upload of crocusportd and ends the connection")
{
    const bool isEngine = GENERATE(true, false);
    const std::string framing =
        GENERATE("", "Transfer-Encoding: chunked\r\n", "Content-Length: 30\r\n");
    const std::string event = "data: {\"choices\":[]}\n\n";
    const std::string part = framing.starts_with("Transfer") ? "16\r\n" + event + "\r\n" : event;
    const std::size_t readBytes = GENERATE(200, 1'000'000);
    const auto ending =
        GENERATE(UploadCutter::Ending::Reset, UploadCutter::Ending::Close,
                 UploadCutter::Ending::FinishedReset, UploadCutter::Ending::Finished);
    CAPTURE(isEngine, framing, readBytes, static_cast<int>(ending));
    LoopRunner runner;
    UploadCutter server(readBytes, answerHead("200", framing) + part, ending);
    const OneCall call(runner, server.address(), isEngine, kLongBody);
    REQUIRE(call.result->end != BackendCallEnd::Completed);
    REQUIRE(call.result->failure != HttpFailure::None);
}

SCENARIO("A server responds to crocusportd with a status that is none")
{
    const bool isEngine = GENERATE(true, false);
    const std::string status = GENERATE("000", "099", "7", "200000", "+20", "-200", "101");
    const bool isFollowed = GENERATE(true, false);
    CAPTURE(isEngine, status, isFollowed);
    LoopRunner runner;
    auto answer = answerHead(status, "Content-Length: 0\r\n");
    if (isFollowed)
        answer += answerHead("200", "Content-Length: 14\r\n") + "data: [DONE]\n\n";
    RawServer server(runner.loop(), answer, RawServer::Ending::KeepOpen);
    const OneCall call(runner, server.address(), isEngine, 4);
    REQUIRE(call.result->end != BackendCallEnd::Completed);
    REQUIRE(call.result->status == 0);
}
