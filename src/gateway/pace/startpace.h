#ifndef CROCUSPORT_STARTPACE_H
#define CROCUSPORT_STARTPACE_H

#include "serverdirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace crocusport {

//! What happened to the window of a server.
enum class PaceChange {
    Opened, //!< The server is new, or has failed repeatedly.
    Halved, //!< A fault, a refusal or a slow answer.
    Ended,  //!< The server is no longer new.
};

//! Returns the name used in logs, such as "halved". Safe from any thread.
std::string_view paceChangeName(PaceChange change);

/*!
    Limits the requests at servers that are new: a server that has started or returned, or whose
    connections broke repeatedly, has a window of requests in flight over all routers. The window
    grows with good answers and slowly with time; it is halved by faults, refusals and answers
    that are clearly slower than those of other servers.

    Load pattern: a server that has just started looks idle, so that all routers send it their next
    requests at once, while its caches are cold.

    Bound over all routers: a router sends only if the requests that it knows of, its own and those
    that other routers reported, are fewer than the window, and its own are fewer than its share
    (window / routers). The fraction of a share is rounded up at the routers that a hash of server,
    router and turn (1 s) selects, so that the shares add up to about the window and small windows
    are used by a few routers in turn. If reports are younger than a turn, at most twice the largest
    window of a router is in flight, plus 3 sqrt(window) for the uneven hash. A router whose window
    has ended is not limited.

    Growth: a router sees only its own answers. Each good one stands for as many answers as there
    are known requests in flight for each of its own, at most 4, as one answer may be lucky. Servers
    whose answers it does not see grow with time. With many routers, time decides for most of them.

    Thread safety: none; use from one thread. Memory: one small record for each server.
*/
class StartPace
{
public:
    //! Called with the new size of the window when it changes other than by growing.
    using OnChange = std::function<void(const BackendServerName &, PaceChange, double window)>;

    explicit StartPace(RouterName router, OnChange onChange = {});

    //! Records that a configuration is in force. Servers first seen before, or up to 3 s after the
    //! first call, are only new if their entries say so: the router has just started, not they.
    void noteConfiguration(Instant now);

    //! Records that \a server is registered. Opens a window if it is new or has a new start number.
    void noteServer(const KnownServer &server, Instant now);
    //! Forgets a server, which is new when it returns. Does nothing if it is not known.
    void removeServer(const BackendServerName &name);
    //! Ends the windows that are due and sets the number of routers, including this one.
    void tick(std::size_t routers, Instant now);

    //! Whether the window of \a server has room for one more request of this router.
    bool admits(const KnownServer &server, Instant now) const;
    //! Whether \a server has a window.
    bool isNew(const BackendServerName &name) const;
    //! Returns the window over all routers as far as this one knows, or the slots if there is none.
    double window(const KnownServer &server, Instant now) const;
    //! Returns the number of servers with a window.
    std::size_t windows() const;

    /*!
        Records that the first event of a stream, or an answer that is no stream, came after \a
       time. It is compared with the mean of the same route at servers that are not new.
        Precondition: the request still counts in the load of \a server.
    */
    void noteBegin(const KnownServer &server, const std::string &route, Duration time, Instant now);
    //! Like noteBegin(), for an answer that took \a ratio times as long as those of other servers.
    void noteFirstEvent(const KnownServer &server, double ratio, Instant now);
    //! Records a refusal or an answer that reports a failure.
    void noteRefusal(const KnownServer &server, Instant now);
    //! Records a broken or impossible connection. Repeated ones open a window.
    void noteFault(const KnownServer &server, Instant now);

private:
    struct Window
    {
        std::uint32_t slots = 0; //!< Of the server; the window ends when it reaches them.
        double size = 0;         //!< Requests in flight over all routers, at sizedAt.
        Instant openedAt {};
        Instant sizedAt {};
        Instant halvedAt {};
    };
    struct State
    {
        StartNumber start;
        std::optional<Window> window;
        int faults = 0; //!< Without a window, each soon after the one before.
        Instant faultAt {};
    };

    void open(State &state, const KnownServer &server, Instant now);
    void halve(Window &window, const KnownServer &server, Instant now);
    void report(const BackendServerName &name, PaceChange change, double size) const;
    double share(const BackendServerName &name, const Window &window, Instant now) const;
    static double sizeAt(const Window &window, Instant now);

    RouterName router_;
    OnChange onChange_;
    std::optional<Instant> discoveryEnd_; //!< None before the first configuration.
    std::size_t routers_ = 1;
    std::unordered_map<BackendServerName, State> servers_;
    std::unordered_map<std::string, double> beginMs_; //!< Moving means at servers that are not new.
};

} // namespace crocusport

#endif // CROCUSPORT_STARTPACE_H
