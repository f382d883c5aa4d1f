#include "sapphirespan_config/sapphirespan_config.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

using namespace sapphirespan;

namespace {

const std::string goodSettings = R"(instance: entry-1
data_centre: fen-a
listen: {ingress: "127.0.0.1:6081", peer: "127.0.0.1:6082", control: "127.0.0.1:6083"}
return_path: 127.0.0.1:6084
platform: 127.0.0.1:6085
peers: ["127.0.0.1:6082", "127.0.0.1:7082"]
key_file: keys.yaml
timing: {heartbeat: 100ms, lease: 1s}
)";

/** A key file in the test's working folder, removed at the end of the test. */
class KeyFile
{
public:
    KeyFile(const std::string &text, std::filesystem::perms permissions)
    {
        std::ofstream(m_path) << text;
        std::filesystem::permissions(m_path, permissions);
    }
    ~KeyFile()
    {
        std::filesystem::remove(m_path);
    }
    KeyFile(const KeyFile &) = delete;
    KeyFile &operator=(const KeyFile &) = delete;

    std::optional<KeyRing> load() const
    {
        FindingList findings;
        return loadKeyRing(m_path, findings);
    }

private:
    std::string m_path = "settings-test-keys.yaml";
};

} // namespace

BOOST_AUTO_TEST_CASE(readsSettings)
{
    FindingList findings;
    const auto settings = parseInstanceSettings("s.yaml", goodSettings, findings);
    BOOST_REQUIRE(findings.isEmpty());
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->seeds.size() == 1U); // its own endpoint is left out
    BOOST_CHECK(settings->timing.lease == std::chrono::seconds(1));
}

BOOST_AUTO_TEST_CASE(aLeaseShorterThanThreeHeartbeatsIsAFinding)
{
    FindingList findings;
    auto text = goodSettings;
    text.replace(text.find("lease: 1s"), 9, "lease: 250ms");
    BOOST_TEST(!parseInstanceSettings("s.yaml", text, findings).has_value());
}

BOOST_AUTO_TEST_CASE(keyFilesMustBePrivate)
{
    using std::filesystem::perms;
    const std::string two = "keys:\n  - {id: 1, secret: " + std::string(64, 'a') + "}\n  - {id: 2, secret: " + std::string(64, 'b') + "}\n";
    {
        const auto ring = KeyFile(two, perms::owner_read | perms::owner_write).load();
        BOOST_REQUIRE(ring);
        BOOST_TEST(ring->keys.size() == 2U);
        BOOST_TEST((ring->find(2) != nullptr));
        BOOST_TEST((ring->find(3) == nullptr));
    }
    BOOST_TEST(!KeyFile(two, perms::owner_read | perms::group_read).load().has_value());
    BOOST_TEST(!KeyFile("keys:\n  - {id: 1, secret: abc}\n", perms::owner_read).load().has_value());
}

namespace {

const std::string goodCookieSettings = R"(steering: cookie
instance: entry-1
data_centre: fen-a
listen: {ingress: "127.0.0.1:6081", readiness: "127.0.0.1:6082", peer: "127.0.0.1:6083", control: "127.0.0.1:6084"}
platform: 127.0.0.1:6085
)";

} // namespace

BOOST_AUTO_TEST_CASE(policiesOfAdmissionAreOnUnlessSwitchedOff)
{
    FindingList findings;
    const auto defaults = parseCookieSettings("s.yaml", goodCookieSettings, findings);
    BOOST_REQUIRE(defaults);
    BOOST_TEST((defaults->admission == AdmissionSettings {true, true, true}));
    const std::vector<std::pair<std::string, AdmissionSettings>> switchedOff {
        {"reject_in_overload", {false, true, true}},
        {"share_among_routes", {true, false, true}},
        {"spill_between_data_centres", {true, true, false}},
        {"checks_opening_age", {true, true, true, DataCentreChoice::ratio, 100, {}, false}},
    };
    for (const auto &[key, expected] : switchedOff) {
        const auto settings = parseCookieSettings("s.yaml", goodCookieSettings + "admission: {" + key + ": false}\n", findings);
        BOOST_REQUIRE(settings);
        BOOST_TEST((settings->admission == expected));
    }
}

/** A set of rules in force at the platform that does not turn on what belongs to it, or one that overrides what the settings state. */
BOOST_AUTO_TEST_CASE(aProfileTurnsOnPriorities)
{
    FindingList findings;
    const auto isEnabled = [&findings](const std::string &lines) {
        const auto settings = parseCookieSettings("s.yaml", goodCookieSettings + lines, findings);
        return settings && settings->admission.priorities.isEnabled;
    };
    BOOST_TEST(isEnabled("profiles: [base, pressure]\n"));
    BOOST_TEST(!isEnabled("profiles: [base, places]\n"));
    BOOST_TEST(!isEnabled("profiles: [pressure]\npriorities: { enabled: false }\n"));
    BOOST_TEST(!isEnabled(""));
}

/** A policy that cannot be switched off by itself, or a switch that turns off another one. */
BOOST_AUTO_TEST_CASE(policiesByPriorityAreSwitchedOneByOne)
{
    FindingList findings;
    const std::vector<std::pair<std::string, PrioritySettings>> expected {
        {"enabled: true", {true, 0.4, 0.25, false, true, true, true, true}},
        {"reserves_room: true", {false, 0.4, 0.25, true, true, true, true, true}},
        {"orders_rejections: false", {false, 0.4, 0.25, false, false, true, true, true}},
        {"same_answer_to_same_caller: false", {false, 0.4, 0.25, false, true, false, true, true}},
        {"limits_heavy_clients: false", {false, 0.4, 0.25, false, true, true, false, true}},
        {"rejects_too_late: false", {false, 0.4, 0.25, false, true, true, true, false}},
    };
    for (const auto &[line, priorities] : expected) {
        const auto settings = parseCookieSettings("s.yaml", goodCookieSettings + "priorities: {" + line + "}\n", findings);
        BOOST_REQUIRE(settings);
        BOOST_TEST((settings->admission.priorities == priorities));
    }
    for (const std::string wrong : {"priorities: {reserve: true}\n", "priorities: {reserves_room: maybe}\n"}) {
        FindingList found;
        BOOST_TEST(!parseCookieSettings("s.yaml", goodCookieSettings + wrong, found).has_value());
        BOOST_TEST(!found.isEmpty());
    }
}

BOOST_AUTO_TEST_CASE(unknownPoliciesAndValuesOfAdmissionAreFindings)
{
    for (const std::string wrong :
         {"admission: {reject: true}\n", "admission: {reject_in_overload: maybe}\n", "admission: {checks_opening_age: 150ms}\n"}) {
        FindingList findings;
        BOOST_TEST(!parseCookieSettings("s.yaml", goodCookieSettings + wrong, findings).has_value());
        BOOST_TEST(!findings.isEmpty());
    }
}

/** Guards against a duration with a fraction that is refused, and against texts that are taken for one. */
BOOST_AUTO_TEST_CASE(durationsMayBeFractions)
{
    const std::vector<std::pair<std::string, std::int64_t>> expected {
        {"6.5s", 6500}, {"0.25s", 250}, {"0.0004s", 0}, {"2.5ms", 3}, {"1e3ms", 1000}, {"1.5h", 5'400'000}, {"366d", 366LL * 86'400'000},
    };
    for (const auto &[text, milliseconds] : expected) {
        const auto duration = parseDuration(text);
        BOOST_REQUIRE(duration);
        BOOST_TEST(duration->count() == milliseconds);
    }
    for (const std::string wrong : {"", "s", "6.5", "6,5s", "-1s", ".5s", "infs", "nans", "trues", "1e30s", "367d", "6.5 s", "0x10s"}) {
        BOOST_TEST(!parseDuration(wrong).has_value(), wrong);
    }
}

/** Guards against a refused key that changes others, or that takes another value than its default. */
BOOST_AUTO_TEST_CASE(aRefusedKeyTakesItsDefault)
{
    const std::string text = goodCookieSettings
        + "admission: {reject_in_overload: maybe, share_among_routes: false}\npriorities: {lowest_share: 7}\nwarm_up: {budget: true, "
          "slack: x}\n"
          "log_level: loud\nunknown: 1\n";
    FindingList findings;
    const auto reading = readCookieSettings("s.yaml", text, findings);
    BOOST_TEST(reading.isStartable);
    const std::set<std::string> refused {"admission.reject_in_overload", "log_level", "priorities.lowest_share", "unknown",
                                         "warm_up.slack"};
    BOOST_TEST((reading.refusedKeys == refused));
    CookieSettings expected = *parseCookieSettings("s.yaml", goodCookieSettings, findings);
    expected.admission.sharesAmongRoutes = false;
    expected.warmUp.limitsColdUpstreams = true;
    BOOST_TEST((reading.settings == expected));
}

/** Guards against an instance that starts without what it cannot run without. */
BOOST_AUTO_TEST_CASE(anIndispensableKeyIsNeededForAStart)
{
    for (const std::string key : {"instance", "data_centre", "platform", "ingress", "readiness", "peer", "control"}) {
        auto text = goodCookieSettings;
        text.replace(text.find(key + ":"), key.size(), "x" + key);
        FindingList findings;
        BOOST_TEST(!readCookieSettings("s.yaml", text, findings).isStartable, key);
    }
}
