#include "crocusport/daemon/operatortool.h"

#include "crocusport/protocol/configurationdocument.h"
#include "crocusport/protocol/etcdcodec.h"
#include "crocusport/protocol/statusdocument.h"
#include "crocusport/transport/eventloop.h"
#include "crocusport/transport/httpserver.h"
#include "crocusport/transport/timer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

using namespace crocusport;

namespace {

using Handler = HttpServer::Handler;

//! A server on a thread of its own, since the tool runs an event loop itself.
class ServerThread
{
public:
    explicit ServerThread(Handler handler)
    {
        std::promise<std::string> started;
        thread_ = std::thread([&, handler = std::move(handler)] {
            handleErrors(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(loop, EventLoop::create());
                    BOOST_LEAF_AUTO(
                        server,
                        HttpServer::create(*loop, SocketAddress("127.0.0.1:0"), {}, handler));
                    // An event loop can be stopped from its own thread only.
                    Timer check(*loop, [&] {
                        if (isStopping_)
                            loop->stop();
                    });
                    check.startPeriodic(std::chrono::milliseconds(5));
                    started.set_value(server->address().value());
                    loop->run();
                    return {};
                },
                [](const Error &) {});
        });
        address = started.get_future().get();
    }

    ~ServerThread()
    {
        isStopping_ = true;
        thread_.join();
    }

    std::string address;

private:
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

//! A store with one key; a write may be preceded by another publisher's.
class OneKeyStore
{
public:
    void answer(HttpExchange &exchange)
    {
        const auto request = nlohmann::json::parse(exchange.body());
        nlohmann::json reply { { "header", { { "revision", std::to_string(revision_) } } } };
        if (exchange.path() == kEtcdRangePath) {
            reply["kvs"] = entries();
        } else if (exchange.path() == kEtcdTxnPath) {
            if (hasRival)
                ++revision_;
            const auto &compare = request["compare"][0];
            reply["succeeded"] = compare["mod_revision"] == std::to_string(revision_);
            if (reply["succeeded"]) {
                value_ = request["success"][0]["request_put"]["value"];
                ++revision_;
            } else {
                reply["responses"] =
                    nlohmann::json::array({ { { "response_range", { { "kvs", entries() } } } } });
            }
        }
        exchange.reply(200, {}, reply.dump());
    }

    bool hasRival = false;

private:
    nlohmann::json entries() const
    {
        if (value_.empty())
            return nlohmann::json::array();
        return nlohmann::json::array({ { { "key", "Zm9v" },
                                         { "value", value_ },
                                         { "mod_revision", std::to_string(revision_) } } });
    }

    std::string value_;
    StoreRevision revision_ = 0;
};

//! A directory of class files that is removed with the object.
class ClassDirectory
{
public:
    ClassDirectory()
        : path((std::filesystem::temp_directory_path()
                / ("crocusport-test-" + std::to_string(getpid())))
                   .string())
    {
        std::filesystem::create_directories(path + "/chat");
        write("pool.toml", "[[pool]]\nname = \"p\"\nkind = \"engine\"\nregion = \"r\"\n");
        write("chat/chat.toml", "name = \"chat\"\npool = \"p\"\ntier = 1\nrepeat = \"never\"\n");
    }
    ~ClassDirectory() { std::filesystem::remove_all(path); }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(path + '/' + name) << text;
    }

    std::string path;
};

struct Run
{
    ToolExit exit;
    std::string output;
    std::string errors;
};

Run run(const std::vector<std::string> &arguments)
{
    std::vector<const char *> texts { "crocusport" };
    for (const auto &argument : arguments)
        texts.push_back(argument.c_str());
    std::ostringstream output;
    std::ostringstream errors;
    const auto exit =
        OperatorTool(output, errors).run(static_cast<int>(texts.size()), texts.data());
    return { exit, output.str(), errors.str() };
}

RouterStatus sampleStatus()
{
    RouterStatus status;
    status.router = RouterName("r1");
    status.state = "ready";
    status.configurationVersion = ConfigurationVersion(7);
    status.members = { { RouterName("r1"), Incarnation(1), SocketAddress("10.0.0.1:1"),
                         AvailabilityZone("kudus"), Region("java"), MemberState::Alive },
                       { RouterName("r2"), Incarnation(1), SocketAddress("10.0.0.2:1"),
                         AvailabilityZone("salatiga"), Region("java"), MemberState::Dead } };
    PoolReport pool;
    pool.holder = RouterName("r2");
    pool.status.pool = PoolName("assistant");
    pool.status.waitingByTier = { 0, 3, 0, 1 };
    for (int i = 0; i < 12; ++i) {
        BackendServerStatus server;
        server.server.name = BackendServerName("e" + std::to_string(i));
        server.server.slots = 8;
        server.running = 2;
        pool.status.servers.push_back(server);
    }
    pool.status.servers.back().excludedBecause = "leaving";
    status.pools = { pool };
    ClassReport report;
    report.name = ClassName("chat");
    report.tier = Tier(1);
    report.requests = 100;
    report.firstTokenP95 = Milliseconds(900);
    report.firstTokenTarget = Milliseconds(1400);
    report.attainment = 0.985;
    status.classes = { report };
    return status;
}

} // namespace

SCENARIO("An operator checks and publishes class files")
{
    const ClassDirectory directory;
    OneKeyStore store;
    ServerThread server([&](const auto &exchange) { store.answer(*exchange); });

    THEN("valid files are published as version 1, then 2, and can be shown")
    {
        REQUIRE(run({ "check", directory.path }).output == "valid: 1 classes, 1 pools, 0 teams\n");
        REQUIRE(run({ "config", "show", "--store", server.address }).exit == ToolExit::Refused);
        REQUIRE(run({ "publish", directory.path, "--store", server.address }).output
                == "published version 1: 1 classes, 1 pools, 0 teams\n");
        const auto second = run({ "publish", directory.path, "--store", server.address, "--json" });
        REQUIRE(second.exit == ToolExit::Ok);
        REQUIRE(nlohmann::json::parse(second.output)["version"] == 2);
        const auto shown = run({ "config", "show", "--store", server.address });
        REQUIRE(shown.output.find("configuration version 2") == 0);
        REQUIRE(shown.output.find("chat") != std::string::npos);
    }

    // Guards against a program that takes a refused or unknown publication for a successful one.
    THEN("each failure has its exit code")
    {
        const auto exitOf = [&](const std::string &address) {
            return run({ "publish", directory.path, "--store", address }).exit;
        };
        REQUIRE(exitOf("127.0.0.1:1") == ToolExit::Unreachable);
        REQUIRE(exitOf("somewhere:1") == ToolExit::Usage);
        REQUIRE(run({ "publish", directory.path }).exit == ToolExit::Usage);
        REQUIRE(run({ "--help" }).exit == ToolExit::Ok);
        store.hasRival = true;
        REQUIRE(exitOf(server.address) == ToolExit::Conflict);

        directory.write("chat/chat.toml", "name = \"chat\"\n");
        const auto refused = run({ "--json", "check", directory.path });
        REQUIRE(refused.exit == ToolExit::Refused);
        REQUIRE(nlohmann::json::parse(refused.output)["error"]["name"] == "BadClassFile");
        const auto text = run({ "check", directory.path });
        REQUIRE(text.output.empty());
        REQUIRE(text.errors.find("chat.toml: pool is missing") != std::string::npos);
    }
}

SCENARIO("An operator looks at a router")
{
    ServerThread server([](const auto &exchange) {
        if (exchange->path() == "/status")
            exchange->reply(200, {}, writeRouterStatus(sampleStatus()));
        else if (exchange->queryParameter("request") == "a b")
            exchange->reply(200, {}, writeExplanation({ RequestId("a b"), { "event=queued" } }));
        else
            exchange->reply(404, {}, "unknown request");
    });

    // Guards against trouble being hidden in a long list.
    THEN("the status fits one screen and shows first what is wrong")
    {
        const auto status = run({ "status", "--router", server.address });
        REQUIRE(status.exit == ToolExit::Ok);
        const auto at = [&](const std::string &text) { return status.output.find(text); };
        REQUIRE(at("router r1: ready, configuration version 7") == 0);
        REQUIRE(at("routers: 1 of 2 alive") != std::string::npos);
        REQUIRE(at("r2      dead") < at("r1      alive"));
        REQUIRE(at("pool assistant: holder r2, running 24 of 96 slots, waiting by tier 0 3 0 1")
                != std::string::npos);
        REQUIRE(at("  e11 ") < at("  e0 "));
        REQUIRE(at("leaving") != std::string::npos);
        REQUIRE(at("... and 2 more backend servers") != std::string::npos);
        REQUIRE(at("98.5%") != std::string::npos);
    }

    THEN("programs get the document itself")
    {
        const auto status = run({ "status", "--router", server.address, "--json" });
        REQUIRE(status.output == writeRouterStatus(sampleStatus()) + "\n");
    }

    THEN("a request is explained, or not found")
    {
        REQUIRE(run({ "explain", "a b", "--router", server.address }).output == "event=queued\n");
        REQUIRE(run({ "explain", "other", "--router", server.address }).exit == ToolExit::Refused);
    }
}
