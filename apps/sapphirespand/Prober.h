#pragma once

#include "sapphirespan_entry/sapphirespan_entry.h"
#include "sapphirespan_net/sapphirespan_net.h"

namespace sapphirespan {

/** Asks the status endpoints of upstreams for health and load, spread evenly over the probe interval.

    An endpoint answers `GET /status` with JSON: `state` (ready, draining, shedding), `connections`, `slots_in_use`
    and, if it knows, `age_ms`, the age of these numbers. Thread safety: none.
*/
class Prober
{
public:
    using Handler = std::function<void(const UpstreamName &upstream, const ProbeOutcome &outcome)>;

    Prober(EventLoop &loop, Milliseconds interval, Handler handler);

    /** Probes the upstreams of a catalogue from now on. */
    void setCatalogue(const Catalogue &catalogue);

private:
    struct Target {
        UpstreamName name;
        Endpoint status;
    };

    void probeDue();

    EventLoop &m_loop;
    HttpClient m_client;
    Milliseconds m_interval;
    Handler m_handler;
    std::vector<Target> m_targets;
    std::size_t m_next = 0;
    double m_credit = 0; ///< probes that are due by now
    EventHandle m_timer;
};

/** @returns the outcome that an answer stands for; malformed answers count as no answer. */
ProbeOutcome probeOutcomeOf(const HttpOutcome &outcome);

} // namespace sapphirespan
