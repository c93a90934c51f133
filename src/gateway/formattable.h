#ifndef CROCUSPORT_FORMATTABLE_H
#define CROCUSPORT_FORMATTABLE_H

#include "crocusport/gateway/wiremessages.h"

namespace crocusport {

//! Pointers to the functions of a WireFormats type. With these, the gateway is compiled once, and
//! not as a template for each type.
struct FormatTable
{
    IncomingRequest (*decodeRequest)(const HttpExchange &);
    HttpHeaders (*attemptHeaders)(const IncomingRequest &, const AttemptHead &);
    AnswerHead (*decodeAnswer)(int, const HttpHeaders &);
    std::string_view (*readyTarget)();
    std::optional<StoreEra> (*storeEra)(const HttpHeaders &);
    HttpCallRequest (*rangeCall)(const std::string &, const std::string &);
    Result<StorePage> (*decodeRange)(StoreEra, std::string_view);
    HttpCallRequest (*watchCall)(const std::string &, StoreRevision);
    Result<StorePage> (*decodeWatch)(StoreEra, std::string_view);
    HttpCallRequest (*putCall)(const std::string &, const std::string &);
    HttpCallRequest (*removeCall)(const std::string &);
    HttpCallRequest (*itemCall)(const std::string &);
    Result<StoreEntry> (*decodeItem)(std::string_view);
    HttpCallRequest (*swapCall)(const CompareAndSwap &);
    Result<SwapReply> (*decodeSwap)(const CompareAndSwap &, int, std::string_view);
    HttpCallRequest (*leaseCall)(Milliseconds);
    Result<LeaseId> (*decodeLease)(std::string_view);
    HttpCallRequest (*keepLeaseCall)(LeaseId);
    HttpCallRequest (*endLeaseCall)(LeaseId);
    std::string (*usageBody)(const UsageReport &);
    HttpCallRequest (*usageCall)(const std::string &, const DutyAuthority &);
    HttpCallRequest (*orderCall)(const ServerOrder &, const DutyAuthority &);
    bool (*isConfigurationKey)(const std::string &);
    Result<RoutingConfiguration> (*decodeConfiguration)(std::string_view);
    std::optional<BackendServerName> (*serverNameOfKey)(const std::string &);
    Result<ServerEntry> (*decodeServer)(const BackendServerName &, std::string_view);
};

template<WireFormats Formats>
constexpr FormatTable formatTable()
{
    return { Formats::decodeRequest,   Formats::attemptHeaders,     Formats::decodeAnswer,
             Formats::readyTarget,     Formats::storeEra,           Formats::rangeCall,
             Formats::decodeRange,     Formats::watchCall,          Formats::decodeWatch,
             Formats::putCall,         Formats::removeCall,         Formats::itemCall,
             Formats::decodeItem,      Formats::swapCall,           Formats::decodeSwap,
             Formats::leaseCall,       Formats::decodeLease,        Formats::keepLeaseCall,
             Formats::endLeaseCall,    Formats::usageBody,          Formats::usageCall,
             Formats::orderCall,       Formats::isConfigurationKey, Formats::decodeConfiguration,
             Formats::serverNameOfKey, Formats::decodeServer };
}

} // namespace crocusport

#endif // CROCUSPORT_FORMATTABLE_H
