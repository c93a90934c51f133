#ifndef CROCUSPORT_TEXTTABLE_H
#define CROCUSPORT_TEXTTABLE_H

#include <string>
#include <vector>

namespace crocusport {

/*!
    Lines of text in columns of equal width.

    Thread safety: none; use from one thread.
*/
class TextTable
{
public:
    using Row = std::vector<std::string>;

    explicit TextTable(Row heading) : rows_ { std::move(heading) } { }

    //! Precondition: \a row has as many cells as the heading.
    void add(Row row) { rows_.push_back(std::move(row)); }
    //! Returns all lines, each indented by two spaces and without spaces at its end.
    std::string text() const;

private:
    std::vector<Row> rows_;
};

} // namespace crocusport

#endif // CROCUSPORT_TEXTTABLE_H
