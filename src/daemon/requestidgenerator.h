#ifndef CROCUSPORT_REQUESTIDGENERATOR_H
#define CROCUSPORT_REQUESTIDGENERATOR_H

#include "crocusport/state/identifiers.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocusport {

/*!
    Makes request ids that are unique in the fleet and name the router that made them, so that an
    operator's question about a request can be sent to that router.

    Thread safety: loop thread only.
*/
class RequestIdGenerator
{
public:
    explicit RequestIdGenerator(const RouterName &router);

    //! Returns "<router>-<random start>-<counter>".
    RequestId next();
    //! The router that made \a request; nothing when it has another form. Safe from any thread.
    static std::optional<RouterName> routerOf(const RequestId &request);

private:
    std::string prefix_;
    std::uint64_t counter_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTIDGENERATOR_H
