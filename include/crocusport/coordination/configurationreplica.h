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

//! Where a configuration was read from. The store always has the newest published version.
enum class ConfigurationSource { Store, Peer };

/*!
    Holds the configuration that this router enforces, and chooses the peer from which to request a
    newer one (docs/design.md section 4.3). The owner of the replica parses the documents.

    Does no I/O and reads no clock: callers pass the time. Thread safety: none; use from one thread.
*/
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(const RouterName &self);

    //! Adopts \a configuration if it is not null and its version is higher than version(). Returns
    //! whether it was adopted.
    bool adopt(std::shared_ptr<const Configuration> configuration, std::string document,
               ConfigurationSource source);
    //! Returns true if \a version is newer than the adopted one, so that its document is needed.
    bool isNewerVersion(ConfigurationVersion version) const { return version > version_; }

    //! Records the version that \a peer reports to have; 0 means that it has no configuration.
    void recordPeerVersion(const RouterName &peer, ConfigurationVersion version);
    //! Sets the live members. Precondition: includes this router unless it is leaving.
    void setMembers(const std::vector<RouterName> &liveMembers);
    //! Returns a request to a peer that has a newer configuration, if a request is due.
    std::vector<OutgoingMessage> tick(Instant now);
    //! Returns the reply to a peer's request if this router's configuration is newer.
    std::optional<OutgoingMessage> answer(const RouterName &from,
                                          const ConfigurationRequestMessage &request) const;

    //! Returns the adopted configuration; null before the first one.
    const std::shared_ptr<const Configuration> &configuration() const { return configuration_; }
    //! Returns the adopted document as it was published; empty before the first one.
    const std::string &document() const { return document_; }
    ConfigurationVersion version() const { return version_; }
    //! Returns true once this router has had a configuration at least as new as that of every peer
    //! that has reported a version. A configuration from a peer counts only when all live members
    //! have reported, or after 1 s. Stays true when a newer configuration is published.
    bool isReady() const { return isReady_; }
    //! Returns true if this router is one of the up to three live members that watch the store on
    //! behalf of all routers, or if there are no live members.
    bool isStoreWatcher() const { return isStoreWatcher_; }

private:
    void updateReadiness(Instant now);
    ConfigurationVersion newestPeerVersion() const;

    RouterName self_;
    std::shared_ptr<const Configuration> configuration_;
    std::string document_;
    ConfigurationVersion version_;
    std::vector<RouterName> others_; //!< Live members other than this router.
    std::map<RouterName, ConfigurationVersion> peerVersions_;
    std::optional<RouterName> newestVersionPeer_; //!< Peer that last reported the newest version.
    std::optional<RouterName> requestedPeer_;     //!< Peer that the last request was sent to.
    std::optional<Instant> requestedAt_;
    //! When tick() first found that no peer had reported a newer version.
    std::optional<Instant> caughtUpAt_;
    bool isReady_ = false;
    bool isStoreWatcher_ = true;
};

} // namespace crocusport

#endif // CROCUSPORT_CONFIGURATIONREPLICA_H
