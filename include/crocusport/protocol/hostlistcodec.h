#ifndef CROCUSPORT_HOSTLISTCODEC_H
#define CROCUSPORT_HOSTLISTCODEC_H

#include "crocusport/state/backendserver.h"
#include "crocusport/state/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

/*!
    Reads the body of `GET /hosts` (docs/design.md section 8). Leaves out invalid entries, and those
    whose name occurs before. Fails with MalformedMessage when these are more than the others: part
    of a list would look like the other backend servers having left. If \a faults is given, it
    receives a message for each entry that is left out. Safe from any thread.
*/
Result<std::vector<BackendServer>> parseHostList(std::string_view body,
                                                 std::vector<std::string> *faults = nullptr);
//! Returns what parseHostList() reads. Safe from any thread.
std::string writeHostList(const std::vector<BackendServer> &servers);

//! What a backend server says about itself.
struct BackendHealth
{
    BackendServerState state = BackendServerState::Live;
    StartNumber start;

    bool operator==(const BackendHealth &) const = default;
};

//! Reads the body of a backend server's `GET /healthz`. Fails with MalformedMessage.
Result<BackendHealth> parseBackendHealth(std::string_view body);
//! Returns what parseBackendHealth() reads. Safe from any thread.
std::string writeBackendHealth(const BackendHealth &health);

} // namespace crocusport

#endif // CROCUSPORT_HOSTLISTCODEC_H
