// Guards against clients outside the limits that exhaust the memory or the descriptors of a router
// or shut out ordinary callers. Checks no times and no shares of served requests.

#include "crowd.h"
#include "gatewayprocess.h"

#include "../../transport/servers.h"
#include "../standinstore.h"

#include "crocusport/transport/timer.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <stdexcept>
#include <thread>

using namespace crocusport;

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMiB = 1024UL * 1024;
// The limits that the gateway is told, and the bounds that follow from them: half of the host's
// memory, and all of the descriptors.
constexpr std::size_t kHostMb = 48;
constexpr std::size_t kMemoryBound = kHostMb * kMiB / 2;
constexpr std::size_t kDescriptors = 300;
constexpr std::size_t kLargeAnswer = kMiB;
constexpr const char *kHeaders = "Host: app.example\r\nX-Attempt-Id: request-1\r\nX-Deadline-Ms: "
                                 "5000\r\nAuthorization: Token key-1\r\n";
// Only limits how long a failing run takes.
constexpr int kAttempts = 40;
constexpr std::chrono::milliseconds kAttemptPause(250);

struct Options
{
    std::string gateway;
    std::string crowd;
    std::string path;
    std::uint16_t port = 21600; //!< First of three ports.
};

std::string configurationJson()
{
    const Json route = { { "name", "safe" },          { "host", "app.example" },
                         { "pathPrefix", "/safe/" },  { "kind", "safe" },
                         { "timeoutMs", 5000 },       { "targetLatencyMs", 400 },
                         { "gapAimMs", 200 },         { "priority", 1 },
                         { "service", "pool" },       { "maxAttempts", 2 },
                         { "allowAnonymous", false }, { "sessionAffinity", false },
                         { "resumable", false } };
    const Json configuration = {
        { "version", 1 },
        { "routes", Json::array({ route }) },
        { "services",
          { { { "name", "pool" }, { "healthPath", "/health" }, { "maxConns", 500 } } } },
        { "tenants", { { { "name", "team-1" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } } }
    };
    return configuration.dump();
}

std::string serverJson(const SocketAddress &address)
{
    const Json entry = { { "service", "pool" }, { "address", address.value() },
                         { "zone", "zone-1" },  { "slots", 200 },
                         { "state", "ready" },  { "coldRemainingMs", 0 },
                         { "version", "v1" },   { "born", 1000 },
                         { "seq", 1 } };
    return entry.dump();
}

void answer(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpHeaders headers = { { "X-Attempt-Id", exchange->header("X-Attempt-Id").value_or("") },
                                  { "X-Response-Seal", "server-1" } };
    const bool isLarge = exchange->path().ends_with("large");
    exchange->reply(200, headers, isLarge ? std::string(kLargeAnswer, 'y') : "answer");
}

void writeSettings(const std::string &file, const Options &options, const SocketAddress &store)
{
    std::ofstream(file) << "router = \"router-1\"\nregion = \"region-1\"\n"
                        << "availability_zone = \"zone-1\"\n"
                        << "listen.callers = \"127.0.0.1:" << options.port << "\"\n"
                        << "listen.ready = \"127.0.0.1:" << options.port + 1 << "\"\n"
                        << "internal.ip = \"127.0.0.1\"\n"
                        << "internal.report_port = " << options.port + 2 << '\n'
                        << "store.address = \"" << store.value() << "\"\n"
                        << "memory.host_mb = " << kHostMb << '\n'
                        << "limits.descriptors = " << kDescriptors << '\n';
}

//! Sends an ordinary request on a connection of its own. Returns the status; 0 without an answer.
int ask(std::uint16_t port, const std::string &request)
{
    const int connection = connectLocally(port);
    if (connection < 0)
        return 0;
    const timeval patience { 2, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    std::string head(12, '\0'); // "HTTP/1.1 200"
    const bool isSent = send(connection, request.data(), request.size(), MSG_NOSIGNAL) > 0;
    const bool isRead = isSent && recv(connection, head.data(), head.size(), MSG_WAITALL) == 12;
    close(connection);
    return isRead && head.starts_with("HTTP/1.1 ") ? std::atoi(head.c_str() + 9) : 0;
}

bool isServed(std::uint16_t port)
{
    const std::string request = "POST /safe/one HTTP/1.1\r\n" + std::string(kHeaders)
        + "Content-Length: 5\r\nConnection: close\r\n\r\nhello";
    for (int i = 0; i < kAttempts; ++i) {
        if (ask(port, request) == 200)
            return true;
        std::this_thread::sleep_for(kAttemptPause);
    }
    return false;
}

struct Findings
{
    bool isServedBefore = false;
    bool isServedAfter = false;
    bool isReadinessAnswered = false;
};

Findings runCrowd(const Options &options)
{
    const std::map<std::string, std::pair<std::uint16_t, std::string>> paths = {
        { "routed", { options.port, "/safe/" } },
        { "unrouted", { options.port, "/nowhere/" } },
        { "ready", { static_cast<std::uint16_t>(options.port + 1), "/crocusport/ready" } }
    };
    Findings findings;
    findings.isServedBefore = isServed(options.port);
    const auto &[port, target] = paths.at(options.path);
    Crowd crowd(crowdKind(options.crowd), port, target, kHeaders);
    crowd.send();
    findings.isServedAfter = isServed(options.port);
    const auto readyPort = static_cast<std::uint16_t>(options.port + 1);
    findings.isReadinessAnswered =
        ask(readyPort, "GET /crocusport/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        == 200;
    return findings;
}

bool report(const char *check, bool isPassed)
{
    std::cout << (isPassed ? "passed: " : "FAILED: ") << check << '\n';
    return isPassed;
}

bool run(EventLoop &loop, const Options &options, const std::string &directory)
{
    StandInStore store(loop);
    const auto server = makeServer(loop, answer);
    store.put("op/config", configurationJson());
    store.put("servers/server-1", serverJson(server->address()));
    writeSettings(directory + "/settings.toml", options, store.address());
    GatewayProcess gateway(options.gateway, directory + "/settings.toml", directory + "/log");

    Findings findings;
    std::atomic<bool> isDone = false;
    std::thread crowd([&] {
        findings = runCrowd(options);
        isDone = true;
    });
    std::size_t descriptors = 0;
    Timer watch(loop, [&] {
        descriptors = std::max(descriptors, gateway.descriptors());
        if (isDone)
            loop.stop();
    });
    watch.startPeriodic(std::chrono::milliseconds(20));
    loop.run();
    crowd.join();

    const auto memory = gateway.peakMemory();
    std::cout << options.crowd << ' ' << options.path << ": memory " << memory / 1000 << " kB of "
              << kMemoryBound / 1000 << ", descriptors " << descriptors << " of " << kDescriptors
              << '\n';
    bool isPassed = report("a request is served before the crowd", findings.isServedBefore);
    isPassed = report("the process lives", gateway.isRunning()) && isPassed;
    isPassed =
        report("memory stays under its bound", memory > 0 && memory <= kMemoryBound) && isPassed;
    isPassed =
        report("descriptors stay under their bound", descriptors <= kDescriptors) && isPassed;
    isPassed = report("a request is served beside the crowd", findings.isServedAfter) && isPassed;
    return report("readiness is answered beside the crowd", findings.isReadinessAnswered)
        && isPassed;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app { "Runs a gateway against a crowd of clients outside the limits. Exit codes: 0 "
                   "all checks passed, 1 some failed, 2 wrong usage." };
    Options options;
    app.add_option("--gateway", options.gateway, "The gateway program")->required();
    app.add_option("--crowd", options.crowd, "What the clients do")->required();
    app.add_option("--path", options.path, "Where they do it")
        ->required()
        ->check(CLI::IsMember({ "routed", "unrouted", "ready" }));
    app.add_option("--port", options.port, "First of three ports of the gateway");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    const auto directory =
        std::filesystem::temp_directory_path() / ("crocusport-limits-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    const bool isPassed = handleErrors(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(loop, EventLoop::create());
            return run(*loop, options, directory.string());
        },
        [](const Error &error) {
            std::cerr << error.message << '\n';
            return false;
        });
    std::filesystem::remove_all(directory);
    return isPassed ? 0 : 1;
}
