/** @file
    Module sapphirespan_flow: caller packets, the flow hash, buckets, the flow table and refusal packets.

    Dependencies: sapphirespan_base, libsodium (SipHash), libtins (crafted refusal packets).
    Performs no input or output.
*/
#pragma once

#include "sapphirespan_flow/buckets/BucketTable.h"
#include "sapphirespan_flow/hashing/FlowHasher.h"
#include "sapphirespan_flow/packets/PacketView.h"
#include "sapphirespan_flow/refusal/RefusalPacket.h"
#include "sapphirespan_flow/table/FlowTable.h"
