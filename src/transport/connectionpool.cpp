#include "connectionpool.h"

#include "clientconnection.h"

#include <algorithm>
#include <utility>

namespace crocusport {

namespace {

// Idle connections are closed at the latest a quarter of maxIdle after they have expired.
constexpr int kExpiryChecksPerMaxIdle = 4;
constexpr Duration kMinExpiryPeriod = std::chrono::milliseconds(10);

} // namespace

ConnectionPool::ConnectionPool(EventLoop &loop, const HttpClient::Options &options)
    : loop_(loop), options_(options), discardTimer_(loop, [this] { discarded_.clear(); }),
      expiryTimer_(loop, [this] { closeExpired(); })
{
    expiryTimer_.startPeriodic(
        std::max(options_.maxIdle / kExpiryChecksPerMaxIdle, kMinExpiryPeriod));
}

ConnectionPool::~ConnectionPool() = default;

Result<ClientConnection *> ConnectionPool::take(const SocketAddress &address, ConnectionUse use)
{
    std::unique_ptr<ClientConnection> connection;
    auto found = idle_.find(address);
    const auto now = monotonicNow();
    while (found != idle_.end() && found->second.back()->expiry() <= now) {
        discardAt(found->second, found->second.size() - 1);
        if (found->second.empty()) {
            idle_.erase(found);
            found = idle_.end();
        }
    }
    if (use == ConnectionUse::Pooled && found != idle_.end()) {
        connection = std::move(found->second.back());
        found->second.pop_back();
        --idleCount_;
        if (found->second.empty())
            idle_.erase(found);
    } else {
        BOOST_LEAF_ASSIGN(connection, ClientConnection::create(loop_, *this, address));
        ++openedCount_;
    }
    auto *const pointer = connection.get();
    taken_.emplace(pointer, std::move(connection));
    return pointer;
}

void ConnectionPool::keep(ClientConnection &connection)
{
    const auto found = taken_.find(&connection);
    if (found == taken_.end())
        return; // Already discarded; the discard timer destroys it.
    auto &idle = idle_[connection.address()];
    idle.push_back(std::move(found->second));
    taken_.erase(found);
    ++idleCount_;
    if (idle.size() > options_.maxIdlePerAddress)
        discardAt(idle, 0);
}

void ConnectionPool::discard(ClientConnection &connection)
{
    if (const auto taken = taken_.find(&connection); taken != taken_.end()) {
        discarded_.push_back(std::move(taken->second));
        taken_.erase(taken);
        discardTimer_.startOnce(Duration::zero());
        return;
    }
    const auto found = idle_.find(connection.address());
    if (found == idle_.end())
        return;
    auto &idle = found->second;
    for (std::size_t i = 0; i < idle.size(); ++i) {
        if (idle[i].get() == &connection) {
            discardAt(idle, i);
            break;
        }
    }
    if (idle.empty())
        idle_.erase(found);
}

void ConnectionPool::discardAt(Connections &connections, std::size_t index)
{
    const auto position = connections.begin() + static_cast<std::ptrdiff_t>(index);
    (*position)->shutDown();
    discarded_.push_back(std::move(*position));
    connections.erase(position);
    --idleCount_;
    discardTimer_.startOnce(Duration::zero());
}

void ConnectionPool::closeIdle(const SocketAddress &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return;
    while (!found->second.empty())
        discardAt(found->second, found->second.size() - 1);
    idle_.erase(found);
}

void ConnectionPool::closeExpired()
{
    const auto now = monotonicNow();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        auto &idle = entry->second;
        for (std::size_t i = idle.size(); i > 0; --i) {
            if (idle[i - 1]->expiry() <= now)
                discardAt(idle, i - 1);
        }
        entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

} // namespace crocusport
