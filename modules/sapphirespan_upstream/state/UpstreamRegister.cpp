#include "sapphirespan_upstream/state/UpstreamRegister.h"

#include <tuple>

namespace sapphirespan {

bool supersedes(const UpstreamRegister &theirs, const UpstreamRegister &mine)
{
    return std::tie(theirs.version, theirs.phase, theirs.isSteered, theirs.writer)
        > std::tie(mine.version, mine.phase, mine.isSteered, mine.writer);
}

UpstreamRegister rewritten(const UpstreamRegister &current, UpstreamPhase phase, bool isSteered, std::uint32_t writer)
{
    return {current.version + 1, writer, phase, isSteered || phase != UpstreamPhase::open};
}

} // namespace sapphirespan
