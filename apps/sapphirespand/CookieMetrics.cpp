#include "CookieMetrics.h"

#include "sapphirespan_cookie/systems/CookieWarmUpSystem.h"

#include <functional>
#include <sstream>

namespace sapphirespan {

namespace {

/** @returns a text as the value of a label. */
std::string escaped(const std::string &value)
{
    std::string result;
    for (const char c : value) {
        result += c == '\\' || c == '"' ? std::string {'\\', c} : (c == '\n' ? "\\n" : std::string {c});
    }
    return result;
}

struct Fate {
    const char *name;
    std::uint64_t count;
};

void append(std::ostringstream &text, const char *metric, const char *label, const Fate &fate)
{
    text << "sapphirespan_" << metric << '{' << label << "=\"" << fate.name << "\"} " << fate.count << '\n';
}

void appendPackets(std::ostringstream &text, const CookieCounters &accounts)
{
    text << "# HELP sapphirespan_packets_total Packets of clients by what was done with them.\n# TYPE sapphirespan_packets_total counter\n";
    for (const auto &fate :
         {Fate {"forwarded", accounts.forwarded}, Fate {"reset_no_route", accounts.resetNoRoute},
          Fate {"reset_no_upstream", accounts.resetNoUpstream}, Fate {"reset_overload", accounts.resetOverload},
          Fate {"reset_evacuated", accounts.resetEvacuated}, Fate {"reset_dark", accounts.resetUpstreamUnreachable},
          Fate {"reset_gone", accounts.resetUpstreamDeparted}, Fate {"dropped_malformed", accounts.droppedMalformed},
          Fate {"dropped_unknown_cookie", accounts.droppedUnknownCookie}, Fate {"dropped_no_route", accounts.droppedNoRoute},
          Fate {"dropped_barred_copy", accounts.droppedBarredCopies}}) {
        append(text, "packets_total", "fate", fate);
    }
    text << "# HELP sapphirespan_new_flows_total Openings given an upstream.\n# TYPE sapphirespan_new_flows_total counter\n";
    append(text, "new_flows_total", "outcome", {"placed", accounts.flowsPlaced});
    append(text, "new_flows_total", "outcome", {"moved", accounts.flowsMoved});
}

void appendUpstreams(std::ostringstream &text, const UpstreamDirectory &upstreams)
{
    std::array<std::uint64_t, enumCount<RegistrationPhase>> phases {};
    std::array<std::uint64_t, enumCount<Reachability>> states {};
    for (const auto &[cookie, row] : upstreams.rows()) {
        ++phases[static_cast<std::size_t>(row.entry.phase)];
        states[static_cast<std::size_t>(row.evidence.state)] += row.entry.phase != RegistrationPhase::departed ? 1 : 0;
    }
    text << "# HELP sapphirespan_upstreams Starts of upstreams by phase.\n# TYPE sapphirespan_upstreams gauge\n";
    for (std::size_t phase = 0; phase < phases.size(); ++phase) {
        append(text, "upstreams", "phase", {nameOf(static_cast<RegistrationPhase>(phase)).data(), phases[phase]});
    }
    text << "# HELP sapphirespan_upstream_states Listed upstreams by reachability.\n# TYPE sapphirespan_upstream_states gauge\n";
    for (std::size_t state = 0; state < states.size(); ++state) {
        append(text, "upstream_states", "state", {nameOf(static_cast<Reachability>(state)).data(), states[state]});
    }
}

void appendGauge(std::ostringstream &text, const char *metric, const char *help, const std::map<std::string, ServiceLoad> &loads,
                 const std::function<double(const ServiceLoad &)> &value)
{
    text << "# HELP sapphirespan_" << metric << ' ' << help << "\n# TYPE sapphirespan_" << metric << " gauge\n";
    for (const auto &[service, load] : loads) {
        text << "sapphirespan_" << metric << "{service=\"" << escaped(service) << "\"} " << value(load) << '\n';
    }
}

void appendServiceLoads(std::ostringstream &text, const std::map<std::string, ServiceLoad> &loads, SteadyTime now)
{
    appendGauge(text, "service_slowdown", "Response time divided by that without queueing; 0 if it is not known.", loads,
                [now](const ServiceLoad &load) { return slowdown(load, now).value_or(0); });
    appendGauge(text, "service_requests_per_slot", "Requests in progress by slots, an estimate for all instances.", loads,
                averageRequestsPerSlot);
    appendGauge(text, "service_admitted_share", "Share of recent requests that were not rejected.", loads,
                [](const ServiceLoad &load) { return admittedShare(load); });
}

/** What is decided by priority, of the services whose routes differ in it. */
void appendPriorities(std::ostringstream &text, const std::map<std::string, PriorityLoad> &loads)
{
    text << "# HELP sapphirespan_reserved_share Part of the upstreams that is reserved for the most urgent routes.\n"
            "# TYPE sapphirespan_reserved_share gauge\n";
    for (const auto &[service, load] : loads) {
        text << "sapphirespan_reserved_share{service=\"" << escaped(service) << "\"} " << load.reserved.share << '\n';
    }
    text << "# HELP sapphirespan_rejected_total Openings rejected by priority and reason.\n# TYPE sapphirespan_rejected_total counter\n";
    for (const auto &[service, load] : loads) {
        for (const auto &[priority, counts] : load.rejections) {
            for (std::size_t reason = 0; reason < counts.size(); ++reason) {
                text << "sapphirespan_rejected_total{service=\"" << escaped(service) << "\",priority=\"" << priority << "\",reason=\""
                     << nameOf(static_cast<RejectionReason>(reason)) << "\"} " << counts[reason] << '\n';
            }
        }
    }
}

/** Appends one gauge of each service and data centre. @param value of a destination */
void appendLocalityGauge(std::ostringstream &text, const char *metric, const char *help, const CookieState &state,
                         const std::function<double(const ServiceLocality &)> &ofHome,
                         const std::function<double(const ServiceLocality &, const DestinationChoice &)> &ofOther)
{
    text << "# HELP sapphirespan_" << metric << ' ' << help << "\n# TYPE sapphirespan_" << metric << " gauge\n";
    const auto append = [&](const std::string &service, const std::string &dataCentre, double value) {
        text << "sapphirespan_" << metric << "{service=\"" << escaped(service) << "\",data_centre=\"" << escaped(dataCentre) << "\"} "
             << value << '\n';
    };
    for (const auto &[service, locality] : state.localities) {
        append(service, state.settings.dataCentre, ofHome(locality));
        for (const auto &destination : locality.destinations) {
            append(service, destination.figures.name, ofOther(locality, destination));
        }
    }
}

double loadPerSlot(const DataCentreFigures &figures)
{
    return figures.slots > 0 ? figures.load / figures.slots : 0;
}

/** Where new flows go, and what that rests on. */
void appendLocality(std::ostringstream &text, const CookieState &state)
{
    text << "# HELP sapphirespan_placements_total New flows by why they were placed where they are.\n"
            "# TYPE sapphirespan_placements_total counter\n";
    for (std::size_t reason = 0; reason < state.counters.placements.size(); ++reason) {
        append(text, "placements_total", "reason",
               {nameOf(static_cast<PlacementReason>(reason)).data(), state.counters.placements[reason]});
    }
    appendLocalityGauge(
        text, "data_centre_share", "Share of new flows that prefer this data centre because of load.", state,
        [](const ServiceLocality &locality) { return 1 - locality.share; },
        [](const ServiceLocality &locality, const DestinationChoice &other) { return locality.share * weightShare(locality, other); });
    appendLocalityGauge(
        text, "data_centre_wait_milliseconds", "Wait that is known; of the own data centre that forecast if no flow left.", state,
        [](const ServiceLocality &locality) { return locality.homeForecastMs; },
        [](const ServiceLocality & /*locality*/, const DestinationChoice &other) { return other.figures.figures.waitMs; });
    appendLocalityGauge(
        text, "data_centre_load", "Slots kept busy by the requests offered, per slot.", state,
        [](const ServiceLocality &locality) { return loadPerSlot(locality.home); },
        [](const ServiceLocality & /*locality*/, const DestinationChoice &other) { return loadPerSlot(other.figures.figures); });
    appendLocalityGauge(
        text, "data_centre_figures_age_milliseconds", "Mean age of the reports behind these figures.", state,
        [](const ServiceLocality &locality) { return locality.home.ageMs; },
        [](const ServiceLocality & /*locality*/, const DestinationChoice &other) { return other.figures.figures.ageMs; });
    appendLocalityGauge(
        text, "data_centre_path_milliseconds", "By how much the path is longer than that in the own data centre.", state,
        [](const ServiceLocality & /*locality*/) { return 0; },
        [](const ServiceLocality & /*locality*/, const DestinationChoice &other) { return other.figures.pathMs; });
}

/** Why open flows were reset, and what the findings about their upstreams rest on. */
void appendFindings(std::ostringstream &text, const CookieCounters &counters, const ProbeCounters &probes)
{
    text << "# HELP sapphirespan_flow_resets_total Open flows reset, by reason.\n# TYPE sapphirespan_flow_resets_total counter\n";
    for (const auto &fate :
         {Fate {"upstream_dark", counters.resetUpstreamUnreachable}, Fate {"upstream_departed", counters.resetUpstreamDeparted},
          Fate {"route_removed", counters.openFlowsResetNoRoute}}) {
        append(text, "flow_resets_total", "reason", fate);
    }
    text << "# HELP sapphirespan_idle_flow_resets_total Those of them that waited for no response.\n"
            "# TYPE sapphirespan_idle_flow_resets_total counter\nsapphirespan_idle_flow_resets_total "
         << counters.idleFlowsEnded << '\n';
    text << "# HELP sapphirespan_dark_contradicted_total Upstreams taken for dark at which a flow made progress.\n"
            "# TYPE sapphirespan_dark_contradicted_total counter\nsapphirespan_dark_contradicted_total "
         << counters.progressWhileUnreachable
         << "\n# HELP sapphirespan_probe_results_total Connection attempts that ended, by what for and how.\n"
            "# TYPE sapphirespan_probe_results_total counter\n";
    const auto appendProbes = [&text](std::size_t purpose, std::string_view result, std::uint64_t count) {
        text << "sapphirespan_probe_results_total{purpose=\"" << nameOf(static_cast<ProbePurpose>(purpose)) << "\",result=\"" << result
             << "\"} " << count << '\n';
    };
    for (std::size_t purpose = 0; purpose < probes.ended.size(); ++purpose) {
        for (std::size_t result = 0; result < probes.ended[purpose].size(); ++result) {
            appendProbes(purpose, nameOf(static_cast<ProbeResult>(result)), probes.ended[purpose][result]);
        }
        appendProbes(purpose, "not_made", probes.notMade[purpose]);
        appendProbes(purpose, "answered_late", probes.answeredLate[purpose]);
    }
}

/** Rejections that were not sent, and how old what is read may be. */
void appendOpeningAge(std::ostringstream &text, const CookieCounters &counters, const OpeningAge &age, SteadyTime now)
{
    text << "# HELP sapphirespan_rejections_withheld_total Openings not rejected since their flow may be open through another instance.\n"
            "# TYPE sapphirespan_rejections_withheld_total counter\n";
    for (const auto &fate : {Fate {"overload", counters.withheldOverload}, Fate {"no_route", counters.withheldNoRoute},
                             Fate {"no_upstream", counters.withheldNoUpstream}}) {
        append(text, "rejections_withheld_total", "reason", fate);
    }
    text << "# HELP sapphirespan_opening_age_seconds Time within which packets that are read now were sent; NaN if it is not known.\n"
            "# TYPE sapphirespan_opening_age_seconds gauge\nsapphirespan_opening_age_seconds ";
    if (const auto bound = maxPacketAge(age, now)) {
        text << std::chrono::duration<double>(*bound).count() << '\n';
    } else {
        text << "NaN\n";
    }
}

void appendKnowledge(std::ostringstream &text, const CookieCounters &accounts)
{
    text << "# HELP sapphirespan_knowledge_loads_total Starts by who told routes and upstreams.\n"
            "# TYPE sapphirespan_knowledge_loads_total counter\n";
    append(text, "knowledge_loads_total", "from", {"peer", accounts.initialLoadsFromPeer});
    append(text, "knowledge_loads_total", "from", {"store", accounts.initialLoadsFromStore});
    text << "# HELP sapphirespan_snapshots_total Snapshots asked of peers and served to them.\n"
            "# TYPE sapphirespan_snapshots_total counter\n";
    append(text, "snapshots_total", "direction", {"asked", accounts.snapshotsRequested});
    append(text, "snapshots_total", "direction", {"served", accounts.snapshotsServed});
}

/** Evacuation orders: 1 while in force, 0 once taken back. */
void appendEvacuations(std::ostringstream &text, const CookieState &state)
{
    if (!state.settings.appliesEvacuations) {
        return;
    }
    text << "# HELP sapphirespan_evacuated Whether a data centre gets no new flows, by order.\n# TYPE sapphirespan_evacuated gauge\n";
    for (const auto &entry : state.evacuations.entries().entries) {
        text << "sapphirespan_evacuated{data_centre=\"" << escaped(entry.dataCentre) << "\"} "
             << (state.evacuations.isInForce(entry.dataCentre) ? 1 : 0) << '\n';
    }
    text << "# HELP sapphirespan_evacuation_list_age_seconds Time since the list of orders was confirmed; -1 if there is none.\n"
            "# TYPE sapphirespan_evacuation_list_age_seconds gauge\nsapphirespan_evacuation_list_age_seconds "
         << (state.evacuations.isLoaded() ? std::chrono::duration<double>(evacuationListAge(state)).count() : -1) << '\n';
}

/** Of services whose cold upstreams have a budget. */
void appendColdUpstreams(std::ostringstream &text, const CookieState &state)
{
    if (!state.settings.warmUp.limitsColdUpstreams) {
        return;
    }
    text << "# HELP sapphirespan_cold_upstreams Upstreams that are cold.\n# TYPE sapphirespan_cold_upstreams gauge\n";
    for (const auto &[service, count] : countColdUpstreams(state)) {
        text << "sapphirespan_cold_upstreams{service=\"" << escaped(service) << "\"} " << count << '\n';
    }
    text << "# HELP sapphirespan_cold_openings_total Openings for which budgets of cold upstreams mattered.\n"
            "# TYPE sapphirespan_cold_openings_total counter\n";
    for (const auto &[service, counts] : state.warmUp.openings) {
        for (const auto &fate :
             {Fate {"placed", counts.placed}, Fate {"elsewhere", counts.elsewhere}, Fate {"rejected", counts.rejected}}) {
            text << "sapphirespan_cold_openings_total{service=\"" << escaped(service) << "\",outcome=\"" << fate.name << "\"} "
                 << fate.count << '\n';
        }
    }
    text << "# HELP sapphirespan_known_instances Instances among which budgets of cold upstreams are shared.\n"
            "# TYPE sapphirespan_known_instances gauge\nsapphirespan_known_instances "
         << state.warmUp.known.others.size() + 1 << '\n';
}

} // namespace

std::string cookieMetricsText(const CookieInstance &instance)
{
    std::ostringstream text;
    const auto &state = instance.state();
    appendPackets(text, instance.counters());
    appendUpstreams(text, state.upstreams);
    appendServiceLoads(text, state.serviceLoads, state.now);
    appendColdUpstreams(text, state);
    appendPriorities(text, state.priorityLoads);
    appendLocality(text, state);
    appendFindings(text, instance.counters(), state.probeCounters);
    appendOpeningAge(text, instance.counters(), state.openingAge, state.now);
    appendKnowledge(text, instance.counters());
    appendEvacuations(text, state);
    const auto age = std::chrono::duration<double>(storeDataAge(state)).count();
    text << "# HELP sapphirespan_knowledge_age_seconds Time since the store confirmed what is known.\n"
            "# TYPE sapphirespan_knowledge_age_seconds gauge\nsapphirespan_knowledge_age_seconds "
         << age << "\n# TYPE sapphirespan_routes_revision gauge\nsapphirespan_routes_revision " << state.routes.configuration().revision
         << "\n# TYPE sapphirespan_flows gauge\nsapphirespan_flows " << state.flows.size() << "\n# TYPE sapphirespan_is_watching gauge\n"
         << "sapphirespan_is_watching " << (state.watchReason != WatchReason::none ? 1 : 0)
         << "\n# TYPE sapphirespan_report_bytes_total counter\n"
         << "sapphirespan_report_bytes_total " << instance.counters().reportBytes << "\n# TYPE sapphirespan_probes_total counter\n"
         << "sapphirespan_probes_total " << instance.counters().probes << '\n';
    return text.str();
}

} // namespace sapphirespan
