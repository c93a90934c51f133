#ifndef CROCUSPORT_GUARDEDEXCHANGE_H
#define CROCUSPORT_GUARDEDEXCHANGE_H

#include "crocusport/transport/httpexchange.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! The connections that one listening socket has accepted, and what became of them.
struct ConnectionGroup
{
    bool isSilent = false;  //!< Sends nothing more and keeps the connections open.
    bool isRefused = false; //!< Closes each connection on its next request.
    std::vector<std::shared_ptr<HttpExchange>> unanswered; //!< Kept so that they stay open.
};

/*!
    An exchange whose answers can be suppressed by a fault. Methods as those of HttpExchange.

    Thread safety: loop thread only.
*/
class GuardedExchange
{
public:
    GuardedExchange(std::shared_ptr<HttpExchange> exchange, std::shared_ptr<ConnectionGroup> group);
    ~GuardedExchange();

    GuardedExchange(const GuardedExchange &) = delete;
    GuardedExchange &operator=(const GuardedExchange &) = delete;

    const HttpExchange &request() const { return *exchange_; }

    void reply(int status, const HttpHeaders &headers, std::string_view body);
    void replyJson(int status, const nlohmann::json &body, HttpHeaders headers = {});
    void startStream(int status, const HttpHeaders &headers);
    void sendChunk(std::string_view data);
    void endStream();
    void abort();
    void onClosed(std::function<void()> handler);
    bool isClosed() const { return exchange_->isClosed(); }
    //! Leaves the request without an answer for ever, with its connection open.
    void keepUnanswered();

private:
    std::shared_ptr<HttpExchange> exchange_;
    std::shared_ptr<ConnectionGroup> group_;
};

} // namespace crocusport

#endif // CROCUSPORT_GUARDEDEXCHANGE_H
