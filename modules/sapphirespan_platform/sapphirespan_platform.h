/** @file
    Module sapphirespan_platform: the platform's object API, the publish protocol and the assembly of catalogues.

    Dependencies: sapphirespan_base, sapphirespan_config, sapphirespan_net (HTTP).
*/
#pragma once

#include "sapphirespan_platform/catalogue/CatalogueAssembly.h"
#include "sapphirespan_platform/catalogue/CatalogueFetcher.h"
#include "sapphirespan_platform/catalogue/HeadWatcher.h"
#include "sapphirespan_platform/objects/HttpObjectStore.h"
#include "sapphirespan_platform/objects/ObjectStore.h"
#include "sapphirespan_platform/publish/PublishProtocol.h"
