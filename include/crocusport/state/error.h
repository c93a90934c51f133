#ifndef CROCUSPORT_ERROR_H
#define CROCUSPORT_ERROR_H

#include "crocusport/state/resultcode.h"

#include <boost/leaf.hpp>

#include <functional>
#include <string>
#include <utility>

namespace crocusport {

//! The error object that every failed result carries.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string message;
};

template<typename T>
using Result = boost::leaf::result<T>;

//! Returns a failed result with \a code and \a message. Safe from any thread.
inline boost::leaf::error_id makeError(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error { code, std::move(message) });
}

/*!
    Calls \a operation, which returns a Result<T>. On success returns its value, else calls
    \a onError with the Error and returns what that returns.

    Safe from any thread.
*/
template<typename Operation, typename Handler>
auto handleErrors(Operation &&operation, Handler &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&](const Error &error) { return std::invoke(onError, error); },
        [&] {
            return std::invoke(onError, Error { ResultCode::InternalError, "unknown error" });
        });
}

} // namespace crocusport

#endif // CROCUSPORT_ERROR_H
