#include "sapphirespan_report/sapphirespan_report.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;

BOOST_AUTO_TEST_CASE(accountsAddUpOnlyWhenEachPacketHasOneFate)
{
    DecisionAccounts accounts;
    accounts.fromFabric = 3;
    accounts.fromPeers = 1;
    accounts.forwarded = 2;
    accounts.relayed = 1;
    BOOST_TEST(!accounts.addUp());
    ++accounts.dropped[static_cast<std::size_t>(DropReason::hopLimit)];
    BOOST_TEST(accounts.addUp());
}
