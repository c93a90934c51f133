#include "operatorservice.h"

#include "crocusport/protocol/statusdocument.h"

#include <utility>

namespace crocusport {

namespace {

constexpr std::size_t kMaxOperatorConnections = 64;
constexpr std::size_t kMaxOperatorBodyBytes = 1024;

void replyText(HttpExchange &exchange, int status, std::string_view text)
{
    exchange.reply(status, { { "Content-Type", "text/plain; charset=utf-8" } }, text);
}

void replyJson(HttpExchange &exchange, int status, std::string_view json)
{
    exchange.reply(status, { { "Content-Type", "application/json" } }, json);
}

} // namespace

Result<std::unique_ptr<OperatorService>>
OperatorService::create(EventLoop &loop, const SocketAddress &address, Sources sources)
{
    std::unique_ptr<OperatorService> service(new OperatorService(std::move(sources)));
    auto limits = HttpServerLimits::withoutBodies(kMaxOperatorConnections);
    limits.maxBodyBytes = kMaxOperatorBodyBytes;
    BOOST_LEAF_ASSIGN(
        service->server_,
        HttpServer::create(loop, address, limits, [self = service.get()](const auto &exchange) {
            self->handle(exchange);
        }));
    return service;
}

OperatorService::OperatorService(Sources sources) : sources_(std::move(sources)) { }

void OperatorService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->method() != "GET") {
        replyText(*exchange, 405, "only GET is served here\n");
        return;
    }
    const auto path = exchange->path();
    if (path == "/metrics") {
        exchange->reply(200, { { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" } },
                        sources_.metrics());
    } else if (path == "/healthz") {
        replyText(*exchange, 200, "ok\n");
    } else if (path == "/readyz") {
        const bool isReady = sources_.isReady();
        replyText(*exchange, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
    } else if (path == "/status") {
        replyJson(*exchange, 200, sources_.status());
    } else if (path == "/config") {
        const auto configuration = sources_.configuration();
        replyJson(*exchange, configuration.empty() ? 404 : 200,
                  configuration.empty() ? "{}" : configuration);
    } else if (path == "/explain") {
        handleExplain(exchange);
    } else {
        replyText(*exchange, 404, "no such page\n");
    }
}

void OperatorService::handleExplain(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto request = exchange->queryParameter("request");
    if (!request) {
        replyJson(*exchange, 400, R"({"error":"the parameter request is missing"})");
        return;
    }
    const RequestId id(*request);
    sources_.explain(id, [exchange, id](const std::vector<std::string> &events) {
        replyJson(*exchange, events.empty() ? 404 : 200, writeExplanation({ id, events }));
    });
}

} // namespace crocusport
