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

    /** Starts or stops asking. Between both, what was learned stays valid. @param known what this instance knows already, from
        here or from peers: only what came later is asked for */
    virtual void setActive(bool isActive, const StoreRevisions &known) = 0;

    sigc::signal<void(const UpstreamList &)> signalUpstreamsListed;
    sigc::signal<void(const UpstreamChanges &)> signalUpstreamsChanged;
    sigc::signal<void(const RouteConfiguration &)> signalRoutesReceived;
    sigc::signal<void(StoreDataKind, std::uint64_t)>
        signalRevisionConfirmed; ///< everything up to a revision of the store has been reported
    sigc::signal<void(const std::string &)> signalCallFailed; ///< a call failed; the reason
    sigc::signal<void(const std::string &)> signalEntrySkipped; ///< something was passed over; what and why
};

} // namespace sapphirespan
