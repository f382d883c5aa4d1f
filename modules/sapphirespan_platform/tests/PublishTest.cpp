#include "sapphirespan_platform/sapphirespan_platform.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

using namespace sapphirespan;

namespace {

/** An object store in memory that can lose answers, be down, and let another publisher in between two calls. */
class FakeStore : public ObjectStore
{
public:
    std::optional<StoredObject> read(const ObjectName &name, StoreError &error) override
    {
        if (downForCalls > 0) {
            --downForCalls;
            error = StoreError::unreachable;
            return std::nullopt;
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            error = StoreError::missing;
            return std::nullopt;
        }
        return found->second;
    }

    std::optional<std::uint64_t> write(const ObjectName &name, std::uint64_t expected, const std::string &value, StoreError &error) override
    {
        if (name.kind == ObjectKind::head && beforeHeadWrite) {
            std::exchange(beforeHeadWrite, nullptr)();
        }
        const auto found = objects.find(name);
        if ((found != objects.end() ? found->second.version : 0) != expected) {
            error = StoreError::conflict;
            return std::nullopt;
        }
        if (name.kind == ObjectKind::head && loseHeadWrites > 0) {
            --loseHeadWrites;
            error = StoreError::unknownOutcome;
            return std::nullopt;
        }
        const auto &object = objects[name] = {expected + 1, value};
        if (name.kind == ObjectKind::head && loseHeadAnswers > 0) {
            --loseHeadAnswers;
            downForCalls = downAfterLostAnswer;
            error = StoreError::unknownOutcome;
            return std::nullopt;
        }
        return object.version;
    }

    void pause(Milliseconds) override
    {
    }

    std::map<ObjectName, StoredObject> objects;
    std::function<void()> beforeHeadWrite;
    int loseHeadAnswers = 0;
    int loseHeadWrites = 0;
    int downForCalls = 0;
    int downAfterLostAnswer = 0;
};

ServiceFile fileOf(const std::string &name, const std::string &address, int upstreams)
{
    ServiceFile file;
    file.name = name;
    file.addresses = {{*Endpoint::parse(address), Protocol::tcp}};
    for (int host = 1; host <= upstreams; ++host) {
        UpstreamSpec spec;
        spec.tunnel = *Endpoint::parse("10.1.0." + std::to_string(host) + ":6080");
        spec.dataCentre = "kurume";
        file.upstreams.push_back(spec);
    }
    return file;
}

struct Fixture {
    FakeStore store;
    ManualClock clock;
    PublishPolicy policy;
    std::uint64_t random = 20261204;

    PublishOutcome run(const std::vector<ServiceFile> &files)
    {
        return publish(store, files, newPublishId(0, ++random), policy, clock);
    }

    std::uint64_t generation()
    {
        StoreError error {};
        LastReason reason;
        return readHead(store, error, reason)->first.generation;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aFirstPublicationIsAccepted, Fixture)
{
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::accepted);
    BOOST_TEST(outcome.generation == 1U);
    BOOST_CHECK(run({fileOf("desk", "10.80.0.1:443", 3)}).verdict == PublishVerdict::unchanged);
    BOOST_TEST(generation() == 1U);
}

BOOST_FIXTURE_TEST_CASE(publishersOfDifferentServicesBothWin, Fixture)
{
    store.beforeHeadWrite = [this] { BOOST_CHECK(run({fileOf("vault", "10.80.0.2:443", 2)}).verdict == PublishVerdict::accepted); };
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::accepted);
    BOOST_TEST(outcome.generation == 2U);
    ObjectTexts texts;
    StoreError error {};
    LastReason reason;
    const auto catalogue = loadCatalogue(store, readHead(store, error, reason)->first, texts, error, reason);
    BOOST_TEST(catalogue->services.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(publishersOfTheSameServiceConflict, Fixture)
{
    run({fileOf("desk", "10.80.0.1:443", 3)});
    store.beforeHeadWrite = [this] { run({fileOf("desk", "10.80.0.1:443", 4)}); };
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 2)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::refused);
    BOOST_TEST(outcome.reason.find("desk") != std::string::npos);
    BOOST_TEST(generation() == 2U);
}

BOOST_FIXTURE_TEST_CASE(anAddressClaimedMeanwhileIsRefused, Fixture)
{
    store.beforeHeadWrite = [this] { run({fileOf("vault", "10.80.0.1:443", 2)}); };
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::refused);
    BOOST_TEST(outcome.reason.find("vault") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(aLostAnswerIsSettledAsAccepted, Fixture)
{
    store.loseHeadAnswers = 1;
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::accepted);
    BOOST_TEST(generation() == 1U); // and was not published twice
}

BOOST_FIXTURE_TEST_CASE(aLostAnswerIsSettledEvenAfterAnotherPublication, Fixture)
{
    store.loseHeadAnswers = 1;
    store.downAfterLostAnswer = 1000;
    const auto unknown = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(unknown.verdict == PublishVerdict::unknown);
    store.downForCalls = 0;
    run({fileOf("vault", "10.80.0.2:443", 2)});
    const auto settled = settle(store, unknown.publishId, policy);
    BOOST_CHECK(settled.verdict == PublishVerdict::accepted);
    BOOST_TEST(settled.generation == 1U);
    const auto resumed = publish(store, {fileOf("desk", "10.80.0.1:443", 3)}, unknown.publishId, policy, clock);
    BOOST_CHECK(resumed.verdict == PublishVerdict::accepted);
    BOOST_TEST(resumed.generation == 1U);
    BOOST_TEST(generation() == 2U);
}

BOOST_FIXTURE_TEST_CASE(aLostWriteIsRepeated, Fixture)
{
    store.loseHeadWrites = 2;
    BOOST_CHECK(run({fileOf("desk", "10.80.0.1:443", 3)}).verdict == PublishVerdict::accepted);
    BOOST_TEST(generation() == 1U);
}

BOOST_FIXTURE_TEST_CASE(anUnreachablePlatformMeansNotInForce, Fixture)
{
    store.downForCalls = 1000;
    const auto outcome = run({fileOf("desk", "10.80.0.1:443", 3)});
    BOOST_CHECK(outcome.verdict == PublishVerdict::refused);
    store.downForCalls = 0;
    BOOST_TEST(generation() == 0U);
}

BOOST_FIXTURE_TEST_CASE(objectsThatDoNotMatchTheirDigestAreNotTaken, Fixture)
{
    run({fileOf("desk", "10.80.0.1:443", 3)});
    for (auto &[name, object] : store.objects) {
        if (name.kind == ObjectKind::content) {
            object.value += " ";
        }
    }
    ObjectTexts texts;
    StoreError error {};
    LastReason reason;
    BOOST_CHECK(loadCatalogue(store, readHead(store, error, reason)->first, texts, error, reason) == nullptr);
    BOOST_TEST(reason.text().find("digest") != std::string::npos);
}
