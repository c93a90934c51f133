#ifndef CROCUSPORT_CLASSFILES_H
#define CROCUSPORT_CLASSFILES_H

#include "crocusport/state/configuration.h"
#include "crocusport/state/error.h"

#include <string>
#include <vector>

namespace crocusport {

//! One class or pool file.
struct ClassFile
{
    std::string path; //!< A file with the name pool.toml holds pools and teams, others one class.
    std::string text;
};

/*!
    Reads and checks all class files and pool files below \a directory (docs/class-files.md). The
    version and publish id of the result are empty. Fails with FileUnreadable, BadClassFile, or
    ConflictingClassFiles when files only disagree with each other; the message has one line for
    each fault, with file and line. Safe from any thread.
*/
Result<Configuration> loadClassFiles(const std::string &directory);

//! Like loadClassFiles(), from the content of files. Safe from any thread.
Result<Configuration> parseClassFiles(const std::vector<ClassFile> &files);

//! Returns the reference of the keys of class files and pool files in Markdown.
std::string classFileReference();

} // namespace crocusport

#endif // CROCUSPORT_CLASSFILES_H
