#ifndef CROCUSPORT_FORWARDEDREQUEST_H
#define CROCUSPORT_FORWARDEDREQUEST_H

#include "answermemory.h"
#include "eventsplitter.h"
#include "gatewayservices.h"
#include "requestaccount.h"

#include "crocusport/transport/timer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusport {

/*!
    One caller's request from its arrival to its one final answer: route and key, place on a backend
    server, attempts, answer.

    An answer says that the request has not run (503) only when no byte of it can have reached a
    server that may run it. A stream that breaks goes on at another server where its route allows
    that, after the last whole event that the caller has got.

    Thread safety: loop thread only.
*/
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    //! Handles the request of \a exchange; it stays in \a services.open until it has ended.
    static void start(GatewayServices &services, std::shared_ptr<HttpExchange> exchange);

    ForwardedRequest(GatewayServices &services, std::shared_ptr<HttpExchange> exchange);
    ~ForwardedRequest();

    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

private:
    //! Why an attempt has ended without an answer for the caller.
    enum class AttemptFault {
        NotSent, //!< No connection was made.
        NotRun,  //!< The server says that it did not run the request.
        Broken,  //!< The connection broke, or the answer was wrong; the request may have run.
        Failed,  //!< The server answered with a failure of its own.
    };

    //! Calls \a function; when it fails with an exception, this request ends, and no other.
    template<typename Function>
    void guard(Function &&function);
    void begin();
    bool findRoute();
    bool findTeam();
    void describeWork();
    void choosePool();
    bool isStillAllowed() const;
    //! Whether servers have crashed under requests like this one, so that none may get it.
    bool isCrashCause() const;

    void place();
    bool tryPlace();
    void wait();
    //! Until when the request may wait for a place.
    Instant latestWait() const;
    void onWaitedTooLong();
    void startAttempt(const ServerSelector::Choice &choice);
    HttpCallRequest makeCall(const KnownServer &server) const;
    //! Whether the request may still be sent to its server.
    bool isStillSound() const;
    //! Whether the attempt goes on though its server has been silent.
    bool isWorthWaiting();
    void onHead(int status, const HttpHeaders &headers);
    void logRejectedAnswer(bool isForeign) const;
    void rejectAnswer(HttpFailure failure);
    //! Takes in what the answer's head says of the server beside the request.
    void noteServerWishes();
    void onBody(std::string_view data);
    void onEvents(const EventBatch &batch);
    void onEnd(const HttpCallEnd &end);
    bool hasCopyInBody() const;
    void onWholeAnswer();
    void releaseServer();
    void noteFault(AttemptFault fault, const HttpCallEnd &end);
    //! The server's connection was closed without an answer.
    void noteCrash(Instant now);
    //! The attempt is given up; its server may have ended.
    void noteUnanswered(Instant now);
    CrashEvidence crashEvidence() const;
    //! Whether bytes of the attempt in progress may have left.
    bool isSent() const;
    void onFault(AttemptFault fault, ResultCode code);
    //! Whether the request may be sent once more after \a fault.
    bool isRepeatAllowed(AttemptFault fault) const;
    //! Whether the request is sent once more after \a fault; takes it out of the retry budget.
    bool mayRepeat(AttemptFault fault);

    void onCallerLeft();
    void onDeadline();
    void refuse(int status, ResultCode code, std::optional<Duration> retryAfter = {});
    void finishFault(ResultCode code);
    void deliver();
    void end(Outcome outcome, ResultCode code, int status);
    void logAttempt(std::string_view event, ResultCode code) const;
    //! Age of what the router knows of the store, or -1 before it has read it.
    std::int64_t knownAgeMs() const;

    GatewayServices &services_;
    std::shared_ptr<HttpExchange> exchange_;
    RequestAccount account_;
    IncomingRequest request_;
    std::shared_ptr<const RoutingTable> table_; //!< In force when the request was placed last.
    Route route_;
    TeamName team_;
    int urgency_ = 0; //!< Among all requests; 0 is the first.
    PoolName pool_;
    WorkProfile work_;
    Fingerprint fingerprint_;
    Instant deadline_;
    Timer deadlineTimer_;
    Timer waitTimer_;
    std::optional<WaitingList::Ticket> ticket_;

    std::shared_ptr<KnownServer> server_; //!< Of the attempt in progress.
    ServerLoad load_;                     //!< That the attempt adds to its server.
    std::unique_ptr<HttpCall> call_;
    std::optional<AnswerHead> answer_;
    std::string body_;
    EventSplitter splitter_;
    AnswerMemory::Share heldAnswer_;              //!< For body_ and the event that is not complete.
    AnswerMemory::Share unreadAnswer_;            //!< For what the caller has not read.
    std::optional<std::uint64_t> lastEventId_;    //!< That the caller has.
    std::vector<BackendServerName> excluded_;     //!< Servers of earlier attempts.
    std::vector<SocketAddress> triedAddresses_;   //!< Addresses of earlier attempts.
    HttpFailure lastFailure_ = HttpFailure::None; //!< Of the last attempt.
    int sentAttempts_ = 0;                        //!< That may have reached a server.
    int unsentAttempts_ = 0;
    bool isSound_ = false;             //!< The new connection of the attempt was taken into use.
    bool isStream_ = false;            //!< The answer in progress is a stream of events.
    bool hasUnnumberedEvents_ = false; //!< The caller has events without a number.
    bool hasDroppedCopy_ = false;      //!< The attempt has met the answer to an earlier request.
    bool mayHaveRun_ = false;          //!< An attempt may have run, or runs.
    bool isEndedByClose_ = false;      //!< Only the close of its connection ended the last answer.
    bool isEnded_ = false;
};

} // namespace crocusport

#endif // CROCUSPORT_FORWARDEDREQUEST_H
