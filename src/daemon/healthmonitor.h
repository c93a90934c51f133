#ifndef CROCUSPORT_HEALTHMONITOR_H
#define CROCUSPORT_HEALTHMONITOR_H

#include "backenddirectory.h"
#include "healthprobe.h"

#include "crocusport/transport/timer.h"

#include <functional>
#include <map>
#include <memory>

namespace crocusport {

class EventLoop;

/*!
    Asks the backend servers of the pools that this router holds for their state once a second, so
    that a leaving or frozen one is known before a request finds out. The host list lags, and a
    server without traffic would otherwise not be noticed.

    Thread safety: loop thread only. The loop, client and directory must outlive the monitor.
*/
class HealthMonitor
{
public:
    struct Handlers
    {
        //! Whether this router holds \a pool and so watches its servers.
        std::function<bool(const PoolName &pool)> isHolder;
        std::function<void(const Observation &observation)> onObservation;
    };

    HealthMonitor(EventLoop &loop, HttpClient &client, const BackendDirectory &backends,
                  Handlers handlers);

private:
    void probeAll();
    void probe(const BackendServer &server);
    void onResult(const BackendServer &server, const ProbeResult &result);

    HttpClient &client_;
    const BackendDirectory &backends_;
    Handlers handlers_;
    std::map<BackendServerName, std::unique_ptr<HealthProbe>> probes_;
    Timer timer_;
};

} // namespace crocusport

#endif // CROCUSPORT_HEALTHMONITOR_H
