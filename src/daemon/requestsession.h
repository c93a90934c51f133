#ifndef CROCUSPORT_REQUESTSESSION_H
#define CROCUSPORT_REQUESTSESSION_H

#include "admission.h"
#include "answer.h"
#include "attemptpolicy.h"
#include "callerresponse.h"
#include "enginecall.h"
#include "logline.h"
#include "requestmetrics.h"
#include "routerservices.h"
#include "servicecall.h"
#include "slotdispatcher.h"

#include "crocusport/transport/timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    One caller's request from its arrival to its one final answer: admission, claim of its
    idempotency key, slot, attempts on backend servers, answer.

    Owns itself through the callbacks that it waits for. Thread safety: loop thread only.
*/
class RequestSession : public SlotWaiter, public std::enable_shared_from_this<RequestSession>
{
public:
    static void start(RouterServices &services, std::shared_ptr<HttpExchange> exchange);

    RequestSession(RouterServices &services, std::shared_ptr<HttpExchange> exchange);
    ~RequestSession() override;

    void onSlotGranted(const SlotGrant &grant) override;
    void onSlotRefused(const SlotRefusal &refusal) override;

private:
    enum class Phase { Admission, Claiming, Waiting, Running, Ended };

    void begin();
    std::unique_ptr<CallerResponse> makeResponse(ResponseForm form) const;
    Result<void> admit();
    Result<void> parseChat();
    void reject(const Error &error);
    void onCallerLeft();
    void onDeadline();

    void claimKey();
    void onClaimAnswer(const ClaimAnswer &answer);
    void replyFromClaim(const ClaimAnswer &answer);

    void requestSlot();
    //! Gives back a grant that is not used, and ends the request as not run.
    void returnGrant(ResultCode code, const std::string &message);
    void startAttempt(const BackendServer &server);
    BackendCallRequest makeCallRequest(const BackendServer &server) const;
    void onEvent(const SseEvent &event);
    void onResponseFull();
    void onAttemptEnd(const BackendCallResult &result);
    void reportCondition(const BackendCallResult &result);
    void releaseSlot(ReleaseReason reason, const BackendCallResult &result);
    bool mayRetry(const BackendCallResult &result);
    AttemptContext attemptContext() const;
    void finishAttempt(const BackendCallResult &result);

    void finish(const AnswerStatus &status);
    void finishWithBody(const AnswerStatus &status, const BackendCallResult &result);
    void end(const AnswerStatus &status);
    void settleClaim(const AnswerStatus &status);
    bool isTargetMet(const AnswerStatus &status) const;
    void note(LogLine line);
    bool isRepeatable() const;

    RouterServices &services_;
    std::shared_ptr<HttpExchange> exchange_;
    RequestId id_;
    Phase phase_ = Phase::Admission;
    std::shared_ptr<const Configuration> configuration_;
    AdmittedRequest admitted_;
    std::string forwardBody_;
    Duration limitWait_ {}; //!< Until the team is within its rate again.
    Fingerprint fingerprint_;
    PrefixHash prefix_;
    std::unique_ptr<CallerResponse> response_;

    Instant arrived_;
    Instant deadline_;
    Timer deadlineTimer_;
    std::string claimAttempt_; //!< Empty when no claim is held.
    std::optional<std::string> storedResponse_;

    std::uint32_t attempts_ = 0;
    bool isNotRunSoFar_ = true; //!< No attempt so far can have run.
    bool isResponseFull_ = false;
    RequestId attemptId_;
    std::optional<BackendServer> server_;
    std::vector<BackendServerName> excluded_;
    Instant attemptStarted_;
    std::unique_ptr<EngineCall> engineCall_;
    std::unique_ptr<ServiceCall> serviceCall_;
    RequestMeasurement measurement_;
};

} // namespace crocusport

#endif // CROCUSPORT_REQUESTSESSION_H
