#ifndef CROCUSPORT_REGISTRATION_H
#define CROCUSPORT_REGISTRATION_H

#include "formattable.h"
#include "storemirror.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Registers a few routers of each neighbourhood in the store, so that starting routers find a
    router to contact, and the zones find each other. An entry remains when its router stops: most
    routers restart at the same address, and then the entry need not be written again. The router of
    rank 0 removes the entries of routers of its zone that have stopped and do not restart.

    Thread safety: loop thread only. Loop, HTTP client and formats must outlive the registration.
*/
class Registration
{
public:
    Registration(HttpClient &client, const FormatTable &formats, SocketAddress store,
                 const RouterEntry &router);

    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

    /*!
        Writes this router's entry if \a isWanted and \a mirror does not contain it; otherwise
        removes the entry of the first router of \a silentRouters. Makes no call before the mirror
        must show the result of the previous call.
    */
    void update(const StoreMirror &mirror, bool isWanted,
                const std::vector<RouterName> &silentRouters, Duration now);
    std::uint64_t calls() const { return calls_; }

    //! Whether \a key is the key of a router's entry.
    static bool isRouterKey(const std::string &key);
    //! Returns the entry in \a key and \a value, or nothing if they are not a valid entry.
    static std::optional<RouterEntry> decode(const std::string &key, const std::string &value);
    //! Precondition: isRouterKey(key).
    static RouterName routerOfKey(const std::string &key);

private:
    void start(HttpCallRequest request, Duration now);

    HttpClient &client_;
    const FormatTable &formats_;
    SocketAddress store_;
    std::string key_;
    std::string value_;
    Duration notBefore_ {};
    std::unique_ptr<HttpCall> call_;
    std::uint64_t calls_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_REGISTRATION_H
