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
    Keeps the entries of a few routers in the store, so that routers that start find one of them,
    and zones find each other. An entry stays when its router ends: most come back at the same
    address, and an entry that is there need not be written. Those that do not come back are removed
    by the first router of their zone.

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
        Writes this router's entry if \a isWanted and \a mirror does not hold it, or else removes
       one of \a lapsed; one call at a time, and none sooner than its result must be in the mirror.
    */
    void update(const StoreMirror &mirror, bool isWanted, const std::vector<RouterName> &lapsed,
                Duration now);
    std::uint64_t calls() const { return calls_; }

    //! Whether \a key is that of a router's entry.
    static bool isRouterKey(const std::string &key);
    //! Returns the entry that \a key and \a value hold, if they are one.
    static std::optional<RouterEntry> decode(const std::string &key, const std::string &value);
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
