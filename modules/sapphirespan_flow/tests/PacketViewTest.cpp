#include "sapphirespan_flow/sapphirespan_flow.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <memory>

using namespace sapphirespan;
using Bytes = std::vector<std::uint8_t>;

namespace {

Bytes tcpSegment(std::uint16_t flags, bool isV6 = false)
{
    Tins::TCP tcp(443, 40000);
    tcp.flags(flags);
    tcp.seq(7);
    if (isV6) {
        return (Tins::IPv6("fd00::2", "fd00::1") / tcp / Tins::RawPDU("data")).serialize();
    }
    return (Tins::IP("10.9.0.1", "10.8.0.1") / tcp / Tins::RawPDU("data")).serialize();
}

/** Parses from an allocation of exactly the packet's size, so that a read past the end is caught by a sanitizer. */
std::optional<PacketView> parseExact(const Bytes &bytes, DropReason &reason)
{
    const auto exact = std::make_unique<std::uint8_t[]>(bytes.size());
    std::copy(bytes.begin(), bytes.end(), exact.get());
    return parsePacket({exact.get(), bytes.size()}, reason);
}

} // namespace

BOOST_AUTO_TEST_CASE(readsTcpOverBothFamilies)
{
    DropReason reason {};
    for (const bool isV6 : {false, true}) {
        const auto syn = parseExact(tcpSegment(Tins::TCP::SYN, isV6), reason);
        BOOST_REQUIRE(syn);
        BOOST_TEST(syn->isSyn);
        BOOST_TEST(syn->flow.sourcePort == 40000);
        BOOST_TEST(syn->flow.destinationPort == 443);
        BOOST_TEST(syn->tcpSequence == 7U);
        BOOST_TEST(!parseExact(tcpSegment(Tins::TCP::SYN | Tins::TCP::ACK, isV6), reason)->isSyn);
    }
}

BOOST_AUTO_TEST_CASE(icmpErrorsFollowTheFlowTheyQuote)
{
    DropReason reason {};
    const auto answer = (Tins::IP("10.8.0.1", "10.9.0.1") / Tins::UDP(40000, 53) / Tins::RawPDU("answer")).serialize();
    const auto error = (Tins::IP("10.9.0.1", "10.7.0.1") / Tins::ICMP(Tins::ICMP::DEST_UNREACHABLE) / Tins::RawPDU(answer)).serialize();
    const auto view = parseExact(error, reason);
    BOOST_REQUIRE(view);
    BOOST_TEST(view->isQuoted);
    BOOST_TEST(view->flow.source.toText() == "10.8.0.1");
    BOOST_TEST(view->flow.destinationPort == 53);
    const auto foreign = (Tins::IP("10.9.0.2", "10.7.0.1") / Tins::ICMP(Tins::ICMP::DEST_UNREACHABLE) / Tins::RawPDU(answer)).serialize();
    BOOST_TEST(!parseExact(foreign, reason).has_value());
    BOOST_CHECK(reason == DropReason::malformed);
}

BOOST_AUTO_TEST_CASE(dropsAreNamed)
{
    DropReason reason {};
    auto fragment = tcpSegment(Tins::TCP::SYN);
    fragment[6] = 0x20;
    BOOST_TEST(!parseExact(fragment, reason).has_value());
    BOOST_CHECK(reason == DropReason::fragment);
    BOOST_TEST(!parseExact((Tins::IP("10.9.0.1", "10.8.0.1") / Tins::ICMP()).serialize(), reason).has_value());
    BOOST_CHECK(reason == DropReason::unsupportedProtocol);
    BOOST_TEST(!parseExact({}, reason).has_value());
    BOOST_CHECK(reason == DropReason::truncated);
}

RC_BOOST_PROP(randomBytesNeverCrash, (const Bytes &bytes))
{
    DropReason reason {};
    parseExact(bytes, reason);
}

RC_BOOST_PROP(cutAndFlippedPacketsNeverCrash, (bool isV6))
{
    auto bytes = tcpSegment(Tins::TCP::ACK, isV6);
    const auto flips = *rc::gen::inRange(0, 6);
    for (int flip = 0; flip < flips; ++flip) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    DropReason reason {};
    parseExact(bytes, reason);
}

BOOST_AUTO_TEST_CASE(refusalsAnswerTheSegment)
{
    DropReason reason {};
    for (const bool isV6 : {false, true}) {
        const auto segment = tcpSegment(Tins::TCP::SYN, isV6);
        const auto view = parseExact(segment, reason);
        const auto refusal = buildRefusal(*view, segment);
        const auto parsed = parseExact(refusal, reason);
        BOOST_REQUIRE(parsed);
        BOOST_TEST(parsed->isReset);
        BOOST_CHECK(parsed->flow.destination == view->flow.source);
        BOOST_TEST(parsed->flow.destinationPort == view->flow.sourcePort);
    }
    const auto datagram = (Tins::IP("10.9.0.1", "10.8.0.1") / Tins::UDP(53, 40000) / Tins::RawPDU("q")).serialize();
    const auto view = parseExact(datagram, reason);
    const auto refusal = buildRefusal(*view, datagram);
    BOOST_TEST(refusal[9] == 1); // ICMP
    BOOST_TEST(refusal[20] == 3); // destination unreachable
}
