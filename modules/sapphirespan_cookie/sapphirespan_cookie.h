/** @file
    Module sapphirespan_cookie: an entry instance that steers flows by a cookie in their packets.

    For transports whose packets carry a few bytes that both ends repeat. Beside sapphirespan_entry, which steers by
    buckets where packets carry nothing.

    Dependencies: sapphirespan_base; libsodium, msgpack-cxx. Nothing here performs input or output.
*/
#pragma once

#include "sapphirespan_cookie/evidence/DataCentreEvidence.h"
#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"
#include "sapphirespan_cookie/evidence/VerdictTable.h"
#include "sapphirespan_cookie/flows/FlowTrackingTable.h"
#include "sapphirespan_cookie/instance/CookieInstance.h"
#include "sapphirespan_cookie/knowledge/KnowledgeSource.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"
#include "sapphirespan_cookie/peers/PeerReport.h"
#include "sapphirespan_cookie/peers/PeerTable.h"
#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/state/CookieOutbox.h"
#include "sapphirespan_cookie/state/CookieState.h"
