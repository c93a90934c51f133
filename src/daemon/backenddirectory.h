#ifndef CROCUSPORT_BACKENDDIRECTORY_H
#define CROCUSPORT_BACKENDDIRECTORY_H

#include "crocusport/coordination/observation.h"
#include "crocusport/state/backendserver.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusport {

/*!
    The backend servers of the last host list.

    Thread safety: loop thread only.
*/
class BackendDirectory
{
public:
    void setServers(std::vector<BackendServer> servers);
    std::optional<BackendServer> find(const BackendServerName &name) const;
    const std::vector<BackendServer> &servers() const { return servers_; }

private:
    std::vector<BackendServer> servers_;
    std::unordered_map<BackendServerName, std::size_t> indexByName_;
};

} // namespace crocusport

#endif // CROCUSPORT_BACKENDDIRECTORY_H
