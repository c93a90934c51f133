#ifndef CROCUSPORT_SETTINGS_H
#define CROCUSPORT_SETTINGS_H

#include "crocusport/coordination/queuepolicy.h"
#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusport {

//! Least severity of the events that are logged.
enum class LogLevel { Debug, Info, Warning, Error };

//! Where a router listens.
struct ListenSettings
{
    SocketAddress callers;
    SocketAddress peers;
    SocketAddress operators;
};

//! Bounds on what a caller or a backend server can make a router hold.
struct LimitSettings
{
    std::size_t maxHeadBytes = 0;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0;
    std::size_t maxResponseBytes = 0;
    std::size_t answerMemoryBytes = 0; //!< Shared by all responses that are not complete.
    std::size_t clientMemoryBytes = 0; //!< For callers' requests and unread responses; 0: no limit.
    std::size_t maxStreams = 0;
    Milliseconds idleTimeout {};
};

struct TimeoutSettings
{
    Milliseconds connect {};
    Milliseconds store {};
    Milliseconds progress {};  //!< Least time without a byte after which a stream is probed.
    Milliseconds holderAck {}; //!< Time after which a router decides without the pool's holder.
};

/*!
    The settings of one router process; docs/settings.md lists the keys. The defaults are in the
    table of keys in settings.cpp.
*/
struct Settings
{
    //! Key and value, as given on the command line; lists are separated by commas.
    using Override = std::pair<std::string, std::string>;

    RouterName router;
    Region region;
    AvailabilityZone zone;
    ListenSettings listen;
    std::vector<SocketAddress> peerSeeds;
    std::string peerKey; //!< Secret shared by all routers.
    std::vector<SocketAddress> storeAddresses;
    SocketAddress hostListAddress;
    QueuePolicy queuePolicy = QueuePolicy::Holder;
    LimitSettings limits;
    TimeoutSettings timeouts;
    Milliseconds shutdownDelay {};
    LogLevel logLevel = LogLevel::Info;

    /*!
        Reads the TOML file \a path, then applies \a overrides. Fails with BadSettings, naming the
        file, line, key, what was found and what is allowed of each fault, or with FileUnreadable.
        Safe from any thread.
    */
    static Result<Settings> load(const std::string &path, const std::vector<Override> &overrides);

    //! Like load(), from the content of a file; \a file is only used in messages.
    static Result<Settings> parse(std::string_view text, const std::string &file,
                                  const std::vector<Override> &overrides);

    //! Returns the reference of all keys in Markdown. Safe from any thread.
    static std::string reference();
};

} // namespace crocusport

#endif // CROCUSPORT_SETTINGS_H
