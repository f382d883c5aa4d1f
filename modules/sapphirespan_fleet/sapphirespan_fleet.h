/** @file
    Module sapphirespan_fleet: members of a scope, the messages between them, bucket ownership and entry streams.

    Dependencies: sapphirespan_base, sapphirespan_flow, sapphirespan_config (keys), sapphirespan_upstream (registers),
    msgpack (message bodies), libsodium (tags).
    Performs no input or output.
*/
#pragma once

#include "sapphirespan_fleet/membership/Member.h"
#include "sapphirespan_fleet/messages/PeerCodec.h"
#include "sapphirespan_fleet/messages/PeerMessages.h"
#include "sapphirespan_fleet/messages/ReplayWindow.h"
#include "sapphirespan_fleet/ownership/Ranking.h"
#include "sapphirespan_fleet/streams/EntryStream.h"
