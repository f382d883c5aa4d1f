/** @file
    Module sapphirespan_cookie: an entry instance that steers each flow to its upstream by a cookie in the flow's packets.

    For transports whose packets have room for a few bytes that both ends repeat in every packet. The module
    sapphirespan_entry steers by buckets, for transports whose packets carry no such bytes.

    Dependencies: sapphirespan_base, sapphirespan_admission; libsodium, msgpack-cxx. This module performs no input or output.
*/
#pragma once

#include "sapphirespan_cookie/evidence/DataCentreEvidence.h"
#include "sapphirespan_cookie/evidence/LinkDelay.h"
#include "sapphirespan_cookie/evidence/UpstreamEvidence.h"
#include "sapphirespan_cookie/evidence/VerdictBook.h"
#include "sapphirespan_cookie/flows/FlowBook.h"
#include "sapphirespan_cookie/flows/OpeningAge.h"
#include "sapphirespan_cookie/instance/CookieInstance.h"
#include "sapphirespan_cookie/knowledge/EvacuationDirectory.h"
#include "sapphirespan_cookie/knowledge/KnowledgeSource.h"
#include "sapphirespan_cookie/knowledge/RouteDirectory.h"
#include "sapphirespan_cookie/knowledge/StoreRevision.h"
#include "sapphirespan_cookie/knowledge/UpstreamDirectory.h"
#include "sapphirespan_cookie/packets/ClientPacket.h"
#include "sapphirespan_cookie/peers/PeerReport.h"
#include "sapphirespan_cookie/peers/PeerSupplement.h"
#include "sapphirespan_cookie/peers/PeerTable.h"
#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/state/CookieOutbox.h"
#include "sapphirespan_cookie/state/CookieState.h"
#include "sapphirespan_cookie/state/WarmUpState.h"
#include "sapphirespan_cookie/systems/CookieEvacuationSystem.h"
