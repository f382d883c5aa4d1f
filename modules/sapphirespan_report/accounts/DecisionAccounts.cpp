#include "sapphirespan_report/accounts/DecisionAccounts.h"

#include <numeric>

namespace sapphirespan {

std::uint64_t DecisionAccounts::totalDropped() const
{
    return std::accumulate(dropped.begin(), dropped.end(), std::uint64_t {0});
}

bool DecisionAccounts::addUp() const
{
    return fromFabric + fromPeers == forwarded + relayed + refused + totalDropped();
}

} // namespace sapphirespan
