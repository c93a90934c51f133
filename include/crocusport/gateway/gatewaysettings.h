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
    Calls to the platform that are the duty of one router at a time. Without an address, or if no
    duty is enabled, the router performs none.
*/
struct DutySettings
{
    SocketAddress address;
    bool reportsUsage = false;  //!< Reports the requests of each team.
    bool ordersServers = false; //!< Orders backend servers for pools that allow it.
    double callsPerSecond = 0;  //!< Limit of the platform, for all routers together.
    Duration lease {}; //!< Time for which the platform expects one holder after its last call.
    Duration usageWindow {}; //!< Length of the windows of usage reports.
    Duration usageDelay {};  //!< Time from the end of a window until its report is due.

    bool isEnabled() const { return !address.value().empty() && (reportsUsage || ordersServers); }
};

/*!
    The settings of a gateway process. The table of keys in gatewaysettings.cpp holds the default
    values; docs/gateway-settings.md contains the reference that is generated from that table.
*/
struct GatewaySettings
{
    RouterName router;
    Region region;
    AvailabilityZone zone;
    SocketAddress callers;            //!< Address on which callers connect.
    SocketAddress ready;              //!< Address of the readiness endpoint.
    std::string ip;                   //!< IP address of the internal ports.
    std::uint16_t reportPort = 0;     //!< Port for messages between routers (UDP and TCP).
    std::uint16_t metricsPort = 0;    //!< TCP port of the metrics; 0 disables them.
    std::vector<SocketAddress> seeds; //!< Routers to contact first; only the hosts are used.
    SocketAddress store;
    Duration revocationBound {}; //!< Time after which a withdrawn key is refused everywhere.
    //! Whether all keys are refused once the store has been unreachable for the revocation bound.
    bool isRevocationStrict = false;
    Duration leavingBound {};       //!< Time after which a leaving server gets no requests.
    Duration configurationBound {}; //!< Time within which a new configuration takes effect.
    double retryRatio = 0;          //!< Retries per request, over all routers.
    double retrySlack = 0;          //!< Additional retries per window, over all routers.
    Duration retryWindow {};        //!< Window of the retry budget.
    Duration shutdownGrace {};      //!< Time from SIGTERM until the process is killed.
    //! Maximum time between two queries for changes of the store; longer after failures.
    Duration storePollInterval {};
    Duration stabilityWindow {};     //!< Time after an outage of the store without bounds.
    Duration serverHeartbeat {};     //!< Time after which a server writes its entry again.
    double hostMemoryMb = 0;         //!< Memory of the host; 0: unknown.
    std::size_t descriptors = 0;     //!< File descriptors of the process; 0: unknown.
    double answerMemoryMb = 24;      //!< For responses that cannot be forwarded yet.
    Duration reportInterval {};      //!< Minimum time between two load reports.
    bool holdsUnderPressure = false; //!< Whether requests for engines are held under pressure.
    bool isStartPaced = false;       //!< Whether requests at new servers are limited.
    DutySettings duties;

    /*!
        Reads the TOML file \a path. Each of \a overrides is a line of TOML whose value replaces
        that of the file; one with an empty value replaces nothing. Fails with FileUnreadable, or
       with BadSettings; the message of BadSettings gives the file, line, key and allowed values for
       each fault. Safe from any thread.
    */
    static Result<GatewaySettings> load(const std::string &path,
                                        const std::vector<std::string> &overrides = {});
    //! Like load(), for the content of a file; \a file is only used in messages.
    static Result<GatewaySettings> parse(std::string_view text, const std::string &file,
                                         const std::vector<std::string> &overrides = {});
    //! Returns the reference of all keys in Markdown. Safe from any thread.
    static std::string reference();
};

} // namespace crocusport

#endif // CROCUSPORT_GATEWAYSETTINGS_H
