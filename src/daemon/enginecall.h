#ifndef CROCUSPORT_ENGINECALL_H
#define CROCUSPORT_ENGINECALL_H

#include "backendcallrequest.h"
#include "backendcallresult.h"
#include "healthprobe.h"
#include "responsehead.h"

#include "crocusport/protocol/ssereader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace crocusport {

/*!
    Sends a chat completion to an engine as a stream and passes on its events, each one once and in
    order. When the stream breaks or makes no progress, a probe over a new connection decides: if
   the engine still runs, the stream is resumed over a new connection after the last event received
    (WHATWG HTML section 9.2.4, Last-Event-ID); otherwise the attempt is lost.

    Destroying the call cancels it: the engine sees its connection close.
    Thread safety: loop thread only.
*/
class EngineCall
{
public:
    using EventHandler = std::function<void(const SseEvent &event)>;
    using EndHandler = std::function<void(BackendCallResult)>;

    EngineCall(HttpClient &client, BackendCallRequest request, EventHandler onEvent,
               EndHandler onEnd);

private:
    void send(HttpCallRequest call);
    void sendFirst();
    void sendResume();
    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view data);
    void onStreamEvent(const SseEvent &event);
    void noteToken();
    void onCallEnd(const HttpCallEnd &end);
    void probe();
    void onProbe(const ProbeResult &probe);
    void finish(BackendCallEnd end);

    HttpClient &client_;
    BackendCallRequest request_;
    EventHandler onEvent_;
    EndHandler onEnd_;
    SseReader reader_;
    AnswerMemory::Share heldAnswer_; //!< For what reader_ and result_ hold.
    ResponseHead head_;
    ResponseOwner owner_ = ResponseOwner::Unknown;
    BackendCallResult result_;
    Instant started_;
    Instant lastToken_;
    std::uint64_t lastEventId_ = 0;
    std::uint32_t resumesWithoutProgress_ = 0;
    bool isResuming_ = false;
    bool isDone_ = false;
    bool isMalformed_ = false;
    std::unique_ptr<HttpCall> call_;
    std::unique_ptr<HealthProbe> probe_;
};

} // namespace crocusport

#endif // CROCUSPORT_ENGINECALL_H
