/** @file
    The size of the reports between instances, whatever the entries of upstreams hold.
*/
#include "model/CookieFleetModel.h"

#include <boost/test/unit_test.hpp>

using namespace sapphirespan;
using namespace sapphirespan::model;
using namespace std::chrono_literals;

/** Texts of another writer made reports longer than a datagram, so that peers heard nothing any more. */
BOOST_AUTO_TEST_CASE(longTextsLeaveReportsWithinADatagram)
{
    const ModelFormat format;
    ManualClock clock;
    CookieInstanceSettings settings;
    settings.name = "entry-1";
    settings.dataCentre = "a";
    settings.reportEndpoint = toEndpoint({0x0a000001, 7720});
    settings.controlEndpoint = toEndpoint({0x0a000001, 7721});
    CookieInstance instance(settings, format, clock);
    PeerReport heard;
    heard.sender = {"entry-2", 1, "a", toEndpoint({0x0a000002, 7720}), toEndpoint({0x0a000002, 7721})};
    heard.sequenceNumber = 1;
    heard.phase = PeerPhase::serving;
    heard.verdicts.resize(20);
    for (std::uint32_t number = 0; number < heard.verdicts.size(); ++number) {
        heard.verdicts[number].subject.dataCentre = std::string(700, 'z') + std::to_string(number);
        heard.verdicts[number].prober = 5;
        heard.verdicts[number].proberDataCentre = "a";
        heard.verdicts[number].result = ProbeResult::silent;
    }
    instance.beginBatch();
    instance.upstreamsListed({1, {}, {}});
    instance.routesArrived({1, 1, 15s, {{{0xc6120001, 443}, {{"orders", 1}}}}});
    UpstreamChanges changes;
    for (UpstreamId id = 1; id <= 6; ++id) {
        UpstreamEntry entry;
        entry.id = id;
        entry.revision = 1 + id;
        entry.service = id == 3 ? std::string(1 << 20, 's') : "orders";
        entry.dataCentre = id == 4 ? std::string(9000, 'd') : "a";
        entry.address = {0x0a800000 + static_cast<std::uint32_t>(id), 8080};
        changes.entries.push_back(entry);
    }
    instance.upstreamsChanged(changes);
    instance.peerDatagramArrived(encode(heard));
    clock.advance(500ms);
    instance.tick();
    std::size_t reports = 0;
    for (const auto &output : instance.outbox().outputs()) {
        if (output.kind == CookieOutputKind::report) {
            ++reports;
            BOOST_TEST(output.payload.size() <= maxReportBytes);
            const auto report = decodeReport(output.payload);
            BOOST_REQUIRE(report.has_value());
            BOOST_TEST(report->upstreamChanges.size() == 4U);
            BOOST_TEST(!report->verdicts.empty());
        }
    }
    BOOST_TEST(reports >= 1U);
}
