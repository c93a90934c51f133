#ifndef CROCUSPORT_LOADREQUEST_H
#define CROCUSPORT_LOADREQUEST_H

#include "../common/taskqueue.h"
#include "answercheck.h"
#include "classstatistics.h"
#include "crocusport/transport/httpclient.h"
#include "eventstreamreader.h"
#include "requestplan.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusport {

//! What all requests of a run share.
struct LoadEnvironment
{
    HttpClient &client;
    TaskQueue &tasks;
    const Mix &mix;
    std::vector<SocketAddress> routers;
    std::mt19937_64 random;
};

/*!
    One request of a caller with all its attempts. Reads the answer as it arrives and checks it.

    Thread safety: loop thread only.
*/
class LoadRequest : public std::enable_shared_from_this<LoadRequest>
{
public:
    using DoneHandler = std::function<void(const LoadRequest &request)>;

    LoadRequest(LoadEnvironment &environment, const LoadClass &loadClass, RequestPlan plan,
                DoneHandler onDone);

    void start();
    //! The caller gives up: closes the connection and ends the request as timed out.
    void giveUp();

    const LoadClass &loadClass() const { return class_; }
    const RequestPlan &plan() const { return plan_; }
    const RequestRecord &record() const { return record_; }
    //! Whether each attempt was answered with "not run".
    bool isToldNotRun() const { return isToldNotRun_; }

private:
    void startAttempt();
    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view data);
    void onEvent(std::string_view name, std::string_view data);
    void onEnd(const HttpCallEnd &end);
    RequestResult resultOf(const HttpCallEnd &end);
    RequestResult resultFromOutcome();
    AnswerVerdict checkWholeAnswer();
    AnswerVerdict checkServiceAnswer() const;
    bool isRetried(RequestResult result) const;
    void finish(RequestResult result);

    LoadEnvironment &environment_;
    const LoadClass &class_;
    RequestPlan plan_;
    DoneHandler onDone_;
    RequestRecord record_;
    Instant arrived_;
    std::size_t router_ = 0;
    bool isToldNotRun_ = true;
    bool isDone_ = false;

    // Of the current attempt.
    std::unique_ptr<HttpCall> call_;
    AnswerCheck check_;
    EventStreamReader reader_;
    std::string body_;
    std::string outcome_;
    std::string code_;
    int status_ = 0;
    bool isMarkedNotRun_ = false;
    bool hasDoneMark_ = false;
    std::optional<double> retryAfterSeconds_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOADREQUEST_H
