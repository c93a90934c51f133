#include "texttable.h"

#include <algorithm>
#include <cstddef>

namespace crocusport {

std::string TextTable::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto &row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line.append(2, ' ').append(row[column]);
            line.append(widths[column] - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text.append(line).append("\n");
    }
    return text;
}

} // namespace crocusport
