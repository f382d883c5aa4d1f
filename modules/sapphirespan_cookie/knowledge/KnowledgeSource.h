#pragma once

#include "sapphirespan_cookie/instance/CookieInstance.h"

namespace sapphirespan {

/** Delivers routes, upstream entries and, if it was made to, evacuation orders from the store. Implemented outside this module by the
   client of the store.

    Thread safety: none; signals are emitted on the thread of the event loop.
*/
class StoreDataSource
{
public:
    virtual ~StoreDataSource() = default;

    /** Starts or stops watching the store; stopping does not invalidate what was reported before. @param known the revisions
        up to which this instance is complete, from the store or from peers; only later changes are requested */
    virtual void setActive(bool isActive, const StoreRevisions &known) = 0;

    sigc::signal<void(const UpstreamList &)> signalUpstreamsListed;
    sigc::signal<void(const UpstreamChanges &)> signalUpstreamsChanged;
    sigc::signal<void(const RouteConfiguration &)> signalRoutesReceived;
    sigc::signal<void(const EvacuationList &)> signalEvacuationsListed; ///< all orders in force at the list's revision
    sigc::signal<void(const EvacuationList &)> signalEvacuationsChanged; ///< all changes up to the list's revision, also if there are none
    sigc::signal<void(StoreDataKind, std::uint64_t)> signalRevisionConfirmed; ///< all changes up to this store revision have been reported
    sigc::signal<void(const std::string &)> signalCallFailed; ///< a call to the store failed; the argument is the reason
    /** A call for evacuation orders failed; the argument is the reason. If the store is out of reach, signalCallFailed says so as well. */
    sigc::signal<void(const std::string &)> signalEvacuationCallFailed;
    sigc::signal<void(const std::string &)> signalEntrySkipped; ///< an entry was skipped; the argument names it and says why
};

} // namespace sapphirespan
