#ifndef CROCUSPORT_HEALTHPROBE_H
#define CROCUSPORT_HEALTHPROBE_H

#include "crocusport/state/backendserver.h"
#include "crocusport/transport/httpclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusport {

//! What a probe over a new connection found.
enum class ProbeFinding {
    Alive,     //!< Answered, with the known start number or none.
    Restarted, //!< Answered with a newer start number.
    Refused,   //!< Nothing listens there any more.
    Silent,    //!< No answer in time: frozen or cut off.
};

struct ProbeResult
{
    ProbeFinding finding = ProbeFinding::Silent;
    bool isLeaving = false;
};

/*!
    Asks a backend server's /healthz over a new connection, since an open connection may be silent
    for good while new ones work. Destroying the probe cancels it.

    Thread safety: loop thread only.
*/
class HealthProbe
{
public:
    using Handler = std::function<void(const ProbeResult &)>;

    HealthProbe(HttpClient &client, const BackendServer &server, Duration timeout, Handler handler);

private:
    ProbeResult interpret(const HttpCallEnd &end) const;

    StartNumber knownStart_;
    std::string body_;
    Handler handler_;
    std::unique_ptr<HttpCall> call_;
};

} // namespace crocusport

#endif // CROCUSPORT_HEALTHPROBE_H
