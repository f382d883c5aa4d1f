#include "sapphirespan_cookie/peers/PolicyCodec.h"

namespace sapphirespan {

namespace {

void packTime(Packer &packer, const std::optional<Milliseconds> &time)
{
    if (time) {
        packer.pack(static_cast<std::uint32_t>(time->count()));
    } else {
        packer.pack_nil();
    }
}

std::optional<Milliseconds> timeFrom(const msgpack::object &object)
{
    return object.is_nil() ? std::nullopt : std::optional(Milliseconds(numberFrom<std::uint32_t>(object)));
}

void pack(Packer &packer, const RoutePolicy &policy)
{
    packHeader(packer, 4);
    if (policy.priority) {
        packer.pack(*policy.priority);
    } else {
        packer.pack_nil();
    }
    packTime(packer, policy.targetLatency);
    packTime(packer, policy.timeout);
    packer.pack(static_cast<std::uint8_t>(policy.isIdempotent ? 1 : 0));
}

RoutePolicy routePolicyFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 4);
    RoutePolicy policy;
    policy.priority = list[0].is_nil() ? std::nullopt : std::optional(numberFrom<std::uint32_t>(list[0]));
    policy.targetLatency = timeFrom(list[1]);
    policy.timeout = timeFrom(list[2]);
    policy.isIdempotent = numberFrom<std::uint8_t>(list[3]) != 0;
    return policy;
}

void pack(Packer &packer, const ServicePolicy &policy)
{
    packHeader(packer, 3);
    packer.pack(policy.service);
    packTime(packer, policy.warmUpTime);
    if (policy.warmUpRequestsPerSecond) {
        packer.pack(*policy.warmUpRequestsPerSecond);
    } else {
        packer.pack_nil();
    }
}

ServicePolicy servicePolicyFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 3);
    ServicePolicy policy;
    policy.service = textFrom(list[0]);
    policy.warmUpTime = timeFrom(list[1]);
    policy.warmUpRequestsPerSecond = list[2].is_nil() ? std::nullopt : std::optional(decimalFrom(list[2]));
    return policy;
}

} // namespace

void pack(Packer &packer, const EvacuationList &list)
{
    packHeader(packer, 2);
    packer.pack(list.revision);
    packHeader(packer, list.entries.size());
    for (const auto &entry : list.entries) {
        packHeader(packer, 3);
        packer.pack(entry.dataCentre);
        packer.pack(entry.revision);
        packer.pack(static_cast<std::uint8_t>(entry.isEvacuated ? 1 : 0));
    }
}

EvacuationList evacuationListFrom(const msgpack::object &object)
{
    const auto list = listFrom(object, 2);
    EvacuationList result;
    result.revision = numberFrom<std::uint64_t>(list[0]);
    const auto entries = listFrom(list[1]);
    if (entries.size() > maxEvacuationEntries) {
        throw BadMessage {};
    }
    for (const auto &item : entries) {
        const auto fields = listFrom(item, 3);
        result.entries.push_back({textFrom(fields[0]), numberFrom<std::uint64_t>(fields[1]), numberFrom<std::uint8_t>(fields[2]) != 0});
    }
    return result;
}

void packPolicies(Packer &packer, const RouteConfiguration &routes)
{
    packHeader(packer, 2);
    packHeader(packer, routes.routes.size());
    for (const auto &route : routes.routes) {
        pack(packer, route.policy);
    }
    packHeader(packer, routes.services.size());
    for (const auto &service : routes.services) {
        pack(packer, service);
    }
}

void readPolicies(const msgpack::object &object, RouteConfiguration &routes)
{
    const auto list = listFrom(object, 2);
    const auto policies = listFrom(list[0], routes.routes.size());
    for (std::size_t index = 0; index < policies.size(); ++index) {
        routes.routes[index].policy = routePolicyFrom(policies[index]);
    }
    for (const auto &item : listFrom(list[1])) {
        routes.services.push_back(servicePolicyFrom(item));
    }
}

} // namespace sapphirespan
