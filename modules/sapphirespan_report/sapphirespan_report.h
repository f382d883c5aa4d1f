/** @file
    Module sapphirespan_report: decision accounts, histograms, metrics text and the service-level burn report.

    Dependencies: sapphirespan_base, sapphirespan_flow, Boost.Histogram, spdlog, jsoncpp.
    Writes logs to standard output; performs no other input or output.
*/
#pragma once

#include "sapphirespan_report/accounts/DecisionAccounts.h"
#include "sapphirespan_report/burn/BurnReport.h"
#include "sapphirespan_report/logs/JsonLog.h"
#include "sapphirespan_report/logs/LogBudget.h"
#include "sapphirespan_report/metrics/DurationHistogram.h"
