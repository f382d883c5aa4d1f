#include "sapphirespan_config/sapphirespan_config.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace sapphirespan;

namespace {

const std::string goodFile = R"(service: subscriptions
addresses:
  - {ip: 10.80.0.1, port: 443}
upstreams:
  - {ip: 10.1.0.1, port: 6080, data_centre: fen-a, slots: 2, connection_cap: 4000, status: "10.1.0.1:8081"}
  - {ip: 10.1.0.2, port: 6080, data_centre: fen-b, weight: 2}
traffic:
  favour: evenness
  idle_timeout: 2h
objective:
  level: 0.995
  window: 7d
)";

std::vector<std::string> findingsOf(const std::string &text)
{
    FindingList findings;
    parseServiceFile("f.yaml", text, findings);
    std::vector<std::string> texts;
    for (const auto &finding : findings.sorted()) {
        texts.push_back(toText(finding));
    }
    return texts;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(readsAWholeFile)
{
    FindingList findings;
    const auto file = parseServiceFile("f.yaml", goodFile, findings);
    BOOST_REQUIRE(file);
    BOOST_TEST(file->service.upstreams.size() == 2U);
    BOOST_TEST(file->service.upstreams[1].weight == 2U);
    BOOST_TEST(file->service.traffic.steeredPermille == 1000U);
    BOOST_CHECK(file->service.traffic.idleTimeout == std::chrono::hours(2));
    BOOST_TEST(file->service.objective.level == 0.995);
}

BOOST_AUTO_TEST_CASE(eachMistakeIsFoundAtItsPlace)
{
    const std::vector<std::pair<std::string, std::string>> mistakes {
        {"service: subscriptions", "service: Sub_scriptions"},
        {"port: 443", "port: 443, prot: tcp"},
        {"ip: 10.80.0.1", "ip: host.example"},
        {"port: 443", "port: 70000"},
        {"slots: 2", "slots: two"},
        {"ip: 10.1.0.2", "ip: 10.1.0.1"},
        {"favour: evenness", "favour: both"},
        {"idle_timeout: 2h", "idle_timeout: 2 hours"},
        {"level: 0.995", "level: 99.5"},
        {"window: 7d", "window: 7d\n  window: 8d"},
    };
    for (const auto &[from, to] : mistakes) {
        const auto findings = findingsOf(replaced(goodFile, from, to));
        BOOST_TEST(findings.size() == 1U, to);
        BOOST_TEST(findings.at(0).rfind("f.yaml:", 0) == 0U);
    }
    BOOST_TEST(findingsOf(replaced(goodFile, "port: 443", "port: 99999")).at(0)
               == "f.yaml:3:27: expected a whole number from 1 to 65535, found '99999'");
}

BOOST_AUTO_TEST_CASE(allFindingsComeTogether)
{
    BOOST_TEST(findingsOf("service: a\nwhat: 1\naddresses: []\nupstreams: []\n").size() == 3U);
}

BOOST_AUTO_TEST_CASE(hostileFilesAreFindings)
{
    BOOST_TEST(!findingsOf("").empty());
    BOOST_TEST(!findingsOf("[1, 2").empty());
    BOOST_TEST(!findingsOf("- 1\n- 2\n").empty());
    BOOST_TEST(!findingsOf(std::string(largestYamlFileBytes + 1, '#')).empty());
    std::string bomb = "a: &a [x, x, x, x, x, x, x, x, x]\n";
    for (char name = 'b'; name <= 'm'; ++name) {
        const std::string previous(1, static_cast<char>(name - 1));
        bomb += std::string(1, name) + ": &" + name + " [*" + previous + ", *" + previous + ", *" + previous + ", *" + previous + "]\n";
    }
    BOOST_TEST(!findingsOf(bomb + "service: x\nupstreams: *m\naddresses: *m\n").empty());
    BOOST_TEST(!findingsOf(std::string(100'000, '[')).empty());
}

RC_BOOST_PROP(mangledFilesNeverCrash, ())
{
    auto text = goodFile;
    const auto edits = *rc::gen::inRange(1, 8);
    for (int edit = 0; edit < edits; ++edit) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        text[place] = *rc::gen::element('[', ']', '{', '}', ':', '-', '&', '*', '"', '\n', ' ', '!', '\t', '\0', '9', '|');
    }
    findingsOf(text);
}

BOOST_AUTO_TEST_CASE(servicesMayNotOverlap)
{
    FindingList findings;
    const auto one = parseServiceFile("a.yaml", goodFile, findings);
    BOOST_REQUIRE(one);
    Catalogue catalogue;
    auto content = std::make_shared<ServiceContent>();
    content->service = one->service;
    content->service.name = "other";
    catalogue.services.push_back(content);
    const auto claimed = addressClaimedByAnother(catalogue, one->service);
    BOOST_REQUIRE(claimed);
    BOOST_TEST(claimed->first == "other");
}
