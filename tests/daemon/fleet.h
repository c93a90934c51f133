#ifndef CROCUSPORT_TESTS_FLEET_H
#define CROCUSPORT_TESTS_FLEET_H

#include "callerreply.h"
#include "router.h"

#include "crocusport/state/configuration.h"
#include "standins/engine.h"
#include "standins/hostlistservice.h"
#include "standins/plainservice.h"
#include "standins/storeservice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Routers and simulated dependencies on one event loop and ephemeral loopback ports, for tests of
    the whole path. Destroying a part closes its sockets, as a crash does.
*/
class Fleet
{
public:
    Fleet();
    ~Fleet();

    //! Starts an engine; after crash(), starts it again with a higher start number.
    void addEngine(const std::string &name, const EngineOptions &options);
    void addService(const std::string &name, const PlainServiceOptions &options);
    void crash(const std::string &backendServer);
    //! Orders a backend server to leave; the host list does not show it.
    void leave(const std::string &backendServer);
    void addRouter(const std::string &name);
    //! Removes a router without shutting it down.
    void kill(const std::string &router);
    //! Publishes the classes of the tests, changed by \a change, as a new version.
    void publish(const std::function<void(Configuration &)> &change = {});

    StandinServer &store() { return *storeServer_; }
    StandinServer &backend(const std::string &name) { return *backends_.at(name).server; }
    Router &router(const std::string &name) { return *routers_.at(name); }

    //! Orders a simulated dependency to misbehave; \a json is the body of POST /control/fault.
    void fault(const StandinServer &server, const std::string &json);

    CallerReplyPointer send(const std::string &router, HttpCallRequest request);
    CallerReplyPointer chat(const std::string &router, const std::string &requestClass,
                            const std::string &body);
    CallerReplyPointer book(const std::string &router, const std::string &key,
                            const std::string &body);
    //! How often a service ran bookings with the idempotency key; -1 when it does not answer.
    int executions(const std::string &service, const std::string &key);
    //! Whether an engine runs a request.
    bool isBusy(const std::string &engine);
    //! Name of an engine that runs a request; empty when none does.
    std::string busyEngine();
    //! What a router tells an operator about a request.
    std::string explain(const std::string &router, const std::string &request);
    //! Value of the line of a router's /metrics that starts with \a series; -1 without one.
    double metric(const std::string &router, const std::string &series);

    //! Runs the loop until \a condition holds; false after \a limit, which only bounds a failure.
    bool runUntil(const std::function<bool()> &condition,
                  Duration limit = std::chrono::seconds(20));
    void runFor(Duration duration);
    bool runUntilEnded(const CallerReplyPointer &reply);
    //! Until all routers know each other, all backend servers and a configuration.
    bool runUntilReady();

private:
    struct Backend
    {
        BackendServer entry;
        std::unique_ptr<StandinServer> server;
        std::unique_ptr<Engine> engine;
        std::unique_ptr<PlainService> service;
    };

    Backend &addBackend(const std::string &name, const std::string &pool, std::uint32_t slots);
    void showHosts();
    CallerReplyPointer start(HttpCallRequest request);
    //! Body of a GET; empty when there is no answer.
    std::string get(const SocketAddress &address, const std::string &target);

    std::unique_ptr<EventLoop> loop_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<StandinServer> storeServer_;
    std::unique_ptr<StoreService> store_;
    std::unique_ptr<StandinServer> hostListServer_;
    std::unique_ptr<HostListService> hostList_;
    std::unique_ptr<StoreClient> storeClient_;
    std::map<std::string, Backend> backends_;
    std::map<std::string, std::unique_ptr<Router>> routers_;
    std::vector<SocketAddress> seeds_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace crocusport

#endif // CROCUSPORT_TESTS_FLEET_H
