#include "deployment.h"

#include "../transport/rawclient.h"
#include "../transport/rawserver.h"
#include "../transport/uploadcutter.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crocusport;

namespace {

//! More than the socket buffers between router and server hold.
constexpr std::size_t kLongBody = 8UL * 1024 * 1024;

std::string requestText(const std::string &kind, std::size_t bodyBytes)
{
    return "POST /" + kind + "/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-1\r\n"
        + "X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

std::string answerHead(const std::string &status, const std::string &framing)
{
    return "HTTP/1.1 " + status + " x\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: s\r\n" + framing
        + "\r\n";
}

//! Returns the status of the complete answer that the client has; 0: none.
int completeStatus(const RawClient &client)
{
    const auto connection = client.read(1);
    const bool isComplete = !connection.answers.empty() && connection.answers[0].isComplete;
    return isComplete ? connection.answers[0].status : 0;
}

} // namespace

// Guards against a part of an answer that callers receive as a complete one.
SCENARIO("A server answers a long upload at once and ends the connection")
{
    LoopRunner runner;
    Deployment deployment(runner);
    const std::string kind = GENERATE("unsafe", "fragile");
    const std::string framing = GENERATE("", "Transfer-Encoding: chunked\r\n");
    const std::string event = "id: 1\ndata: piece-1\n\n";
    const std::string part = framing.empty() ? event : "15\r\n" + event + "\r\n";
    const std::size_t readBytes = GENERATE(400, 100'000, 2'000'000);
    const auto ending =
        GENERATE(UploadCutter::Ending::Reset, UploadCutter::Ending::Close,
                 UploadCutter::Ending::FinishedReset, UploadCutter::Ending::Finished);
    CAPTURE(kind, framing, readBytes, static_cast<int>(ending));
    UploadCutter server(readBytes, answerHead("200", framing) + part, ending);
    deployment.configure(1, "key-1", kLongBody);
    deployment.registerServer("cutter", server.address());
    REQUIRE(deployment.waitReady());

    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(requestText(kind, kLongBody));
    REQUIRE(runner.runUntil([&] { return client.isClosed() || completeStatus(client) != 0; }));
    const auto status = completeStatus(client);
    REQUIRE((status == 0 || status == 502));
}

// Guards against an answer with a status that is none, which callers receive as a success, or whose
// place the next answer on the connection takes.
SCENARIO("A server answers with a status that is none")
{
    LoopRunner runner;
    Deployment deployment(runner);
    const std::string status = GENERATE("000", "099", "7", "200000", "+20", "-200", "999", "101");
    const std::string framing = GENERATE("", "Content-Length: 0\r\n");
    const bool isFollowed = GENERATE(true, false);
    CAPTURE(status, framing, isFollowed);
    auto answer = answerHead(status, framing);
    if (isFollowed)
        answer += answerHead("200", "Content-Length: 0\r\n");
    RawServer server(runner.loop(), answer, RawServer::Ending::KeepOpen);
    deployment.configure(1);
    deployment.registerServer("odd", server.address());
    REQUIRE(deployment.waitReady());

    RawClient client(runner.loop(), deployment.gateway->callersAddress());
    client.send(requestText("unsafe", 4));
    REQUIRE(runner.runUntil([&] { return client.received().size() > 12; }));
    REQUIRE(client.received().substr(0, 12) == "HTTP/1.1 502");
    REQUIRE(server.requestCount() == 1);
}
