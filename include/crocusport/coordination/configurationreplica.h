#ifndef CROCUSPORT_CONFIGURATIONREPLICA_H
#define CROCUSPORT_CONFIGURATIONREPLICA_H

#include "crocusport/coordination/peermessage.h"
#include "crocusport/state/configuration.h"
#include "crocusport/state/instant.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

//! Where a configuration was read. The store always has the newest one.
enum class ConfigurationSource { Store, Peer };

/*!
    The configuration that this router enforces, and the decision whom to ask for a newer one
    (docs/design.md section 4.3). The owner parses documents.

    Pure: time is an argument. Thread safety: none; use from one thread.
*/
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(const RouterName &self);

    //! Takes \a configuration if its version is higher; returns whether it was adopted.
    bool adopt(std::shared_ptr<const Configuration> configuration, std::string document,
               ConfigurationSource source);
    //! True if a document of \a version is worth parsing.
    bool wants(ConfigurationVersion version) const { return version > version_; }

    //! Notes the version that \a peer says it has; 0 means none.
    void hear(const RouterName &peer, ConfigurationVersion version);
    //! \a liveMembers includes this router unless it is leaving.
    void setMembers(const std::vector<RouterName> &liveMembers);
    //! Returns a request to a peer that has a newer configuration, when one is due.
    std::vector<OutgoingMessage> tick(Instant now);
    //! Answers a peer's request, if this router has something newer.
    std::optional<OutgoingMessage> answer(const RouterName &from,
                                          const ConfigurationRequestMessage &request) const;

    //! The adopted configuration; null before the first.
    const std::shared_ptr<const Configuration> &configuration() const { return configuration_; }
    //! The adopted document as it was published; empty before the first.
    const std::string &document() const { return document_; }
    ConfigurationVersion version() const { return version_; }
    //! True from when this router first had a configuration at least as new as that of every peer
    //! that has answered. Stays true when a newer one is published.
    bool isReady() const { return isReady_; }
    //! Whether this router watches the store for the others.
    bool isStoreWatcher() const { return isStoreWatcher_; }

private:
    void updateReadiness(Instant now);
    ConfigurationVersion newestHeard() const;

    RouterName self_;
    std::shared_ptr<const Configuration> configuration_;
    std::string document_;
    ConfigurationVersion version_;
    std::vector<RouterName> others_; //!< Live members without this router.
    std::map<RouterName, ConfigurationVersion> heard_;
    std::optional<RouterName> announcer_; //!< Who last announced the newest version.
    std::optional<RouterName> asked_;
    std::optional<Instant> askedAt_;
    std::optional<Instant> hadConfigurationAt_;
    bool isReady_ = false;
    bool isStoreWatcher_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_CONFIGURATIONREPLICA_H
