#pragma once

#include "sapphirespan_config/sapphirespan_config.h"
#include "sapphirespan_platform/objects/ObjectStore.h"

#include <set>

namespace sapphirespan {

/** Texts of immutable objects by digest, of the generation in force and the one being fetched. */
using ObjectTexts = std::map<std::string, std::string>;

/** Puts one generation together from objects that arrive in any order, and checks every digest.

    The objects may come from the platform or from a peer: what does not match its digest is not taken.
    Thread safety: none.
*/
class CatalogueAssembly
{
public:
    /** @param head the generation to assemble @param known texts that need not be fetched again */
    CatalogueAssembly(const CatalogueHead &head, ObjectTexts known);

    /** @returns the objects still needed; empty when the catalogue is complete or has failed. */
    std::vector<ObjectName> wanted() const;

    /** Takes in an object. @returns false, with the reason, when it does not match its digest or is malformed */
    bool provide(const ObjectName &name, const std::string &text, LastReason &reason);

    /** @returns the catalogue once complete, else null. */
    std::shared_ptr<const Catalogue> catalogue() const;

    /** @returns the texts of the assembled generation, for peers and the next assembly. */
    ObjectTexts texts() const;

    const CatalogueHead &head() const
    {
        return m_head;
    }

private:
    bool takeIndex(const std::string &text, LastReason &reason);

    CatalogueHead m_head;
    ObjectTexts m_known;
    std::optional<CatalogueIndex> m_index;
    std::map<std::string, std::shared_ptr<const ServiceContent>> m_contents; ///< by digest
};

/** Reads a whole generation from the platform. @returns null with the error or reason */
std::shared_ptr<const Catalogue> loadCatalogue(ObjectStore &store, const CatalogueHead &head, ObjectTexts &texts, StoreError &error,
                                               LastReason &reason);

} // namespace sapphirespan
