#pragma once

#include "sapphirespan_config/service/ServiceFile.h"

namespace sapphirespan {

/** Collects the service files under paths: a file itself, or every `sapphirespan.yaml` below a folder.

    @returns paths in sorted order, each once; a path that does not exist is recorded as a finding
*/
std::vector<std::string> collectServiceFiles(const std::vector<std::string> &paths, FindingList &findings);

/** Reads and checks service files, each by itself and all against each other (names and addresses stand once).

    @returns the services that parsed; whether they may be published is up to `findings`
*/
std::vector<ParsedServiceFile> loadServiceFiles(const std::vector<std::string> &files, FindingList &findings);

} // namespace sapphirespan
