#include "guardedexchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace crocusport {

GuardedExchange::GuardedExchange(std::shared_ptr<HttpExchange> exchange,
                                 std::shared_ptr<ConnectionGroup> group)
    : exchange_(std::move(exchange)), group_(std::move(group))
{ }

GuardedExchange::~GuardedExchange()
{
    if (group_->isSilent)
        keepUnanswered();
}

void GuardedExchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (!group_->isSilent)
        exchange_->reply(status, headers, body);
}

void GuardedExchange::replyJson(int status, const nlohmann::json &body, HttpHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    if (const auto id = request().header("X-Request-Id"))
        headers.emplace_back("X-Request-Id", *id);
    reply(status, headers, body.dump());
}

void GuardedExchange::startStream(int status, const HttpHeaders &headers)
{
    if (!group_->isSilent)
        exchange_->startStream(status, headers);
}

void GuardedExchange::sendChunk(std::string_view data)
{
    if (!group_->isSilent)
        exchange_->sendChunk(data);
}

void GuardedExchange::endStream()
{
    if (!group_->isSilent)
        exchange_->endStream();
}

void GuardedExchange::abort()
{
    if (!group_->isSilent)
        exchange_->abort();
}

void GuardedExchange::onClosed(std::function<void()> handler)
{
    exchange_->onClosed(std::move(handler));
}

void GuardedExchange::keepUnanswered()
{
    group_->unanswered.push_back(exchange_);
}

} // namespace crocusport
