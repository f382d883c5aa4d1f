#include "sapphirespan_entry/systems/CatalogueSystem.h"

#include "sapphirespan_entry/systems/SteeringSystem.h"
#include "sapphirespan_entry/systems/UpstreamSystem.h"

namespace sapphirespan {

namespace {

/** Brings the rows of upstreams up to the catalogue; rows keep their ordinals, so what was learned stays. */
void refreshUpstreams(EntryState &state, ServiceRow &row, bool isFirstCatalogue)
{
    const auto &listed = row.content->upstreams;
    for (std::size_t ordinal = 0; ordinal < listed.size(); ++ordinal) {
        const bool isNew = ordinal >= row.upstreams.size();
        if (isNew) {
            row.upstreams.emplace_back();
        }
        auto &upstream = row.upstreams[ordinal];
        const bool isAddedNow = isNew || (upstream.isRemoved && !listed[ordinal].isRemoved);
        const bool isCold = isAddedNow && !isFirstCatalogue && listed[ordinal].addedAtGeneration == row.content->changedAtGeneration;
        upstream.openedAt = isCold ? state.now : upstream.openedAt;
        upstream.isRemoved = listed[ordinal].isRemoved;
    }
}

void refreshAddresses(EntryState &state)
{
    state.addresses.clear();
    for (auto &[number, row] : state.services) {
        for (const auto &address : row.content->service.addresses) {
            state.addresses[address] = &row;
        }
    }
}

} // namespace

bool putInForce(EntryState &state, std::shared_ptr<const Catalogue> catalogue)
{
    if (catalogue->head.generation <= state.head.generation) {
        return false;
    }
    const bool isFirstCatalogue = !state.catalogue;
    const auto before = state.head.generation;
    state.head = catalogue->head;
    state.hasher = FlowHasher(catalogue->index.hashKey);
    state.catalogue = std::move(catalogue);
    std::map<ServiceNumber, ServiceRow> kept;
    for (const auto &content : state.catalogue->services) {
        auto &row = kept[content->number];
        if (auto old = state.services.find(content->number); old != state.services.end()) {
            row = std::move(old->second);
        }
        const bool hasSameDefaults = row.content && row.content->defaults == content->defaults;
        row.defaultsGeneration = hasSameDefaults ? row.defaultsGeneration : content->changedAtGeneration;
        row.content = content;
        refreshUpstreams(state, row, isFirstCatalogue);
        applyRegisters(state, row);
        refreshSteering(state, row);
    }
    state.services = std::move(kept);
    refreshAddresses(state);
    refreshAcknowledgements(state);
    state.isHeartbeatDue = true;
    state.invariants.check(state.head.generation > before, Invariant::generationNeverFalls,
                           [before] { return "from " + std::to_string(before); });
    announce(state, InstanceEventKind::generationInForce, std::to_string(state.head.generation), state.head.indexDigest);
    return true;
}

std::optional<GenerationNews> newerGeneration(const EntryState &state)
{
    std::optional<GenerationNews> news;
    auto highest = state.head.generation;
    for (const auto &[id, member] : state.members) {
        if (member.isReachable && member.generation > highest && !member.indexDigest.empty() && member.card.control.port != 0) {
            highest = member.generation;
            news = GenerationNews {{member.generation, member.indexDigest}, member.card.control};
        }
    }
    return news;
}

} // namespace sapphirespan
