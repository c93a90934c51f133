#include "deployment.h"
#include "scriptedserver.h"

#include "../transport/answerreader.h"
#include "../transport/rawclient.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <ostream>
#include <set>

using namespace crocusport;

namespace {

using Act = ScriptedServer::Step::Act;
using Step = ScriptedServer::Step;

//! Number of cases in a run of CI; RC_PARAMS="max_success=N" sets another number.
constexpr int kCasesInCi = 20;
//! Maximum number of requests in a case.
constexpr int kMaxRequests = 10;
//! Maximum number of events in a stream.
constexpr std::size_t kMaxEvents = 5;
//! Additional weight of Own::Length, so that most attempts are answered correctly and connections
//! are reused.
constexpr int kPlainWeight = 20;
//! Exclusive bound of AttemptPlan::cut, which is reduced modulo the size of what is truncated.
constexpr std::size_t kMaxCut = 1000;
//! Maximum number of servers. With fewer servers, connections are reused more often.
constexpr int kMaxServers = 3;
//! Deadline of the requests; short, so that servers that never answer cost little time.
constexpr int kDeadlineMs = 120;
//! Idle time in which bytes can arrive while no request is waiting for an answer.
constexpr Milliseconds kIdle { 5 };

//! Numbers of bytes that a server writes at once; 0: all.
const std::vector<std::size_t> kPieces = { 0, 0, 0, 1, 7 };

const std::vector<std::string> kKinds = { "safe", "unsafe", "stream", "patient", "fragile" };

bool isStreamKind(const std::string &kind)
{
    return kind == "stream" || kind == "patient" || kind == "fragile";
}

bool isIdempotentKind(const std::string &kind)
{
    return kind != "unsafe" && kind != "fragile";
}

//! What a server sends on the connection before an attempt's own answer.
enum class Before {
    Nothing,
    Interim,
    Copy,
    ChunkedCopy,
    CutCopy,
    CopyWithoutId,
    ChunkedCopyWithoutId,
    FailureWithoutId,
    Junk,
    Count
};

//! What a server sends as an attempt's own answer.
enum class Own {
    Length,
    Chunked,
    ClosedAtEnd,
    ResetAtEnd,
    Cut,
    CutChunked,
    JunkInHead,
    JunkInChunks,
    EarlyLastChunk,
    FromStart, //!< A resumed stream that begins with its first event.
    Nothing,
    Failure500,
    Failure404,
    Redirect301,
    Sealed503,
    NotRun503,
    Misdirected421,
    Count
};

//! Answers that interrupt a stream.
const std::vector<Own> kStreamCuts = { Own::CutChunked, Own::ResetAtEnd, Own::JunkInChunks,
                                       Own::EarlyLastChunk };

//! What a server sends after an attempt's own answer.
enum class Behind {
    Nothing,
    Copy,
    CopyWithoutId,
    Junk,
    LateCopy,
    LateCopyWithoutId,
    LateJunk,
    Count
};

enum class Ending { Keep, Close, Reset, Count };

struct AttemptPlan
{
    Before before = Before::Nothing;
    Own own = Own::Length;
    Behind behind = Behind::Nothing;
    Ending ending = Ending::Keep;
    std::size_t cut = 0;   //!< Random; gives truncation offsets, chunk sizes and pauses.
    std::size_t piece = 0; //!< Bytes written at once; 0: all.

    friend std::ostream &operator<<(std::ostream &out, const AttemptPlan &plan)
    {
        return out << "{before " << static_cast<int>(plan.before) << " own "
                   << static_cast<int>(plan.own) << " behind " << static_cast<int>(plan.behind)
                   << " ending " << static_cast<int>(plan.ending) << " cut " << plan.cut
                   << " piece " << plan.piece << '}';
    }
};

struct RequestPlan
{
    std::string kind;
    std::size_t events = 1;
    std::size_t lastEventId = 0; //!< The last event that the caller has; 0: none.
    bool waitsBefore = false;
    std::vector<AttemptPlan> attempts; //!< Later attempts get a correct answer.

    friend std::ostream &operator<<(std::ostream &out, const RequestPlan &plan)
    {
        out << plan.kind << " events " << plan.events << " after " << plan.lastEventId
            << (plan.waitsBefore ? " waits" : "");
        for (const auto &attempt : plan.attempts)
            out << ' ' << attempt;
        return out;
    }
};

//! Draws one value; the default one has an additional weight of \a plainWeight.
template<typename Value>
Value drawOne(int plainWeight)
{
    const auto count = static_cast<int>(Value::Count);
    const auto drawn = *rc::gen::inRange(0, count + plainWeight);
    return drawn < count ? static_cast<Value>(drawn) : Value {};
}

//! Draws an attempt whose own answer is Own::Length with an additional weight of \a plainWeight.
AttemptPlan drawAttempt(int plainWeight)
{
    AttemptPlan plan;
    plan.before = drawOne<Before>(20);
    plan.own = drawOne<Own>(plainWeight);
    plan.behind = drawOne<Behind>(10);
    plan.ending = drawOne<Ending>(10);
    plan.cut = *rc::gen::inRange<std::size_t>(0, kMaxCut);
    plan.piece = *rc::gen::elementOf(kPieces);
    return plan;
}

RequestPlan drawRequest()
{
    RequestPlan plan;
    plan.kind = *rc::gen::elementOf(kKinds);
    plan.events = *rc::gen::inRange<std::size_t>(1, kMaxEvents + 1);
    if (isStreamKind(plan.kind) && *rc::gen::inRange(0, 4) == 0)
        plan.lastEventId = *rc::gen::inRange<std::size_t>(1, plan.events + 1) - 1;
    plan.waitsBefore = *rc::gen::arbitrary<bool>();
    // Attempts that follow an interrupted stream would be rare otherwise.
    const bool breaks = isStreamKind(plan.kind) && *rc::gen::arbitrary<bool>();
    if (breaks) {
        AttemptPlan first;
        first.own = *rc::gen::elementOf(kStreamCuts);
        first.cut = *rc::gen::inRange<std::size_t>(0, kMaxCut);
        plan.attempts.push_back(first);
    }
    const auto attempts = *rc::gen::inRange(0, 5);
    for (int i = 0; i < attempts; ++i)
        plan.attempts.push_back(drawAttempt(breaks ? 0 : kPlainWeight));
    return plan;
}

//! Draws the number of servers and the requests.
std::pair<int, std::vector<RequestPlan>> drawCase()
{
    const auto servers = *rc::gen::inRange(1, kMaxServers + 1);
    const auto count = *rc::gen::inRange(1, kMaxRequests + 1);
    return { servers, *rc::gen::container<std::vector<RequestPlan>>(count, rc::gen::exec([] {
                                                                        return drawRequest();
                                                                    })) };
}

std::string event(const std::string &id, std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: piece-" + std::to_string(number) + "-of-" + id
        + "\n\n";
}

std::string events(const std::string &id, std::size_t after, std::size_t last)
{
    std::string text;
    for (auto number = after + 1; number <= last; ++number)
        text += event(id, number);
    return text;
}

//! Returns the complete body of an answer to \a id; of a stream, the events after \a after.
std::string ownBody(const std::string &id, const RequestPlan &plan, std::size_t after)
{
    if (isStreamKind(plan.kind))
        return events(id, after, plan.events);
    return "answer-to-" + id + std::string(plan.events, '.');
}

std::string head(const std::string &statusLine, const std::string &id)
{
    return "HTTP/1.1 " + statusLine + "\r\n"
        + (id.empty() ? std::string() : "X-Attempt-Id: " + id + "\r\n");
}

std::string seal(const std::string &id)
{
    return "X-Response-Seal: seal-of-" + id + "\r\n";
}

std::string lengthPart(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    if (bytes.empty())
        return {}; // An empty chunk would be the last one.
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string size;
    for (auto rest = bytes.size(); rest > 0; rest /= kDigits.size())
        size.insert(size.begin(), kDigits[rest % kDigits.size()]);
    return size + "\r\n" + bytes + "\r\n";
}

//! Returns \a body in chunks of \a size bytes, which may end in the middle of an event.
std::string chunks(const std::string &body, std::size_t size)
{
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += size)
        text += chunk(body.substr(at, size));
    return text;
}

//! Backend servers that answer attempts as their plans say, and count attempts and runs.
class Servers
{
public:
    Servers(EventLoop &loop, int count, const std::map<std::string, RequestPlan> &plans)
        : plans_(plans)
    {
        for (int i = 0; i < count; ++i)
            servers_.push_back(std::make_unique<ScriptedServer>(
                loop, [this](const auto &request) { return answer(request); }));
    }

    void registerAll(Deployment &deployment) const
    {
        for (std::size_t i = 0; i < servers_.size(); ++i)
            deployment.registerServer("scripted-" + std::to_string(i), servers_[i]->address());
    }

    int attempts(const std::string &id) const
    {
        const auto found = attempts_.find(id);
        return found == attempts_.end() ? 0 : found->second;
    }
    //! Number of attempts of \a id that may have run.
    int runs(const std::string &id) const
    {
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    std::vector<Step> answer(const ScriptedServer::Request &request);
    std::string copyOf(const std::string &id, bool hasId, bool isChunked) const;

    const std::map<std::string, RequestPlan> &plans_;
    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    std::map<std::string, int> attempts_;
    std::map<std::string, int> runs_;
};

//! Returns a duplicate of the complete answer to \a id.
std::string Servers::copyOf(const std::string &id, bool hasId, bool isChunked) const
{
    const auto body = ownBody(id, plans_.at(id), 0);
    constexpr std::size_t kChunk = 9;
    return head("200 OK", hasId ? id : "") + seal(id)
        + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" + chunks(body, kChunk) + "0\r\n\r\n"
                     : lengthPart(body));
}

std::vector<Step> Servers::answer(const ScriptedServer::Request &request)
{
    static const std::string kJunk = "\x01junk that is no answer\r\n\r\n";
    const auto &id = request.id;
    const auto &plan = plans_.at(id);
    const auto number = static_cast<std::size_t>(attempts_[id]++);
    const auto attempt = number < plan.attempts.size() ? plan.attempts[number] : AttemptPlan {};
    const auto after = request.lastEventId.value_or(0);
    const auto body = ownBody(id, plan, after);
    const auto success = head("200 OK", id) + seal(id);
    const auto middle = attempt.cut % (body.size() + 1);
    const auto chunkSize = attempt.cut % 30 + 1;
    const auto inChunks = "Transfer-Encoding: chunked\r\n\r\n" + chunks(body, chunkSize);
    const auto failure = [&](const std::string &status) {
        return head(status, id) + seal(id) + lengthPart("failure-of-" + id);
    };

    std::string text;
    const bool hasPrevious = !request.previousId.empty();
    switch (hasPrevious || attempt.before == Before::Interim || attempt.before == Before::Junk
                ? attempt.before
                : Before::Nothing) {
    case Before::Nothing:
    case Before::Count:
        break;
    case Before::Interim:
        text = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
        break;
    case Before::Copy:
        text = copyOf(request.previousId, true, false);
        break;
    case Before::ChunkedCopy:
        text = copyOf(request.previousId, true, true);
        break;
    case Before::CutCopy:
        text = copyOf(request.previousId, true, attempt.cut % 2 == 0);
        // Only the body is truncated: a truncated head has its own test.
        text.resize(text.find("\r\n\r\n") + 4
                    + attempt.cut
                        % ownBody(request.previousId, plans_.at(request.previousId), 0).size());
        break;
    case Before::CopyWithoutId:
        text = copyOf(request.previousId, false, false);
        break;
    case Before::ChunkedCopyWithoutId:
        text = copyOf(request.previousId, false, true);
        break;
    case Before::FailureWithoutId:
        text = head("503 Service Unavailable", "") + "X-Not-Executed: 1\r\n" + lengthPart("");
        break;
    case Before::Junk:
        text = kJunk;
        break;
    }

    auto end = attempt.ending;
    bool hasRun = true;
    switch (attempt.own) {
    case Own::Length:
        text += success + lengthPart(body);
        break;
    case Own::Chunked:
    case Own::Count:
        text += success + inChunks + "0\r\n\r\n";
        break;
    case Own::ClosedAtEnd:
        text += success + "\r\n" + body;
        end = Ending::Close;
        break;
    case Own::ResetAtEnd:
        text += success + "\r\n" + body.substr(0, middle);
        end = Ending::Reset;
        break;
    case Own::Cut: {
        const auto whole = success + lengthPart(body);
        text += whole.substr(0, attempt.cut % whole.size());
        end = attempt.ending == Ending::Reset ? Ending::Reset : Ending::Close;
        break;
    }
    case Own::CutChunked: {
        const auto whole = success + inChunks;
        text += whole.substr(0, whole.size() - attempt.cut % inChunks.size());
        end = attempt.ending == Ending::Reset ? Ending::Reset : Ending::Close;
        break;
    }
    case Own::JunkInHead:
        text += success + kJunk + lengthPart(body);
        break;
    case Own::JunkInChunks:
        text += success + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, middle))
            + kJunk + chunk(body.substr(middle)) + "0\r\n\r\n";
        break;
    case Own::EarlyLastChunk:
        // If the last chunk followed complete events, the stream would count as complete, so the
        // last byte of the last event is left out.
        text += success + "Transfer-Encoding: chunked\r\n\r\n"
            + chunk(isStreamKind(plan.kind)
                        ? body.substr(0, std::max<std::size_t>(body.size(), 1) - 1)
                        : body)
            + "0\r\n\r\n";
        break;
    case Own::FromStart:
        text += success + lengthPart(ownBody(id, plan, 0));
        break;
    case Own::Nothing:
        end = end == Ending::Keep ? Ending::Reset : end;
        break;
    case Own::Failure500:
        text += failure("500 Internal Server Error");
        break;
    case Own::Failure404:
        text += failure("404 Not Found");
        break;
    case Own::Redirect301:
        text += failure("301 Moved Permanently");
        break;
    case Own::Sealed503:
        text += failure("503 Service Unavailable");
        break;
    case Own::NotRun503:
        text += head("503 Service Unavailable", id) + "X-Not-Executed: 1\r\n" + lengthPart("full");
        hasRun = false;
        break;
    case Own::Misdirected421:
        text += head("421 Misdirected Request", id) + "X-Not-Executed: 1\r\n" + lengthPart("");
        hasRun = false;
        break;
    }
    if (hasRun)
        ++runs_[id];

    // Bytes after a truncated answer, or after one without a length, would be a part of that
    // answer.
    const bool hasOwnEnd = attempt.own != Own::ClosedAtEnd && attempt.own != Own::ResetAtEnd
        && attempt.own != Own::Cut && attempt.own != Own::CutChunked;
    std::string late;
    switch (hasOwnEnd ? attempt.behind : Behind::Nothing) {
    case Behind::Nothing:
    case Behind::Count:
        break;
    case Behind::Copy:
        text += copyOf(id, true, attempt.cut % 2 == 0);
        break;
    case Behind::CopyWithoutId:
        text += copyOf(id, false, attempt.cut % 2 == 0);
        break;
    case Behind::Junk:
        text += kJunk;
        break;
    case Behind::LateCopy:
        late = copyOf(id, true, attempt.cut % 2 == 0);
        break;
    case Behind::LateCopyWithoutId:
        late = copyOf(id, false, attempt.cut % 2 == 0);
        break;
    case Behind::LateJunk:
        late = kJunk;
        break;
    }

    std::vector<Step> steps;
    const auto piece = attempt.piece == 0 ? std::max<std::size_t>(text.size(), 1) : attempt.piece;
    for (std::size_t at = 0; at < text.size(); at += piece)
        steps.push_back({ Act::Send, text.substr(at, piece), {} });
    if (!late.empty())
        steps.push_back({ Act::Send, late, Milliseconds(attempt.cut % 4) });
    if (end != Ending::Keep)
        steps.push_back(
            { end == Ending::Close ? Act::Close : Act::Reset, {}, Milliseconds(attempt.cut % 3) });
    return steps;
}

//! A caller's connection and the ids of the requests sent on it.
struct CallerConnection
{
    CallerConnection(EventLoop &loop, const SocketAddress &address) : client(loop, address) { }

    ReadConnection read() const { return client.read(ids.size()); }

    bool hasAnswered() const
    {
        const auto connection = read();
        return client.isClosed() || !connection.fault.empty()
            || (connection.answers.size() == ids.size() && connection.answers.back().isComplete);
    }

    RawClient client;
    std::vector<std::string> ids;
};

std::string requestText(const std::string &id, const RequestPlan &plan)
{
    auto text = "POST /" + plan.kind + "/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: "
        + id + "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs)
        + "\r\nAuthorization: Token key-1\r\n";
    if (plan.lastEventId > 0)
        text += "Last-Event-Id: " + std::to_string(plan.lastEventId) + "\r\n";
    return text + "Content-Length: 4\r\n\r\nbody";
}

//! Returns what is wrong with \a answer to the request \a id, or an empty string.
std::string faultOf(const ReadAnswer &answer, const std::string &id, const RequestPlan &plan,
                    const Servers &servers)
{
    constexpr int kOk = 200;
    static const std::set<int> notRunStatuses = { 408, 421, 429, 503 };
    const auto named = answer.header("X-Attempt-Id");
    const auto sealed = answer.header("X-Response-Seal");
    const auto expected = ownBody(id, plan, plan.lastEventId);
    if (!named.empty() && named != id)
        return id + " is answered with the id " + named;
    if (answer.status == kOk) {
        if (sealed != "seal-of-" + id)
            return id + " has the seal " + sealed;
        if (answer.isComplete && answer.body != expected)
            return id + " is complete, but has the body " + answer.body;
        if (!answer.isComplete && !expected.starts_with(answer.body))
            return id + " is truncated, but has the body " + answer.body;
        return {};
    }
    if (!sealed.empty() && (sealed != "seal-of-" + id || answer.body != "failure-of-" + id))
        return id + " is a server's failure with the body " + answer.body;
    if (notRunStatuses.count(answer.status) > 0 && !isIdempotentKind(plan.kind)
        && servers.runs(id) > 0)
        return id + " is answered as not run though it may have run";
    return {};
}

} // namespace

// Guards against bytes on a caller's connection that are not the answers to its requests, whatever
// servers send before, after and instead of their answers.
TEST_CASE("A caller's connection carries the answers to its requests and nothing else")
{
    LoopRunner runner;
    int whole = 0;
    int cut = 0;
    int retried = 0;
    int caseNumber = 0;
    const auto property = [&] {
        // RapidCheck starts with small cases. A run has only few cases, so all have the full size.
        const auto [serverCount, drawn] =
            *rc::gen::resize(rc::kNominalSize, rc::gen::exec([] { return drawCase(); }));
        std::map<std::string, RequestPlan> plans;
        std::vector<std::string> order;
        ++caseNumber;
        for (const auto &plan : drawn) {
            order.push_back("r" + std::to_string(caseNumber) + "-" + std::to_string(order.size()));
            plans[order.back()] = plan;
        }
        Servers servers(runner.loop(), serverCount, plans);
        Deployment deployment(runner);
        deployment.configure(1);
        servers.registerAll(deployment);
        RC_ASSERT(deployment.waitReady());
        std::vector<std::unique_ptr<CallerConnection>> connections;
        for (const auto &id : order) {
            if (connections.empty() || connections.back()->client.isClosed())
                connections.push_back(std::make_unique<CallerConnection>(
                    runner.loop(), deployment.gateway->callersAddress()));
            auto &connection = *connections.back();
            if (plans[id].waitsBefore)
                runner.runFor(kIdle);
            connection.ids.push_back(id);
            connection.client.send(requestText(id, plans[id]));
            RC_ASSERT(runner.runUntil([&] { return connection.hasAnswered(); }));
        }
        runner.runFor(kIdle);
        for (const auto &connection : connections) {
            const auto read = connection->read();
            if (!read.fault.empty())
                RC_FAIL(read.fault + "\n" + connection->client.received());
            for (std::size_t i = 0; i < read.answers.size(); ++i) {
                const auto &id = connection->ids[i];
                const auto &answer = read.answers[i];
                const auto fault = faultOf(answer, id, plans[id], servers);
                RC_LOG(connection->client.received());
                if (!fault.empty())
                    RC_FAIL(fault);
                whole += answer.isComplete && answer.status == 200 ? 1 : 0;
                cut += answer.isComplete ? 0 : 1;
                retried +=
                    answer.isComplete && answer.status == 200 && servers.attempts(id) > 1 ? 1 : 0;
            }
        }
    };
    auto parameters = rc::detail::configuration().testParams;
    const auto *const given = std::getenv("RC_PARAMS");
    if (!given || std::string(given).find("max_success") == std::string::npos)
        parameters.maxSuccess = kCasesInCi;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    CAPTURE(whole, cut, retried);
    REQUIRE(result.is<rc::detail::SuccessResult>());
    // Without complete, truncated and retried answers, the property would hold without having been
    // tested.
    REQUIRE(whole > kCasesInCi / 2);
    REQUIRE(cut > 0);
    REQUIRE(retried > 0);
}
