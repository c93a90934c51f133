#ifndef CROCUSPORT_LOADREPORT_H
#define CROCUSPORT_LOADREPORT_H

#include "backendtruth.h"
#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace crocusport {

/*!
    The report of one run.

    Thread safety: none; use from one thread.
*/
class LoadReport
{
public:
    LoadReport(const LoadGenerator &generator, const BackendTruth &truth,
               const LoadOptions &options, Duration elapsed);

    const nlohmann::json &json() const { return report_; }
    void printTable(std::ostream &stream) const;
    //! Whether no answer was bad, no booking ran twice and no outcome told to a caller was false.
    bool isCorrect() const;

private:
    nlohmann::json report_;
};

} // namespace crocusport

#endif // CROCUSPORT_LOADREPORT_H
