/** @file
    Module sapphirespan_report: decision accounts, histograms, metrics text and the service-level burn report.

    Dependencies: sapphirespan_base, sapphirespan_flow, Boost.Histogram.
    Performs no input or output.
*/
#pragma once

#include "sapphirespan_report/accounts/DecisionAccounts.h"
