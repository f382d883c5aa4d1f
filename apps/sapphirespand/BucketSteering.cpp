#include "BucketSteering.h"

#include "Daemon.h"
#include "RunDaemon.h"

extern "C" __attribute__((visibility("default"))) int sapphirespanRunBucketSteering(const char *path, const char *text, bool isCheckOnly)
{
    sapphirespan::FindingList findings;
    const auto settings = sapphirespan::parseInstanceSettings(path, text, findings);
    const auto keys = settings ? sapphirespan::loadKeyRing(settings->keyFile, findings) : std::nullopt;
    sapphirespan::printFindings(findings);
    if (!settings || !keys) {
        return sapphirespan::exitFindings;
    }
    if (isCheckOnly) {
        return 0;
    }
    sapphirespan::Daemon daemon(*settings, *keys);
    return sapphirespan::runDaemon(daemon);
}
