#ifndef CROCUSPORT_SERVERSTATUS_H
#define CROCUSPORT_SERVERSTATUS_H

#include "backendservertable.h"
#include "crocusport/state/poolscheduler.h"

#include <vector>

namespace crocusport {

//! Returns the status of the servers that are listed or run requests, sorted by name. Must be
//! called on the event loop's thread.
std::vector<BackendServerStatus> serverStatus(const BackendServerTable &servers, Instant now);

} // namespace crocusport

#endif // CROCUSPORT_SERVERSTATUS_H
