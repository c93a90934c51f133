#ifndef CROCUSPORT_WIREMESSAGES_H
#define CROCUSPORT_WIREMESSAGES_H

#include "crocusport/coordination/storeposition.h"
#include "crocusport/gateway/routingtable.h"
#include "crocusport/gateway/serverentry.h"
#include "crocusport/transport/httpclient.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! A part of a prompt; prompts of other requests may contain a part with the same id.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

//! A caller's request, as far as the router interprets it.
struct IncomingRequest
{
    std::string id; //!< Unique for each attempt of a caller; empty if none was sent.
    std::string host;
    //! The key by which the request names its caller; nothing if it names none. Empty if it names
    //! one in a way that is not understood, which is not the same as naming none.
    std::optional<std::string> key;
    std::optional<Duration> timeLimit; //!< How long the caller waits for the response.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; //!< Estimated by the caller.
    std::vector<PromptPart> parts;                     //!< Parts of the prompt, in order.
    std::optional<std::uint64_t> lastEventId;          //!< The caller has all events up to this id.
    HttpHeaders passedHeaders;                         //!< Forwarded unchanged.
};

//! What the router adds to a request that it sends to a backend server.
struct AttemptHead
{
    BackendServerName server; //!< The intended server; any other must reject the request.
    TeamName team;            //!< Empty for an anonymous caller.
    Duration remaining {};    //!< Time left until the request's deadline.
    int urgency = 0;          //!< 0 is the most urgent.
    //! If set, the stream resumes after this event.
    std::optional<std::uint64_t> lastEventId;
};

//! The head of a backend server's response, as far as the router interprets it.
struct AnswerHead
{
    int status = 0;
    std::string requestId;
    bool isSealed = false;      //!< Has the seal that proves that the backend server wrote it.
    bool isAmbiguous = false;   //!< The field of the request id, or of the seal, occurs twice.
    bool isNotExecuted = false; //!< The server states that the request has not run.
    bool isMisdirected = false; //!< Another server uses the address; the request has not run.
    bool isEncoded = false;     //!< The body is not as the backend server wrote it, but encoded.
    bool isLeaving = false;     //!< The server will stop soon and accepts no new requests.
    //! The server asks this router to send no requests for this long.
    std::optional<Duration> retryAfter;
    HttpHeaders passedHeaders; //!< Forwarded to the caller unchanged.
};

//! The current value of an item of the store, or its deletion.
struct StoreChange
{
    std::string key;
    std::optional<std::string> value; //!< No value if the item was deleted.
    StorePosition position;
};

//! A page of items or changes, with the store's position at the time of its response.
struct StorePage
{
    std::vector<StoreChange> changes;
    StorePosition position;
    bool hasMore = false;
};

//! The right under which a router performs a duty.
struct DutyAuthority
{
    RouterName holder;
    FencingToken token; //!< Of two holders, the later one has the larger token.
};

//! The requests of each team that began to run at backend servers in a window of true time.
struct UsageReport
{
    std::uint64_t window = 0; //!< Number of the window, counted from the start of 1970.
    std::map<TeamName, std::uint64_t> counts;
};

//! An order that a pool shall have  count servers of one kind in a zone.
struct ServerOrder
{
    PoolName pool;
    AvailabilityZone zone;
    bool isSpot = false;
    std::uint32_t count = 0;

    bool operator==(const ServerOrder &) const = default;
};

/*!
    The message formats of a deployment: header names, keys and encodings that callers, backend
    servers and the store use. All functions are pure and contain no routing decisions.
*/
template<typename T>
concept WireFormats = requires(const HttpExchange &exchange, const IncomingRequest &request,
                               const AttemptHead &head, const HttpHeaders &headers,
                               const std::string &text, std::string_view body,
                               StoreRevision revision, StoreEra era, const CompareAndSwap &swap,
                               LeaseId lease, Milliseconds duration, const UsageReport &usage,
                               const ServerOrder &order, const DutyAuthority &authority)
{
    {
        T::decodeRequest(exchange)
        } -> std::same_as<IncomingRequest>;
    {
        T::attemptHeaders(request, head)
        } -> std::same_as<HttpHeaders>;
    {
        T::decodeAnswer(200, headers)
        } -> std::same_as<AnswerHead>;
    {
        T::readyTarget()
        } -> std::same_as<std::string_view>;
    {
        T::storeEra(headers)
        } -> std::same_as<std::optional<StoreEra>>;
    {
        T::rangeCall(text, text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeRange(era, body)
        } -> std::same_as<Result<StorePage>>;
    {
        T::watchCall(text, revision)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeWatch(era, body)
        } -> std::same_as<Result<StorePage>>;
    {
        T::putCall(text, text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::removeCall(text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::itemCall(text)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeItem(body)
        } -> std::same_as<Result<StoreEntry>>;
    {
        T::swapCall(swap)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeSwap(swap, 200, body)
        } -> std::same_as<Result<SwapReply>>;
    {
        T::leaseCall(duration)
        } -> std::same_as<HttpCallRequest>;
    {
        T::decodeLease(body)
        } -> std::same_as<Result<LeaseId>>;
    {
        T::keepLeaseCall(lease)
        } -> std::same_as<HttpCallRequest>;
    {
        T::endLeaseCall(lease)
        } -> std::same_as<HttpCallRequest>;
    {
        T::usageBody(usage)
        } -> std::same_as<std::string>;
    {
        T::usageCall(text, authority)
        } -> std::same_as<HttpCallRequest>;
    {
        T::orderCall(order, authority)
        } -> std::same_as<HttpCallRequest>;
    {
        T::isConfigurationKey(text)
        } -> std::same_as<bool>;
    {
        T::decodeConfiguration(body)
        } -> std::same_as<Result<RoutingConfiguration>>;
    {
        T::serverNameOfKey(text)
        } -> std::same_as<std::optional<BackendServerName>>;
    {
        T::decodeServer(BackendServerName(), body)
        } -> std::same_as<Result<ServerEntry>>;
};

} // namespace crocusport

#endif // CROCUSPORT_WIREMESSAGES_H
