#include "sapphirespan_cookie/systems/CookieSupplementSystem.h"

#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
#include "sapphirespan_cookie/systems/CookieLocalitySystem.h"

namespace sapphirespan {

namespace {

/** Interval between two regular supplements; two report intervals, to halve their cost. */
constexpr Milliseconds supplementInterval {750};

/** Time after which a peer's supplement is forgotten. */
constexpr Milliseconds supplementRetention {10000};

/** Number of supplements that are kept of senders which are no known peers, in addition to the number of peers. A peer's first report may
    come later than its first supplement. */
constexpr std::size_t maxUnknownSenders = 16;

PeerSupplement makeSupplement(CookieState &state)
{
    PeerSupplement supplement;
    supplement.sender = state.peers.self().name;
    supplement.incarnation = state.peers.self().incarnation;
    supplement.sequenceNumber = state.nextSupplementNumber++;
    supplement.dataCentre = state.settings.dataCentre;
    supplement.knownInstances = static_cast<std::uint32_t>(state.peers.rows().size() + 1);
    if (state.settings.appliesEvacuations) {
        supplement.evacuations = state.evacuations.entries();
    }
    supplement.loads = ownServiceLoads(state);
    supplement.outflows = ownOutflows(state);
    return supplement;
}

/** @returns whether the supplement of a sender may be kept. Known peers always may; forged names must not take memory without bound. */
bool mayKeep(const CookieState &state, const std::string &sender)
{
    const auto &peers = state.peers.rows();
    return peers.contains(sender) || state.supplements.contains(sender) || state.supplements.size() < peers.size() + maxUnknownSenders;
}

/** @returns whether a supplement is later than the one that is known of the same peer. */
bool isLater(const PeerSupplement &supplement, const PeerSupplement &known)
{
    return supplement.incarnation > known.incarnation
        || (supplement.incarnation == known.incarnation && supplement.sequenceNumber > known.sequenceNumber);
}

} // namespace

bool needsSupplements(const CookieState &state)
{
    return state.settings.appliesEvacuations || state.settings.warmUp.limitsColdUpstreams
        || state.settings.admission.dataCentreChoice == DataCentreChoice::forecast;
}

bool needsPolicies(const CookieState &state)
{
    return needsSupplements(state) || state.settings.admission.priorities.isEnabled;
}

void sendSupplement(CookieState &state, const std::vector<Endpoint> &targets)
{
    if (!needsSupplements(state) || targets.empty()) {
        return;
    }
    const auto bytes = encode(makeSupplement(state));
    for (const auto &to : targets) {
        state.counters.reportBytes += bytes.size();
        state.outbox.addOwned(CookieOutputKind::report, to, bytes);
    }
}

void sendDueSupplement(CookieState &state, const std::vector<Endpoint> &targets)
{
    if (state.isSupplementUrgent || state.now - state.lastSupplementSentAt >= supplementInterval) {
        state.isSupplementUrgent = state.urgentSupplementRepeats > 0;
        state.urgentSupplementRepeats -= state.isSupplementUrgent ? 1 : 0;
        state.lastSupplementSentAt = state.now;
        sendSupplement(state, targets);
    }
}

void handlePeerSupplement(CookieState &state, std::span<const std::uint8_t> datagram)
{
    if (!needsSupplements(state)) {
        return;
    }
    auto supplement = decodeSupplement(datagram);
    if (!supplement || supplement->sender == state.settings.name) {
        return;
    }
    mergePeerEvacuations(state, supplement->evacuations); // ordered by revision, so neither age nor sequence matters
    if (isReadingBacklog(state) || !mayKeep(state, supplement->sender)) {
        return;
    }
    auto &known = state.supplements[supplement->sender];
    if (isLater(*supplement, known.supplement)) {
        known = {std::move(*supplement), state.now};
    }
}

void expireSupplements(CookieState &state)
{
    std::erase_if(state.supplements, [&state](const auto &item) { return state.now - item.second.receivedAt > supplementRetention; });
}

} // namespace sapphirespan
