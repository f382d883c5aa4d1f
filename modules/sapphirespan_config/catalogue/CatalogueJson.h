#pragma once

#include "sapphirespan_config/catalogue/Catalogue.h"

namespace sapphirespan {

/** The text forms of platform objects: JSON without white space, keys sorted, so that equal values have equal digests.

    Each reader takes text of any content and returns nothing, with the reason, unless the whole is well-formed.
    Thread safety: pure functions.
*/
std::string toJson(const ServiceContent &content);
std::string toJson(const CatalogueIndex &index);
std::string toJson(const CatalogueHead &head);

std::optional<ServiceContent> serviceContentFromJson(const std::string &text, LastReason &reason);
std::optional<CatalogueIndex> catalogueIndexFromJson(const std::string &text, LastReason &reason);
std::optional<CatalogueHead> catalogueHeadFromJson(const std::string &text, LastReason &reason);

} // namespace sapphirespan
