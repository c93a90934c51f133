#include "crocusport/transport/eventloop.h"
#include "engine.h"
#include "hostlistservice.h"
#include "plainservice.h"
#include "standinserver.h"
#include "storeservice.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

namespace {

Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

// Grows with each start of a stand-in on the same machine.
std::uint64_t startNumberNow()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

//! The subcommands with their options.
struct CommandLine
{
    CLI::App application { "Simulated dependencies of crocusport, for tests and measurements" };
    CLI::App *engine = nullptr;
    CLI::App *service = nullptr;
    CLI::App *store = nullptr;
    CLI::App *hostList = nullptr;

    std::vector<std::string> engineAddresses;
    std::vector<std::string> serviceAddresses;
    std::vector<std::string> storeAddresses;
    std::vector<std::string> hostListAddresses;

    EngineOptions engineOptions;
    double firstTokenMs = 200;
    double tokenGapMs = 30;
    double resumeWindowMs = 10'000;
    double reportLagMs = 0;
    double engineLingerMs = 0;
    PlainServiceOptions serviceOptions;
    double serviceMs = 5;
    double bookingMs = 20;
    double serviceLingerMs = 0;
    StoreServiceOptions storeOptions;
    double storeMs = 1;
    HostListOptions hostListOptions;
    std::string hostsFile;
    double lagMs = 0;

    CommandLine()
    {
        application.require_subcommand(1, 0);
        addEngine();
        addService();
        addStore();
        addHostList();
    }

    CLI::App *add(const char *name, const char *text, std::vector<std::string> &addresses)
    {
        auto *const command = application.add_subcommand(name, text);
        command
            ->add_option("--listen", addresses,
                         "ip:port, port 0 for a free one; each further one starts another instance")
            ->required();
        return command;
    }

    void addEngine()
    {
        engine = add("engine", "Model engine", engineAddresses);
        engine->add_option("--slots", engineOptions.slots, "Requests that run at the same time");
        engine->add_option("--first-token-ms", firstTokenMs, "Prefill of an uncached prompt");
        engine->add_option("--cached-saving", engineOptions.cachedSaving,
                           "Share of the prefill that a cached prompt saves");
        engine->add_option("--token-gap-ms", tokenGapMs, "Time between tokens");
        engine->add_option("--default-tokens", engineOptions.defaultTokens,
                           "Length without max_tokens");
        engine->add_option("--prefix-cache-blocks", engineOptions.prefixCacheBlocks,
                           "Blocks of 64 bytes of prompt text");
        engine->add_option("--max-waiting", engineOptions.maxWaiting, "Longest queue");
        engine->add_option("--resume-window-ms", resumeWindowMs, "How long streams are kept");
        engine->add_option("--report-lag-ms", reportLagMs, "Age of what /metrics shows");
        engine->add_flag("--checks-fencing", engineOptions.isCheckingFencing,
                         "Reject orders with a stale fencing token");
        engine->add_option("--start", engineOptions.start, "Start number; default from the clock");
        engine->add_option("--linger-ms", engineLingerMs,
                           "Shortest time between SIGTERM and the exit");
    }

    void addService()
    {
        service = add("service", "Plain HTTP service", serviceAddresses);
        service->add_option("--slots", serviceOptions.slots, "Requests that run at the same time");
        service->add_option("--service-ms", serviceMs, "Time of a lookup");
        service->add_option("--booking-ms", bookingMs, "Time of a booking");
        service->add_option("--start", serviceOptions.start,
                            "Start number; default from the clock");
        service->add_option("--linger-ms", serviceLingerMs,
                            "Shortest time between SIGTERM and the exit");
    }

    void addStore()
    {
        store = add("store", "Key-value service: the JSON gateway of etcd v3", storeAddresses);
        store->add_option("--writes-per-second", storeOptions.writesPerSecond, "0: no limit");
        store->add_option("--reads-per-second", storeOptions.readsPerSecond, "0: no limit");
        store->add_option("--service-ms", storeMs, "Time of a call");
    }

    void addHostList()
    {
        hostList = add("hostlist", "Host list", hostListAddresses);
        hostList->add_option("--file", hostsFile, "JSON file, reread when it changes");
        hostList->add_option("--lag-ms", lagMs, "Time until a change is shown");
    }

    void finish()
    {
        engineOptions.firstToken = fromMilliseconds(firstTokenMs);
        engineOptions.tokenGap = fromMilliseconds(tokenGapMs);
        engineOptions.resumeWindow = fromMilliseconds(resumeWindowMs);
        engineOptions.reportLag = fromMilliseconds(reportLagMs);
        engineOptions.linger = fromMilliseconds(engineLingerMs);
        if (engineOptions.start == 0)
            engineOptions.start = startNumberNow();
        serviceOptions.serviceTime = fromMilliseconds(serviceMs);
        serviceOptions.bookingTime = fromMilliseconds(bookingMs);
        serviceOptions.linger = fromMilliseconds(serviceLingerMs);
        if (serviceOptions.start == 0)
            serviceOptions.start = startNumberNow();
        storeOptions.serviceTime = fromMilliseconds(storeMs);
        hostListOptions.file = hostsFile;
        hostListOptions.lag = fromMilliseconds(lagMs);
    }
};

//! All stand-ins of the process.
class Standins
{
public:
    explicit Standins(EventLoop &loop) : loop_(loop) { }

    Result<void> start(const CommandLine &line)
    {
        const auto onLeft = [this] {
            if (--remaining_ == 0)
                loop_.stop();
        };
        for (const auto &address : line.engineAddresses) {
            BOOST_LEAF_AUTO(server, listen(address));
            engines_.push_back(
                std::make_unique<Engine>(loop_, *server, line.engineOptions, onLeft));
        }
        for (const auto &address : line.serviceAddresses) {
            BOOST_LEAF_AUTO(server, listen(address));
            services_.push_back(
                std::make_unique<PlainService>(*server, line.serviceOptions, onLeft));
        }
        for (const auto &address : line.storeAddresses) {
            BOOST_LEAF_AUTO(server, listen(address));
            stores_.push_back(std::make_unique<StoreService>(loop_, *server, line.storeOptions));
        }
        for (const auto &address : line.hostListAddresses) {
            BOOST_LEAF_AUTO(server, listen(address));
            hostLists_.push_back(
                std::make_unique<HostListService>(loop_, *server, line.hostListOptions));
        }
        remaining_ = engines_.size() + services_.size();
        return {};
    }

    void leave()
    {
        if (remaining_ == 0)
            loop_.stop();
        for (const auto &engine : engines_)
            engine->leave();
        for (const auto &service : services_)
            service->leave();
    }

private:
    Result<StandinServer *> listen(const std::string &address)
    {
        BOOST_LEAF_AUTO(server, StandinServer::create(loop_, SocketAddress(address)));
        std::cout << "listening address=" << server->address() << std::endl;
        servers_.push_back(std::move(server));
        return servers_.back().get();
    }

    EventLoop &loop_;
    std::vector<std::unique_ptr<StandinServer>> servers_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<std::unique_ptr<PlainService>> services_;
    std::vector<std::unique_ptr<StoreService>> stores_;
    std::vector<std::unique_ptr<HostListService>> hostLists_;
    std::size_t remaining_ = 0;
};

Result<void> run(const CommandLine &line)
{
    BOOST_LEAF_AUTO(loop, EventLoop::create());
    Standins standins(*loop);
    BOOST_LEAF_CHECK(standins.start(line));
    BOOST_LEAF_CHECK(loop->onSignal(SIGTERM, [&standins] { standins.leave(); }));
    BOOST_LEAF_CHECK(loop->onSignal(SIGINT, [&loop] { loop->stop(); }));
    loop->run();
    // Nothing needs cleanup, and exchanges that faults keep open must not be answered now.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

} // namespace crocusport

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    crocusport::CommandLine line;
    CLI11_PARSE(line.application, argc, argv);
    line.finish();
    return crocusport::handleErrors(
        [&]() -> crocusport::Result<int> {
            BOOST_LEAF_CHECK(crocusport::run(line));
            return EXIT_SUCCESS;
        },
        [](const crocusport::Error &error) {
            LOG(ERROR) << "event=start-failed message=\"" << error.message << '"';
            return EXIT_FAILURE;
        });
}
