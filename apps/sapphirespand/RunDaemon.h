#pragma once

#include "sapphirespan_base/sapphirespan_base.h"

#include <cstdio>

namespace sapphirespan {

/** Exit code after findings in files or an endpoint that cannot be bound. */
inline constexpr int exitFindings = 1;

/** Prints findings to standard error, one a line. */
inline void printFindings(const FindingList &findings)
{
    for (const auto &finding : findings.sorted()) {
        std::fprintf(stderr, "%s\n", toText(finding).c_str());
    }
}

/** Starts and runs a daemon. @returns the exit code of the process */
template<typename Daemon>
int runDaemon(Daemon &daemon)
{
    LastReason reason;
    if (!daemon.start(reason)) {
        std::fprintf(stderr, "%s\n", reason.text().c_str());
        return exitFindings;
    }
    return daemon.run();
}

} // namespace sapphirespan
