#pragma once

#include "sapphirespan_admission/sapphirespan_admission.h"
#include "sapphirespan_base/sapphirespan_base.h"

#include <set>
#include <vector>

namespace sapphirespan {

/** Everything that a settings file of an instance with cookie steering says. */
struct CookieSettings {
    std::string name;
    std::string dataCentre;
    Endpoint ingress; ///< UDP: packets of clients; also the port at which clients take packets
    Endpoint readiness; ///< TCP: whether packets may be handed to this instance
    Endpoint peer; ///< UDP: reports between instances
    Endpoint control; ///< TCP: snapshots for peers, metrics
    Endpoint platform; ///< TCP: the store of the platform
    std::vector<Endpoint> seeds; ///< control endpoints of other instances; may be out of date
    bool isSeed = false; ///< its control endpoint is among the seeds
    bool isFirstStart = false; ///< the whole fleet starts for the first time
    std::string logLevel = "info";
    Milliseconds flowLifetime {60000}; ///< after which a flow may be forgotten
    Milliseconds leaveLimit {6000}; ///< after which a leaving instance is ended from outside
    std::uint16_t hostProbePort = 9; ///< TCP port at which hosts of upstreams are probed; nothing needs to listen there
    AdmissionSettings admission; ///< policies under load
    bool appliesEvacuations = false; ///< orders to empty data centres are watched and applied
    WarmUpSettings warmUp {}; ///< limits of new flows to cold upstreams

    bool operator==(const CookieSettings &) const = default;
};

/** @returns whether a settings file asks for cookie steering; anything that cannot be read does not. */
bool asksForCookieSteering(const std::string &text);

/** What could be read of a settings file. */
struct CookieSettingsReading {
    CookieSettings settings; ///< with the defaults of keys that are refused or missing
    std::set<std::string> refusedKeys; ///< keys with findings, and their sections, as "listen.peer"
    bool isReadable = false; ///< false: nothing could be read
    bool isStartable = false; ///< whether all keys without which an instance cannot run are there and were read
};

/** Reads a settings file, each key by itself: one that is refused takes its default, and of a list only the items that cannot be read
    are left out. Keys without a value count as missing.
    @param findings get what was refused, each with its key. Thread safety: pure but for them.
*/
CookieSettingsReading readCookieSettings(const std::string &path, const std::string &text, FindingList &findings);

/** Reads a settings file as readCookieSettings() does.
    @returns nothing if there are findings. Thread safety: pure but for `findings`.
*/
std::optional<CookieSettings> parseCookieSettings(const std::string &path, const std::string &text, FindingList &findings);

} // namespace sapphirespan
