/** @file
    Module sapphirespan_base: identifiers, addresses, last reason, clock, findings, invariants and name tables.

    Dependencies: sigc++ (C++ standard library otherwise).
    Nothing here performs input or output, except SystemClock, which reads the clocks of the machine.
*/
#pragma once

#include "sapphirespan_base/errors/LastReason.h"
#include "sapphirespan_base/findings/FindingList.h"
#include "sapphirespan_base/invariants/InvariantLog.h"
#include "sapphirespan_base/names/NameTable.h"
#include "sapphirespan_base/net/Endpoint.h"
#include "sapphirespan_base/net/IpAddress.h"
#include "sapphirespan_base/time/Clock.h"
#include "sapphirespan_base/time/ManualClock.h"
#include "sapphirespan_base/time/SystemClock.h"
