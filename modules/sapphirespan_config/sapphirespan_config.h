/** @file
    Module sapphirespan_config: service files, instance settings, keys, and the catalogue that generations carry.

    Dependencies: sapphirespan_base, sapphirespan_admission, sapphirespan_flow, yaml-cpp (files), jsoncpp (objects), libsodium (digests).
    Reads files; performs no network input or output.
*/
#pragma once

#include "sapphirespan_config/catalogue/Catalogue.h"
#include "sapphirespan_config/catalogue/CatalogueJson.h"
#include "sapphirespan_config/catalogue/Digest.h"
#include "sapphirespan_config/catalogue/ServiceContent.h"
#include "sapphirespan_config/service/ServiceFile.h"
#include "sapphirespan_config/service/ServiceFileSet.h"
#include "sapphirespan_config/settings/CookieSettings.h"
#include "sapphirespan_config/settings/InstanceSettings.h"
#include "sapphirespan_config/settings/KeyRing.h"
#include "sapphirespan_config/yaml/YamlReader.h"
#include "sapphirespan_config/yaml/YamlUnits.h"
