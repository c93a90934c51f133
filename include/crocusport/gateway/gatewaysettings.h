#ifndef CROCUSPORT_GATEWAYSETTINGS_H
#define CROCUSPORT_GATEWAYSETTINGS_H

#include "crocusport/state/error.h"
#include "crocusport/state/identifiers.h"
#include "crocusport/state/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

/*!
    The settings of a gateway process; the defaults are in the table of keys in gatewaysettings.cpp,
    from which docs/settings.md is made.
*/
struct GatewaySettings
{
    RouterName router;
    Region region;
    AvailabilityZone zone;
    SocketAddress callers;            //!< Where callers connect.
    SocketAddress ready;              //!< Where the load balancer asks for readiness.
    std::string ip;                   //!< Of the internal ports.
    std::uint16_t reportPort = 0;     //!< Datagrams between routers.
    std::uint16_t metricsPort = 0;    //!< Metrics; 0: none.
    std::vector<SocketAddress> seeds; //!< Some routers; only the hosts count.
    SocketAddress store;
    Milliseconds revocationBound {};    //!< Time after which a withdrawn key is refused everywhere.
    bool isRevocationStrict = false;    //!< The bound holds while the store cannot be reached, too.
    Milliseconds leavingBound {};       //!< Time after which a leaving server gets nothing more.
    Milliseconds configurationBound {}; //!< Time in which a new configuration is in force.
    double retryRatio = 0;
    double retrySlack = 0;
    std::chrono::seconds retryWindow {};
    std::chrono::seconds shutdownGrace {}; //!< From SIGTERM to the end of the process by force.
    Milliseconds storePollInterval {};
    std::size_t answerMemoryMb = 24; //!< For answers that cannot be passed on yet.
    Milliseconds reportInterval {};  //!< Least time between two load reports.

    /*!
        Reads the TOML file \a path. Fails with BadSettings, naming the file, line, key and what is
        allowed of each fault, or with FileUnreadable. Safe from any thread.
    */
    static Result<GatewaySettings> load(const std::string &path);
    //! Like load(), from the content of a file; \a file is only used in messages.
    static Result<GatewaySettings> parse(std::string_view text, const std::string &file);
    //! Returns the reference of all keys in Markdown. Safe from any thread.
    static std::string reference();
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYSETTINGS_H
