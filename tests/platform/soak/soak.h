#ifndef CROCUSPORT_SOAK_H
#define CROCUSPORT_SOAK_H

#include "faultproxy.h"
#include "rawcaller.h"
#include "routerprocess.h"
#include "soakcheck.h"

#include "../standinstore.h"

#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusport {

//! What a run of the soak does.
struct SoakOptions
{
    std::string program;   //!< The gateway.
    std::string directory; //!< For settings and logs.
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 20 };
    int routers = 3;
    int servers = 4;
    int requestsPerSecond = 60;
    int firstPort = 0;
};

/*!
    Runs real gateways against a store and servers of its own, sends requests, and injects faults
    from outside: signals, and connections that are reset, silenced or cut one way; servers answer
    twice, without a length, cut or with failures. Faults overlap.

    Half of the callers keep their connections and judge every byte on them.

    Thread safety: loop thread only.
*/
class Soak
{
public:
    Soak(EventLoop &loop, SoakOptions options);
    ~Soak();

    //! Runs to the end; returns whether all promises were kept and service came back.
    bool run();

private:
    struct Server;
    struct Caller;

    void configure();
    void enter(Server &server, const std::string &state);
    void answer(Server &server, const std::shared_ptr<HttpExchange> &exchange);
    //! Sends the events from \a next on, and breaks off inside \a cutAt.
    void continueStream(const std::shared_ptr<HttpExchange> &exchange, const std::string &id,
                        int next, int cutAt);
    //! Whether the server fails a stream that goes on at it.
    bool failResumed(Server &server, const std::shared_ptr<HttpExchange> &exchange,
                     const HttpHeaders &headers);
    void sendRequest();
    void sendOnKeptConnection(const std::string &id, const HttpCallRequest &request);
    RawCaller *addRawCaller(const SocketAddress &address);
    //! Ends the server under a request, as a crash does, and starts it again.
    void crash(Server &server, const std::shared_ptr<HttpExchange> &exchange);
    void injectFault();
    void injectProcessFault();
    void injectConnectionFault();
    void injectPlatformFault();
    void injectAnswerFault();
    void heal();
    void restartEnded();
    void after(Duration delay, std::function<void()> task);
    int drawn(int below);
    void note(const std::string &text) const;

    EventLoop &loop_;
    SoakOptions options_;
    std::mt19937_64 random_;
    StandInStore store_;
    SoakCheck check_;
    HttpClient client_;
    std::vector<std::unique_ptr<FaultProxy>> storeProxies_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<RouterProcess>> routers_;
    std::unordered_map<Caller *, std::unique_ptr<Caller>> callers_;
    std::unordered_map<RawCaller *, std::unique_ptr<RawCaller>> rawCallers_;
    std::vector<std::unique_ptr<Timer>> tasks_;
    Timer requestTimer_;
    Timer faultTimer_;
    Timer restartTimer_;
    Instant started_;
    int version_ = 0;
    int keyNumber_ = 1;
    std::uint64_t sequence_ = 0;
    std::uint64_t nextId_ = 0;
    bool isHealing_ = false;
    bool hasCutStreams_ = false;
    std::uint64_t sentAfterHealing_ = 0;
    std::uint64_t servedBeforeHealing_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_SOAK_H
