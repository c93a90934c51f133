#include "backenddirectory.h"

#include <utility>

namespace crocusport {

void BackendDirectory::setServers(std::vector<BackendServer> servers)
{
    servers_ = std::move(servers);
    indexByName_.clear();
    for (std::size_t i = 0; i < servers_.size(); ++i)
        indexByName_[servers_[i].name] = i;
}

std::optional<BackendServer> BackendDirectory::find(const BackendServerName &name) const
{
    const auto entry = indexByName_.find(name);
    if (entry == indexByName_.end())
        return std::nullopt;
    return servers_[entry->second];
}

} // namespace crocusport
