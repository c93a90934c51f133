#ifndef CROCUSPORT_REQUESTPLAN_H
#define CROCUSPORT_REQUESTPLAN_H

#include "crocusport/transport/httpexchange.h"
#include "mix.h"

#include <cstdint>
#include <random>
#include <string>

namespace crocusport {

//! One request as the caller sends it, equal in each of its attempts.
struct RequestPlan
{
    std::string marker;
    std::string team;
    std::string hash; //!< Stands for the marker in the answer.
    std::string target;
    std::string method;
    std::string body;
    HttpHeaders headers;
    std::uint32_t tokens = 0; //!< Expected length of an engine's answer.
    bool isAtPeak = false;    //!< Whether it arrived during a burst.
};

/*!
    Makes the requests of one class.

    Thread safety: none; use from one thread.
*/
class RequestFactory
{
public:
    //! \a runName makes markers differ between runs against the same backend servers.
    RequestFactory(const LoadClass &loadClass, const Mix &mix, std::string runName,
                   std::uint64_t seed);

    RequestPlan make();

private:
    std::string chatBody(const RequestPlan &plan);

    const LoadClass &class_;
    const Mix &mix_;
    std::string runName_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> teams_;
    std::uint64_t count_ = 0;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTPLAN_H
