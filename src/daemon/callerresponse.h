#ifndef CROCUSPORT_CALLERRESPONSE_H
#define CROCUSPORT_CALLERRESPONSE_H

#include "answer.h"
#include "answermemory.h"
#include "chatassembler.h"

#include "crocusport/protocol/ssereader.h"
#include "crocusport/transport/httpexchange.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace crocusport {

//! How the caller wants the answer to a chat completion.
enum class ResponseForm { Whole, Stream };

/*!
    Writes one answer to the caller: a stream of events that ends with the outcome, or one whole
    body. A stream that was begun and not completed ends with an error event and never with the
    engine's end marker.

    Thread safety: loop thread only.
*/
class CallerResponse
{
public:
    CallerResponse(std::shared_ptr<HttpExchange> exchange, RequestId request, ResponseForm form,
                   std::size_t maxWholeBytes, std::size_t maxBufferedBytes,
                   AnswerMemory &answerMemory);

    //! Adds one event of the engine's stream. Returns false when the answer cannot go on: it is too
    //! large, or the caller reads too slowly.
    bool addEvent(const SseEvent &event);
    //! Forgets the events of a failed attempt. Precondition: !isBegun().
    void discardEvents();
    //! Ends the answer to a chat completion, or refuses it when nothing was sent.
    void finish(const AnswerStatus &status);
    //! Sends a plain service's answer.
    void finishWithBody(const AnswerStatus &status, int httpStatus, const std::string &contentType,
                        std::string_view body);
    //! Whether bytes of an answer have been sent to the caller.
    bool isBegun() const { return exchange_->isStarted(); }

private:
    std::shared_ptr<HttpExchange> exchange_;
    RequestId request_;
    ResponseForm form_;
    std::size_t maxWholeBytes_;
    std::size_t maxBufferedBytes_;
    ChatAssembler assembler_;
    AnswerMemory::Share heldAnswer_; //!< For the text that assembler_ collects.
    std::string eventText_;
};

} // namespace crocusport

#endif // CROCUSPORT_CALLERRESPONSE_H
