#ifndef CROCUSPORT_DUTYREPORT_H
#define CROCUSPORT_DUTYREPORT_H

#include "pooldemand.h"
#include "usagecounter.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusport {

//! The datagram in which a router sends its counts and its demand to the holder of the duties.
struct DutyReport
{
    RouterName router;
    Incarnation incarnation;
    std::uint64_t sequence = 0; //!< Increases with each datagram of an incarnation.
    std::vector<WindowCounts> counts;
    std::map<PoolName, PoolDemand> demand;

    bool operator==(const DutyReport &) const = default;
};

//! Encodes a report as CBOR, in several datagrams of up to about 1,300 bytes if it is long. Numbers
//! them from report.sequence + 1. Safe from any thread.
std::vector<std::string> encodeDutyReport(const DutyReport &report);
//! Whether \a bytes start like a report of this kind. Safe from any thread.
bool isDutyReport(std::string_view bytes);
//! Returns the report, or nothing if it is malformed. Safe from any thread.
std::optional<DutyReport> decodeDutyReport(std::string_view bytes);

} // namespace crocusport

#endif // CROCUSPORT_DUTYREPORT_H
