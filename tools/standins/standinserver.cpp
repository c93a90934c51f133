#include "standinserver.h"

#include "crocusport/transport/eventloop.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace crocusport {

namespace {

constexpr std::string_view kControlPrefix = "/control/";
// The exit code of a process that ends by SIGSEGV in a shell.
constexpr int kCrashExitCode = 139;
constexpr std::size_t kOpenListPruneSize = 4096;

HttpServerLimits standinLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = std::size_t(64) * 1024 * 1024;
    limits.maxConnections = 60'000;
    limits.idleTimeout = std::chrono::hours(1); // A silent connection must stay open.
    return limits;
}

} // namespace

StandinServer::StandinServer(EventLoop &loop, SocketAddress address)
    : loop_(loop), address_(std::move(address)), tasks_(loop)
{ }

Result<std::unique_ptr<StandinServer>> StandinServer::create(EventLoop &loop,
                                                             const SocketAddress &address)
{
    std::unique_ptr<StandinServer> server(new StandinServer(loop, address));
    BOOST_LEAF_CHECK(server->listen());
    return server;
}

Result<void> StandinServer::listen()
{
    auto group = std::make_shared<ConnectionGroup>();
    BOOST_LEAF_AUTO(
        server,
        HttpServer::create(loop_, address_, standinLimits(),
                           [this, group](const std::shared_ptr<HttpExchange> &exchange) {
                               onRequest(exchange, group);
                           }));
    group_ = std::move(group);
    server_ = std::move(server);
    address_ = server_->address();
    return {};
}

void StandinServer::crashIfOrdered(std::string_view text) const
{
    if (!faults_.isCrashing(text))
        return;
    LOG(ERROR) << "event=ordered-crash address=" << address_;
    std::_Exit(kCrashExitCode);
}

void StandinServer::onRequest(const std::shared_ptr<HttpExchange> &exchange,
                              const std::shared_ptr<ConnectionGroup> &group)
{
    if (group->isRefused) {
        exchange->abort();
        return;
    }
    if (group->isSilent) {
        group->unanswered.push_back(exchange);
        return;
    }
    if (exchange->path() == "/control/fault") {
        onFault(*exchange);
        return;
    }
    if (open_.size() > kOpenListPruneSize) {
        open_.erase(std::remove_if(open_.begin(), open_.end(),
                                   [](const auto &weak) { return weak.expired(); }),
                    open_.end());
    }
    open_.push_back(exchange);
    auto guarded = std::make_shared<GuardedExchange>(exchange, group);
    const bool isControl = exchange->path().substr(0, kControlPrefix.size()) == kControlPrefix;
    if (isControl) {
        handler_(std::move(guarded));
        return;
    }
    if (faults_.isHanging(monotonicNow())) {
        guarded->keepUnanswered();
        return;
    }
    if (tasks_.isSuspended()) {
        tasks_.runAfter(Duration::zero(), [this, guarded] { handler_(guarded); });
        return;
    }
    handler_(std::move(guarded));
}

void StandinServer::onFault(HttpExchange &exchange)
{
    handleErrors(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(order, FaultControl::parse(exchange.body()));
            const auto now = monotonicNow();
            faults_.apply(order, now);
            tasks_.suspendUntil(faults_.frozenUntil());
            exchange.reply(200, { { "Content-Type", "application/json" } }, "{\"done\":true}");
            LOG(INFO) << "event=fault address=" << address_ << " order=" << exchange.body();
            // Posted, so that this answer is on its way before its connection is concerned.
            if (order.kind == FaultKind::Silent) {
                loop_.post([this] {
                    group_->isSilent = true;
                    setAside();
                    handleErrors([this] { return listen(); },
                                 [](const Error &error) { LOG(FATAL) << error.message; });
                });
            }
            if (order.kind == FaultKind::Outage && order.mode == OutageMode::Refuse)
                loop_.post([this, length = order.length] { startOutage(length); });
            return {};
        },
        [&](const Error &error) { exchange.reply(400, {}, error.message + "\n"); });
}

void StandinServer::startOutage(Duration length)
{
    group_->isRefused = true;
    setAside();
    for (const auto &weak : open_) {
        if (const auto exchange = weak.lock())
            exchange->abort();
    }
    open_.clear();
    tasks_.runAfter(length, [this] {
        if (server_)
            return;
        handleErrors([this] { return listen(); },
                     [](const Error &error) { LOG(FATAL) << error.message; });
    });
}

void StandinServer::setAside()
{
    if (!server_)
        return;
    server_->stopAccepting();
    formerServers_.push_back(std::move(server_));
}

} // namespace crocusport
