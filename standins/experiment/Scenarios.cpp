#include "Scenarios.h"

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds betweenChanges = 1s;
constexpr Milliseconds betweenRestarts = 6s;
constexpr Milliseconds downTime = 2s;
constexpr Milliseconds cutLength = 60s;
constexpr Milliseconds freezeLength = 10s;
constexpr std::size_t stepsBetweenRepairs = 2;
constexpr std::size_t leavingInstance = 1;
constexpr std::uint32_t changedWeight = 3;
constexpr std::uint32_t loweredShare = 20;

ServiceSetup serviceSetup(const std::string &name, std::size_t upstreams, const TrafficPolicy &traffic)
{
    ServiceSetup setup;
    setup.name = name;
    setup.upstreams = upstreams;
    setup.traffic = traffic;
    return setup;
}

TrafficPolicy steadiness()
{
    return {};
}

TrafficPolicy evenness()
{
    TrafficPolicy traffic;
    traffic.steeredPermille = 1000;
    traffic.tolerancePermille = 20;
    return traffic;
}

void restartAll(FleetModel &model)
{
    for (const auto number : model.running()) {
        model.leave(number);
        model.runFor(betweenRestarts);
        model.restart(number);
        model.runFor(betweenRestarts);
    }
}

} // namespace

std::optional<ModelSettings> deploymentSettings(const std::string &name)
{
    ModelSettings settings;
    if (name == "brookshell") {
        settings.services = {serviceSetup("subscriptions", 15, steadiness()), serviceSetup("packhouse", 4, steadiness())};
        settings.instances = 8;
        return settings;
    }
    if (name == "hinoki") {
        settings.services = {serviceSetup("order-desk", 15, evenness()), serviceSetup("drawing-vault", 4, evenness())};
        settings.instances = 9;
        return settings;
    }
    return std::nullopt;
}

void beginChange(FleetModel &model, Change change, std::size_t service, std::size_t upstream)
{
    model.note("begin " + std::string(nameOf(change)) + " service " + std::to_string(service) + " upstream " + std::to_string(upstream));
    switch (change) {
    case Change::none:
    case Change::count:
        break;
    case Change::upstreamDrain:
        model.drainUpstream(service, upstream);
        break;
    case Change::upstreamRemoval:
        model.removeUpstream(service, upstream);
        break;
    case Change::upstreamAddition:
        model.addUpstream(service);
        break;
    case Change::weightChange:
        model.changeWeight(service, upstream, changedWeight);
        break;
    case Change::shareChange: {
        TrafficPolicy traffic;
        traffic.steeredPermille = loweredShare;
        model.changeTraffic(service, traffic);
        break;
    }
    case Change::instanceJoin:
        model.addInstance();
        break;
    case Change::instanceLeave:
        model.leave(leavingInstance);
        break;
    case Change::rollingRestart:
        restartAll(model);
        break;
    case Change::upstreamShedding:
        model.setShedding(service, upstream, true);
        break;
    case Change::ownerKilled:
        model.kill(model.busiestHolders().first);
        break;
    case Change::ownerAndBackupKilled: {
        const auto [owner, backup] = model.busiestHolders();
        model.kill(owner);
        model.kill(backup);
        break;
    }
    case Change::dataCentreCut:
        model.cutDataCentre(0, cutLength);
        break;
    case Change::instanceFrozen:
        model.freeze(model.busiestHolders().first, freezeLength);
        break;
    case Change::upstreamKilled:
        model.killUpstream(service, upstream);
        break;
    }
}

ModelCounts runThroughChanges(const ModelSettings &settings, const std::vector<Change> &changes, Milliseconds length)
{
    FleetModel model(settings);
    model.warmUp();
    std::size_t upstream = 1;
    for (const auto change : changes) {
        beginChange(model, change, 0, upstream);
        ++upstream;
        model.runFor(betweenChanges);
    }
    model.runFor(length);
    return model.counts();
}

ModelCounts runRandomly(const ModelSettings &settings, std::size_t steps, bool withFailures)
{
    FleetModel model(settings);
    model.warmUp();
    std::mt19937_64 random(settings.seed);
    std::map<std::size_t, std::size_t> drained; ///< service to upstream; one at a time of each
    for (std::size_t step = 0; step < steps; ++step) {
        if (step % stepsBetweenRepairs == 0) {
            model.restartAllStopped();
            model.runFor(betweenRestarts);
        }
        const auto last = withFailures ? Change::count : Change::ownerKilled;
        const auto change = static_cast<Change>(random() % static_cast<std::size_t>(last));
        const auto service = random() % settings.services.size();
        const auto upstream = random() % settings.services[service].upstreams;
        if (change == Change::upstreamDrain && drained.contains(service)) {
            model.note("undrain service " + std::to_string(service) + " upstream " + std::to_string(drained[service]));
            model.undrainUpstream(service, drained[service]);
            drained.erase(service);
        } else if (change == Change::instanceLeave || change == Change::ownerKilled) {
            const auto running = model.running();
            const auto number = running[random() % running.size()];
            change == Change::instanceLeave ? model.leave(number) : model.kill(number);
            model.runFor(betweenRestarts + downTime);
            model.restart(number);
        } else if (change != Change::instanceJoin && change != Change::rollingRestart && change != Change::upstreamShedding) {
            beginChange(model, change, service, upstream);
            if (change == Change::upstreamDrain) {
                drained[service] = upstream;
            }
        }
        model.runFor(Milliseconds(static_cast<std::int64_t>(random() % 6000)));
    }
    model.runFor(20s);
    return model.counts();
}

} // namespace sapphirespan
