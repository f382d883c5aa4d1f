/** @file
    Module sapphirespan_entry: all decisions of one entry instance, without input or output.

    An outside program links this module and drives one or many instances message by message through
    EntryInstance: it feeds typed inputs and a clock, and sends what the outbox holds.

    Dependencies: sapphirespan_base, sapphirespan_flow, sapphirespan_config, sapphirespan_upstream, sapphirespan_fleet,
    sapphirespan_report.
*/
#pragma once

#include "sapphirespan_entry/instance/EntryInstance.h"
#include "sapphirespan_entry/instance/EntryInstanceSettings.h"
#include "sapphirespan_entry/instance/InstanceEvent.h"
#include "sapphirespan_entry/instance/Outbox.h"
