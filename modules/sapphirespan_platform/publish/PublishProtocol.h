#pragma once

#include "sapphirespan_config/sapphirespan_config.h"
#include "sapphirespan_platform/objects/ObjectStore.h"

namespace sapphirespan {

/** What is true of a publication. */
enum class PublishVerdict : std::uint8_t {
    accepted, ///< in the platform as a generation; instances will put it in force
    unchanged, ///< the catalogue already says the same; no generation was made
    refused, ///< truly not in force, and never will be
    unknown, ///< the platform did not say; settle later with the publish id
    count
};

template<>
struct NameTable<PublishVerdict> {
    static constexpr std::array<std::string_view, enumCount<PublishVerdict>> names {"accepted", "unchanged", "refused", "unknown"};
};

/** The end of one publication. */
struct PublishOutcome {
    PublishVerdict verdict = PublishVerdict::unknown;
    std::string publishId;
    std::uint64_t generation = 0; ///< that carries it, if accepted or unchanged
    std::string reason; ///< why it was refused or is unknown
};

/** How long and how often a publication tries. */
struct PublishPolicy {
    int mostAttempts = 12;
    Milliseconds firstPause {50}; ///< doubles with each attempt, with jitter, up to the longest
    Milliseconds longestPause {2000};
    std::uint64_t randomSeed = 0; ///< of the jitter and the hash key of a first generation
};

/** @returns a publish id that no other publication has: the generation it starts from and a random part. */
std::string newPublishId(std::uint64_t baseGeneration, std::uint64_t random);

/** Publishes service files: writes contents and an index, then commits by the conditional update of the head.

    A publisher that loses a race reads again and tries anew, unless the winner changed one of its own services or
    claimed one of its addresses: then it is refused and the reason names it. A lost answer is settled by walking the
    chain of indexes back from the head in search of the publish id. Idempotent for one publish id.

    @param files checked files @param publishId from newPublishId(), or of an earlier try whose outcome was unknown
*/
PublishOutcome publish(ObjectStore &store, const std::vector<ServiceFile> &files, const std::string &publishId, const PublishPolicy &policy,
                       const Clock &clock);

/** Looks for a publication without repeating it. `refused` means: not in the catalogue as of the head just read. */
PublishOutcome settle(ObjectStore &store, const std::string &publishId, const PublishPolicy &policy);

/** Reads the head. @returns generation 0 and version 0 when there is none; nothing with the error when unreachable */
std::optional<std::pair<CatalogueHead, std::uint64_t>> readHead(ObjectStore &store, StoreError &error, LastReason &reason);

} // namespace sapphirespan
