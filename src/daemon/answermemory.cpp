#include "answermemory.h"

namespace crocusport {

bool AnswerMemory::Share::resize(std::size_t bytes)
{
    const auto wanted = bytes > kOwnBytes ? bytes - kOwnBytes : 0;
    const auto others = memory_.borrowedBytes_ - borrowed_;
    if (wanted > borrowed_
        && (wanted > memory_.sharedBytes_ / kMaxPartOfShared
            || others + wanted > memory_.sharedBytes_))
        return false;
    memory_.borrowedBytes_ = others + wanted;
    borrowed_ = wanted;
    return true;
}

} // namespace crocusport
