#ifndef CROCUSPORT_DEPLOYMENT_H
#define CROCUSPORT_DEPLOYMENT_H

#include "standinstore.h"

#include "gateway.h"

#include "../transport/looprunner.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusport {

//! A stand-in for a backend server, which answers as the test says.
class StandInServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &exchange)>;

    StandInServer(EventLoop &loop, std::string name);

    const std::string &name() const { return name_; }
    const SocketAddress &address() const { return server_->address(); }
    //! Called for each request; without one, requests are answered at once.
    Handler handler;
    //! Requests received so far, with their headers.
    std::vector<HttpHeaders> requests;
    std::string lastTarget;
    std::string lastBody;

    //! Headers of a complete answer to the request of \a exchange.
    HttpHeaders sealedHeaders(const HttpExchange &exchange) const;
    static std::string header(const HttpHeaders &headers, const std::string &name);

private:
    std::string name_;
    std::unique_ptr<HttpServer> server_;
};

//! One gateway with the platform's formats, a store and two backend servers, on one loop.
class Deployment
{
public:
    explicit Deployment(LoopRunner &runner, Milliseconds revocationBound = std::chrono::seconds(5));
    //! Uses other formats than the platform's; \a formats must outlive the deployment.
    Deployment(LoopRunner &runner, const FormatTable &formats, Milliseconds revocationBound);
    //! The platform's formats.
    static const FormatTable &formats();

    //! Writes a configuration with a route of each kind; \a key is the only team's key.
    void configure(int version, const std::string &key = "key-1",
                   std::size_t maxBodyBytes = 100'000);
    //! Writes the entry of \a server, which started at \a start.
    void enter(const StandInServer &server, const std::string &state = "ready", int start = kStart);
    //! Writes the entry of a server that is none of the deployment's own.
    void enter(const std::string &name, const SocketAddress &address, int slots = kSlots);
    //! Lets the gateway read what the store holds.
    void settle();
    bool waitReady();
    //! Configures the gateway, enters the first server and waits until the gateway is ready.
    bool serve();
    //! A request to the route of \a kind ("safe", "unsafe", "stream", "patient", "fragile").
    static std::string request(const std::string &kind, const std::string &extra = {},
                               const std::string &key = "key-1");
    int readyStatus();
    //! Starts another router of the same fleet.
    std::unique_ptr<Gateway> startRouter(const std::string &name);
    //! Ends the router without warning and starts it again, with nothing but what the store holds.
    void restart();

    LoopRunner &runner;
    StandInStore store;
    StandInServer first;
    StandInServer second;
    std::unique_ptr<Gateway> gateway;

private:
    static constexpr int kSlots = 4;
    static constexpr int kStart = 1000;

    void putEntry(const std::string &name, const SocketAddress &address, int slots,
                  const std::string &state, int start);

    const FormatTable &formats_;
    Milliseconds revocationBound_;
    std::uint64_t sequence_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_DEPLOYMENT_H
