#include "callerresponse.h"

#include <utility>

namespace crocusport {

CallerResponse::CallerResponse(std::shared_ptr<HttpExchange> exchange, RequestId request,
                               ResponseForm form, std::size_t maxWholeBytes,
                               std::size_t maxBufferedBytes, AnswerMemory &answerMemory)
    : exchange_(std::move(exchange)), request_(std::move(request)), form_(form),
      maxWholeBytes_(maxWholeBytes), maxBufferedBytes_(maxBufferedBytes), assembler_(maxWholeBytes),
      heldAnswer_(answerMemory)
{ }

bool CallerResponse::addEvent(const SseEvent &event)
{
    if (form_ == ResponseForm::Whole)
        return assembler_.add(event.data) && heldAnswer_.resize(assembler_.contentBytes());
    if (!exchange_->isStarted())
        exchange_->startStream(200,
                               { { "Content-Type", "text/event-stream" },
                                 { "Cache-Control", "no-store" },
                                 { "X-Request-Id", request_.value() } });
    eventText_.clear();
    appendSseEvent(eventText_, event);
    exchange_->sendChunk(eventText_);
    return exchange_->bufferedBytes() <= maxBufferedBytes_;
}

void CallerResponse::discardEvents()
{
    assembler_ = ChatAssembler(maxWholeBytes_);
    heldAnswer_.release();
}

void CallerResponse::finish(const AnswerStatus &status)
{
    if (exchange_->isStarted()) {
        if (status.outcome == Outcome::Completed)
            exchange_->sendChunk("data: [DONE]\n\n");
        exchange_->sendChunk(outcomeEvent(request_, status));
        exchange_->endStream();
        return;
    }
    const bool isCompleted = status.outcome == Outcome::Completed;
    finishWithBody(status, httpStatusFor(status), "application/json",
                   isCompleted ? assembler_.answer() : errorBody(request_, status));
}

void CallerResponse::finishWithBody(const AnswerStatus &status, int httpStatus,
                                    const std::string &contentType, std::string_view body)
{
    auto headers = outcomeHeaders(request_, status);
    headers.emplace_back("Content-Type",
                         contentType.empty() ? "application/octet-stream" : contentType);
    exchange_->reply(httpStatus, headers, body);
}

} // namespace crocusport
