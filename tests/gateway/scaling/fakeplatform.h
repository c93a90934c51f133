#ifndef CROCUSPORT_TEST_FAKEPLATFORM_H
#define CROCUSPORT_TEST_FAKEPLATFORM_H

#include "serverordering.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusport::test {

/*!
    The platform and the routers' copy of its entries, as ServerOrdering meets them: servers start
    some time after an order and drain before they go, zones run out of servers, responses are lost
    and orders are carried out late. Keeps the first order that breaks a rule as fault().
*/
class FakePlatform
{
public:
    using Subject = std::pair<AvailabilityZone, ServerKind>;

    FakePlatform(const PoolScaling &scaling, std::uint32_t regularServers) : scaling_(scaling)
    {
        for (const auto &[zone, cost] : scaling.zoneCosts) {
            setDesired(zone, ServerKind::Regular, regularServers);
            for (auto &server : servers_)
                server.readyAt = {};
        }
        publish();
    }

    //! Carries out \a order, which was decided with \a status.
    OrderOutcome carryOut(const ServerOrder &order, const OrderingStatus &status)
    {
        const auto kind = order.isSpot ? ServerKind::Spot : ServerKind::Regular;
        auto &desired = desired_[order.zone];
        if (order.count > desired[kind] && (isEmpty || empty.contains({ order.zone, kind })))
            return OrderOutcome::NoneAvailable;
        const auto sum = order.count
            + desired[kind == ServerKind::Spot ? ServerKind::Regular : ServerKind::Spot];
        if (order.count > desired[kind] && sum > scaling_.max)
            note("above max in " + order.zone.value());
        if (order.count < desired[kind] && sum < scaling_.min)
            note("below min in " + order.zone.value());
        const auto before = live();
        setDesired(order.zone, kind, order.count);
        if (live() < before && live() < (isTotalKept ? status.total : status.need))
            note("too few servers after an order in " + order.zone.value());
        return OrderOutcome::Accepted;
    }

    //! Takes all spot servers of \a zone away, which leave within 2.5 s.
    void reclaim(const AvailabilityZone &zone) { setDesired(zone, ServerKind::Spot, 0); }

    void advance(Instant now)
    {
        now_ = now;
        std::erase_if(servers_, [&](const auto &server) {
            if (server.goneAt && *server.goneAt <= now)
                directory.remove(server.entry.name, now);
            return server.goneAt && *server.goneAt <= now;
        });
        publish();
    }

    std::uint32_t live(ServerKind kind) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto &server) {
                return !server.goneAt && server.readyAt <= now_
                    && server.entry.isSpot == (kind == ServerKind::Spot);
            }));
    }
    std::uint32_t live() const { return live(ServerKind::Regular) + live(ServerKind::Spot); }
    std::uint32_t desired(const AvailabilityZone &zone, ServerKind kind) const
    {
        return desired_.at(zone)[kind];
    }
    const std::string &fault() const { return fault_; }

    ServerDirectory directory;
    std::set<Subject> empty; //!< Where no more servers can be had.
    bool isTotalKept = true; //!< Removals must leave the planned total, not only the need.
    bool isEmpty = false;    //!< No more servers can be had at all.

private:
    struct Server
    {
        ServerEntry entry;
        Instant readyAt {};
        std::optional<Instant> goneAt;
    };

    void note(const std::string &fault)
    {
        if (fault_.empty())
            fault_ = fault;
    }

    void setDesired(const AvailabilityZone &zone, ServerKind kind, std::uint32_t count)
    {
        desired_[zone][kind] = count;
        std::uint32_t present = 0;
        for (auto &server : servers_) {
            const bool isSame = server.entry.zone == zone && !server.goneAt
                && server.entry.isSpot == (kind == ServerKind::Spot);
            if (isSame && ++present > count)
                server.goneAt = now_ + Milliseconds(2500);
        }
        for (; present < count; ++present) {
            ServerEntry entry;
            entry.name = BackendServerName("s" + std::to_string(++names_));
            entry.address = SocketAddress(entry.name.value() + ":1");
            entry.pool = PoolName("p");
            entry.zone = zone;
            entry.slots = 16;
            entry.isSpot = kind == ServerKind::Spot;
            servers_.push_back({ entry, now_ + scaling_.bootTime, std::nullopt });
        }
    }

    void publish()
    {
        for (auto &server : servers_) {
            server.entry.state =
                server.goneAt ? BackendServerState::Leaving : BackendServerState::Live;
            if (server.readyAt <= now_)
                directory.update(server.entry, now_);
        }
    }

    PoolScaling scaling_;
    std::vector<Server> servers_;
    ServerCounts desired_;
    Instant now_ {};
    int names_ = 0;
    std::string fault_;
};

} // namespace crocusport::test

#endif // CROCUSPORT_TEST_FAKEPLATFORM_H
