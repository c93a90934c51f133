#ifndef CROCUSPORT_HOSTLISTCLIENT_H
#define CROCUSPORT_HOSTLISTCLIENT_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"
#include "crocusport/transport/httpclient.h"
#include "crocusport/transport/timer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Polls the platform's host list. While the list is unavailable or invalid, the last valid list
    stays in use.

    Thread safety: loop thread only. The loop and the HTTP client must outlive this client.
*/
class HostListClient
{
public:
    struct Options
    {
        SocketAddress address;
        Duration period = std::chrono::seconds(1); //!< Also the timeout of each poll.
    };
    //! Called with the list, sorted by name, for the first valid list and whenever a later one
    //! differs from the one before. May destroy the client.
    using Handler = std::function<void(const std::vector<BackendServer> &servers)>;

    //! The first poll starts in the next iteration of the loop.
    HostListClient(EventLoop &loop, HttpClient &client, Options options, Handler onChange);

    HostListClient(const HostListClient &) = delete;
    HostListClient &operator=(const HostListClient &) = delete;

    //! The last valid list; empty until one has been received.
    const std::vector<BackendServer> &servers() const { return servers_; }
    //! When the last valid list was received.
    std::optional<Instant> lastReceived() const { return lastReceived_; }
    //! Why the last poll that ended has failed; empty when it succeeded.
    const std::string &lastError() const { return lastError_; }

private:
    void poll();
    void onEnd(const HttpCallEnd &end);
    void noteInvalidEntries(const std::vector<std::string> &faults);
    void accept(std::vector<BackendServer> servers);
    void fail(const std::string &error);

    HttpClient &client_;
    Options options_;
    Handler onChange_;
    std::vector<BackendServer> servers_;
    std::optional<Instant> lastReceived_;
    std::size_t invalidEntries_ = 0; //!< In the last list.
    std::string lastError_;
    std::string body_;
    Timer timer_;
    std::unique_ptr<HttpCall> call_;
};

} // namespace crocusport

#endif // CROCUSPORT_HOSTLISTCLIENT_H
