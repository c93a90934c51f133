#ifndef CROCUSPORT_ADMISSION_H
#define CROCUSPORT_ADMISSION_H

#include "crocusport/state/configuration.h"
#include "crocusport/state/error.h"
#include "crocusport/transport/httpexchange.h"

#include <optional>
#include <string>

namespace crocusport {

//! A caller's request that may be run: which class and team it belongs to.
struct AdmittedRequest
{
    RequestClass requestClass;
    PoolKind kind = PoolKind::Engine;
    TeamName team;
    std::optional<std::string> idempotencyKey;
};

/*!
    Finds the class and team of a request and checks that the team may use the class. Fails with one
    of the codes 100 to 199, which all mean that the request was not run.

    Thread safety: loop thread only.
*/
Result<AdmittedRequest> admitRequest(const Configuration &configuration,
                                     const HttpExchange &exchange);

} // namespace crocusport

#endif // CROCUSPORT_ADMISSION_H
