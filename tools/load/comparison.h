#ifndef CROCUSPORT_COMPARISON_H
#define CROCUSPORT_COMPARISON_H

#include "crocusport/state/error.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace crocusport {

/*!
    Puts the reports of several runs side by side: one row for each scenario and policy, with the
    mean over the seeds.

    Thread safety: none; use from one thread.
*/
class Comparison
{
public:
    //! Reads report files. Fails with FileUnreadable or BadJson.
    static Result<Comparison> load(const std::vector<std::string> &files);
    //! \a reports are those of LoadReport.
    explicit Comparison(const std::vector<nlohmann::json> &reports);

    const nlohmann::json &rows() const { return rows_; }
    void printTable(std::ostream &stream) const;

private:
    nlohmann::json rows_ = nlohmann::json::array();
};

} // namespace crocusport

#endif // CROCUSPORT_COMPARISON_H
