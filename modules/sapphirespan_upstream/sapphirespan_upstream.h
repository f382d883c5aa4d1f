/** @file
    Module sapphirespan_upstream: judgement of upstreams: health, load, phase, and where a new flow is placed.

    Dependencies: sapphirespan_base, sapphirespan_flow.
    Performs no input or output.
*/
#pragma once

#include "sapphirespan_upstream/health/HealthOpinion.h"
#include "sapphirespan_upstream/load/LoadEstimate.h"
#include "sapphirespan_upstream/placement/Placement.h"
#include "sapphirespan_upstream/state/UpstreamRegister.h"
