#pragma once

#include "sapphirespan_config/catalogue/ServiceContent.h"

#include <map>
#include <memory>

namespace sapphirespan {

/** Names one service's content within an index. */
struct IndexedService {
    ServiceNumber number = 0;
    std::string digest;

    bool operator==(const IndexedService &) const = default;
};

/** The immutable list of all services of one generation; addressed by its own digest. */
struct CatalogueIndex {
    std::uint64_t generation = 0;
    std::string publishId; ///< of the publication that made this generation
    std::string previousDigest; ///< index of the generation before, or empty
    FlowHashKey hashKey {};
    ServiceNumber nextNumber = 0; ///< service numbers are never used twice
    std::map<std::string, IndexedService> services;

    bool operator==(const CatalogueIndex &) const = default;
};

/** The one object whose conditional update commits a generation. */
struct CatalogueHead {
    std::uint64_t generation = 0;
    std::string indexDigest;

    bool operator==(const CatalogueHead &) const = default;
};

/** One whole generation, ready to be put in force. */
struct Catalogue {
    CatalogueHead head;
    CatalogueIndex index;
    std::vector<std::shared_ptr<const ServiceContent>> services;
};

/** @returns the service of a name, or nullptr. */
const ServiceContent *findService(const Catalogue &catalogue, const std::string &name);

/** @returns a service other than `name` that claims one of the addresses, with the address as text, or nothing. */
std::optional<std::pair<std::string, std::string>> addressClaimedByAnother(const Catalogue &catalogue, const ServiceFile &file);

} // namespace sapphirespan
