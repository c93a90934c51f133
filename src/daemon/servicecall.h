#ifndef CROCUSPORT_SERVICECALL_H
#define CROCUSPORT_SERVICECALL_H

#include "backendcallrequest.h"
#include "backendcallresult.h"
#include "healthprobe.h"
#include "responsehead.h"

#include <functional>
#include <memory>

namespace crocusport {

/*!
    Sends a request to a plain service one time and collects the whole answer. When the answer is
    lost, a probe over a new connection finds out whether the backend server has crashed.

    Destroying the call cancels it. Thread safety: loop thread only.
*/
class ServiceCall
{
public:
    using EndHandler = std::function<void(BackendCallResult)>;

    ServiceCall(HttpClient &client, BackendCallRequest request, EndHandler onEnd);

private:
    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view data);
    void onCallEnd(const HttpCallEnd &end);
    void finish();

    HttpClient &client_;
    BackendCallRequest request_;
    EndHandler onEnd_;
    BackendCallResult result_;
    AnswerMemory::Share heldAnswer_;
    ResponseHead head_;
    ResponseOwner owner_ = ResponseOwner::Unknown;
    std::unique_ptr<HttpCall> call_;
    std::unique_ptr<HealthProbe> probe_;
};

} // namespace crocusport

#endif // CROCUSPORT_SERVICECALL_H
