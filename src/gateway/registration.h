#ifndef CROCUSPORT_REGISTRATION_H
#define CROCUSPORT_REGISTRATION_H

#include "formattable.h"

#include "crocusport/transport/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusport {

/*!
    Keeps this router's entry in the store under a lease, so that other routers find it and forget
    it when it ends.

    Thread safety: loop thread only. Loop and HTTP client must outlive the registration.
*/
class Registration
{
public:
    Registration(EventLoop &loop, HttpClient &client, const FormatTable &formats,
                 SocketAddress store, const RouterEntry &router);

    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

    //! Stops the renewal; the entry goes when its lease ends.
    void stop();
    //! Whether \a key is that of a router's entry.
    static bool isRouterKey(const std::string &key);
    //! Returns the entry that \a key and \a value hold, if they are one.
    static std::optional<RouterEntry> decode(const std::string &key, const std::string &value);
    static RouterName routerOfKey(const std::string &key);

private:
    enum class Step { Grant, Put, Renew };

    void call();
    void onEnd(const HttpCallEnd &end);

    HttpClient &client_;
    const FormatTable &formats_;
    SocketAddress store_;
    std::string key_;
    std::string value_;
    Timer timer_;
    Step step_ = Step::Grant;
    std::uint64_t lease_ = 0;
    std::unique_ptr<HttpCall> call_;
    std::string body_;
};

} // namespace crocusport

#endif // CROCUSPORT_REGISTRATION_H
