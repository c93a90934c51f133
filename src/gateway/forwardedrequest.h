#ifndef CROCUSPORT_FORWARDEDREQUEST_H
#define CROCUSPORT_FORWARDEDREQUEST_H

#include "answermemory.h"
#include "eventsplitter.h"
#include "gatewayservices.h"
#include "requestaccount.h"
#include "requestadmission.h"

#include "crocusport/transport/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    One caller's request from its arrival to its final response: finds the route, checks the key,
    waits for a backend server, makes attempts and forwards the response.

    The router responds that a request has not run (503) only if no byte of the request can have
    reached a server that may run it. If a stream breaks and its route is resumable, another server
    resumes it after the last complete event that the caller has received.

    Thread safety: loop thread only.
*/
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    //! Starts to handle the request of \a exchange and keeps it in \a services.open until its end.
    static void start(GatewayServices &services, std::shared_ptr<HttpExchange> exchange);

    ForwardedRequest(GatewayServices &services, std::shared_ptr<HttpExchange> exchange);
    ~ForwardedRequest();

    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    //! Ends the request because the router stops. The caller is told whether the request may have
    //! run; a stream that has begun is aborted.
    void stop();

private:
    //! Why an attempt ended without a response for the caller.
    enum class AttemptFault {
        NotSent, //!< No byte of the request was sent.
        NotRun,  //!< The server stated that it did not run the request.
        Broken,  //!< The response is incomplete or invalid; the request may have run.
        Failed,  //!< The server responded with an error.
    };

    //! Calls \a function. An exception ends this request only.
    template<typename Function>
    void guard(Function &&function);
    void begin();
    bool findRoute();
    bool findTeam();
    void describeWork();
    void choosePool();
    bool isStillAllowed() const;
    //! Whether the request is refused because servers crashed while running the same request, or
    //! requests with one of its shared parts.
    bool isCrashCause() const;
    bool hasRefusedPart() const;
    //! Time after which a request refused as crash cause is worth sending again.
    Duration retryAfterCrashes() const;

    //! Applies the plan of admission if the request is for a model engine and the plan is enabled.
    void beginAdmission();
    void place();
    bool tryPlace();
    void wait();
    void onWaitedTooLong();
    void startAttempt(const ServerSelector::Choice &choice);
    //! Called when the request of the attempt is sent.
    void noteSent();
    HttpCallRequest makeCall(const KnownServer &server) const;
    //! Whether the request may still be sent to its server, now that the connection is ready.
    bool mayStillSend() const;
    //! Whether the attempt continues although its server made no progress.
    bool isWorthWaiting();
    void onHead(int status, const HttpHeaders &headers);
    void logRejectedAnswer(bool isForeign) const;
    void rejectAnswer(HttpFailure failure);
    //! Applies the pause that the server asks for and its announcement that it is leaving, from the
    //! response head.
    void applyServerHints();
    void onBody(std::string_view data);
    void onEvents(const EventBatch &batch);
    void onEnd(const HttpCallEnd &end);
    bool hasCopyInBody() const;
    void onWholeAnswer();
    void releaseServer();
    void noteFault(AttemptFault fault, const HttpCallEnd &end);
    //! Reports a suspected crash: the server closed the connection before the end of its response.
    void noteCrash(Instant now);
    //! Remembers an abandoned attempt whose server may have crashed, or reports the known crash.
    void noteUnanswered(Instant now);
    CrashEvidence crashEvidence() const;
    //! Whether bytes of the attempt in progress may have been sent.
    bool isSent() const;
    void onFault(AttemptFault fault, ResultCode code);
    //! Whether the request may be retried after \a fault.
    bool isRetryAllowed(AttemptFault fault) const;
    //! Like isRetryAllowed(), but also takes the retry from the retry budget, unless \a fault is
    //! NotSent.
    bool tryTakeRetry(AttemptFault fault);

    void onCallerLeft();
    void onDeadline();
    void refuse(int status, ResultCode code, std::optional<Duration> retryAfter = {});
    void finishFault(ResultCode code);
    void deliver();
    void end(Outcome outcome, ResultCode code, int status);
    void logAttempt(std::string_view event, ResultCode code) const;
    //! Age of the router's copy of the store in ms, or -1 before the first copy.
    std::int64_t storeCopyAgeMs() const;

    GatewayServices &services_;
    std::shared_ptr<HttpExchange> exchange_;
    RequestAccount account_;
    RequestAdmission admission_;
    IncomingRequest request_;
    std::shared_ptr<const RoutingTable> table_; //!< Table at the last attempt, or at the arrival.
    Route route_;
    TeamName team_;
    int urgency_ = 0; //!< See RoutingTable::urgency(); 0 is the most urgent.
    PoolName pool_;
    WorkProfile work_;
    Fingerprint fingerprint_;
    std::vector<Fingerprint> sharedParts_; //!< All parts of the prompt but the last.
    Instant deadline_;
    Timer deadlineTimer_;
    Timer waitTimer_;
    std::optional<WaitingList::Ticket> ticket_;

    std::shared_ptr<KnownServer> server_; //!< Server of the attempt in progress, or null.
    ServerLoad load_;                     //!< Load that the attempt adds to its server.
    std::unique_ptr<HttpCall> call_;
    std::optional<AnswerHead> answer_;
    std::string body_;
    EventSplitter splitter_;
    AnswerMemory::Share heldAnswer_;   //!< Memory of body_ or of the pending event.
    AnswerMemory::Share unreadAnswer_; //!< Memory of the bytes that the caller has not read.
    //! Id of the last event that the caller has received.
    std::optional<std::uint64_t> lastEventId_;
    std::vector<BackendServerName> excluded_;     //!< Servers of earlier attempts.
    std::vector<SocketAddress> triedAddresses_;   //!< Addresses of earlier attempts.
    HttpFailure lastFailure_ = HttpFailure::None; //!< Failure of the last attempt.
    int sentAttempts_ = 0;                        //!< Attempts that may have reached a server.
    int unsentAttempts_ = 0;
    bool isSendConfirmed_ = false; //!< onReady has allowed sending the request on a new connection.
    bool isStream_ = false;        //!< The response in progress is a stream of events.
    bool hasUnnumberedEvents_ = false; //!< The caller has received events without an id.
    bool hasDroppedCopy_ = false;      //!< A copy of an earlier response was dropped.
    bool hasBegun_ = false;            //!< An attempt has begun to run at its server.
    bool mayHaveRun_ = false;          //!< An attempt may have run or may be running.
    //! Only the close of the connection marked the end of the last response.
    bool isEndedByClose_ = false;
    bool isTrial_ = false; //!< The attempt in progress is the trial of a refused part.
    bool isEnded_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_FORWARDEDREQUEST_H
