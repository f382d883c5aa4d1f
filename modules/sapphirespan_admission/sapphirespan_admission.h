/** @file
    Module sapphirespan_admission: decides which new flows are rejected while a service is overloaded, and which data centre the
    others prefer, and which instance may place the next new flow on a cold upstream.

    An instance rejects a new flow whose request would only wait. The limit follows from response times that the instance
    has seen itself; no message between instances and no figure of a deployment is needed.

    Dependencies: sapphirespan_base. This module performs no input or output and reads no clock.
*/
#pragma once

#include "sapphirespan_admission/limits/Admission.h"
#include "sapphirespan_admission/limits/ServiceLoad.h"
#include "sapphirespan_admission/locality/DataCentrePreference.h"
#include "sapphirespan_admission/locality/ForecastChoice.h"
#include "sapphirespan_admission/priorities/CallerAnswer.h"
#include "sapphirespan_admission/priorities/PriorityAdmission.h"
#include "sapphirespan_admission/priorities/RejectionOrder.h"
#include "sapphirespan_admission/warmup/SlotOwnership.h"
#include "sapphirespan_admission/warmup/SlotPlan.h"
#include "sapphirespan_admission/warmup/UpstreamSlots.h"
#include "sapphirespan_admission/warmup/WarmUpSettings.h"
