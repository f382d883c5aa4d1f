#pragma once

#include "sapphirespan_cookie/instance/CookieInstance.h"

namespace sapphirespan {

/** Where routes and upstreams come from. The product owns this interface; adapters implement it.

    Thread safety: none; signals come from the loop.
*/
class KnowledgeSource
{
public:
    virtual ~KnowledgeSource() = default;

    /** Starts or stops asking. Between both, what was learned stays valid. */
    virtual void setActive(bool isActive) = 0;

    sigc::signal<void(const UpstreamList &)> signalUpstreamsListed;
    sigc::signal<void(const UpstreamChanges &)> signalUpstreamsChanged;
    sigc::signal<void(const RouteConfiguration &)> signalRoutes;
    sigc::signal<void(KnowledgePart)> signalConfirmed; ///< everything up to now has been reported
    sigc::signal<void(const std::string &)> signalFailed; ///< a call failed; the reason
    sigc::signal<void(const std::string &)> signalUnreadable; ///< something was passed over; what and why
};

} // namespace sapphirespan
