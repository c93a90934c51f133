#include "callrecord.h"
#include "looprunner.h"
#include "rawserver.h"
#include "uploadcutter.h"

#include "crocusport/transport/httpclient.h"

#include <catch2/catch.hpp>

#include <string>

using namespace crocusport;

namespace {

//! More than the socket buffers between client and server hold.
constexpr std::size_t kLongBody = 16UL * 1024 * 1024;
constexpr std::size_t kPartBytes = 20'000;

HttpCallRequest upload(const SocketAddress &address, std::size_t bytes)
{
    HttpCallRequest request;
    request.address = address;
    request.method = "POST";
    request.body.assign(bytes, 'b');
    request.acceptsCloseDelimited = true;
    return request;
}

HttpCallEnd endOf(LoopRunner &runner, HttpClient &client, HttpCallRequest request,
                  CallRecord &record)
{
    const auto call = client.start(std::move(request), record.handlers());
    REQUIRE(runner.runUntil([&] { return record.end.has_value(); }));
    return *record.end;
}

} // namespace

// Guards against a part of a body that counts as a complete response, because the connection ended
// while the request was still being written.
SCENARIO("A server responds to a long upload and ends the connection")
{
    LoopRunner runner;
    HttpClient client(runner.loop(), {});
    CallRecord record;
    const std::string framing = GENERATE("unframed", "chunked", "length");
    const std::size_t part = GENERATE(0, 1, 300, kPartBytes);
    const std::string body(part, 'a');
    std::string answer = "HTTP/1.1 200 OK\r\n";
    if (framing == "unframed")
        answer += "\r\n" + body;
    else if (framing == "length")
        answer += "Content-Length: " + std::to_string(kPartBytes + 1) + "\r\n\r\n" + body;
    else
        answer += "Transfer-Encoding: chunked\r\n\r\n4e21\r\n" + body; // One byte is missing.
    CAPTURE(framing, part);

    WHEN("it resets the connection or closes it, while the upload is being written")
    {
        const std::size_t readBytes = GENERATE(16, 10'000, 1'000'000);
        const auto ending = GENERATE(UploadCutter::Ending::Reset, UploadCutter::Ending::Close,
                                     UploadCutter::Ending::FinishedReset);
        CAPTURE(readBytes, static_cast<int>(ending));
        UploadCutter server(readBytes, answer, ending);
        REQUIRE(endOf(runner, client, upload(server.address(), kLongBody), record).failure
                != HttpFailure::None);
        REQUIRE(client.idleConnections() == 0);
    }
    WHEN("it ends its direction before it reads the rest of the upload")
    {
        UploadCutter server(100, answer, UploadCutter::Ending::Finished);
        REQUIRE(endOf(runner, client, upload(server.address(), kLongBody), record).failure
                != HttpFailure::None);
    }
    // Guards against a response without a length that is never accepted.
    WHEN("it closes the connection when it has read the whole upload")
    {
        constexpr std::size_t kShortBody = 10'000;
        UploadCutter server(kShortBody, answer, UploadCutter::Ending::Finished);
        const auto end = endOf(runner, client, upload(server.address(), kShortBody), record);
        const bool isComplete = framing == "unframed";
        REQUIRE((end.failure == HttpFailure::None) == isComplete);
        REQUIRE((!isComplete || record.body == body));
    }
}

// Guards against a status that is none and counts as that of an interim response, or of a final
// one.
SCENARIO("A server responds with a status that is none")
{
    LoopRunner runner;
    HttpClient client(runner.loop(), {});
    CallRecord record;
    const std::string status =
        GENERATE("000", "001", "099", "0", "2", "20", "2000", "200000", "+20", "-20", "+200",
                 "-200", "600", "999", " 200", "2 0", "0x2", "", "101");
    const std::string rest = GENERATE("Content-Length: 4\r\n\r\ndone", "Content-Length: 0\r\n\r\n",
                                      "\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    const bool isFollowed = GENERATE(true, false);
    CAPTURE(status, rest, isFollowed);
    std::string answer = "HTTP/1.1 " + status + " x\r\n" + rest;
    if (isFollowed)
        answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    RawServer server(runner.loop(), answer, RawServer::Ending::KeepOpen);

    const auto end = endOf(runner, client, upload(server.address(), 4), record);
    REQUIRE(httpFailureName(end.failure) == httpFailureName(HttpFailure::Malformed));
    REQUIRE(end.status == 0);
    REQUIRE(client.idleConnections() == 0);
}
