#include "sapphirespan_platform/objects/ObjectStore.h"

namespace sapphirespan {

std::string objectPath(const ObjectName &name)
{
    return "/v1/objects/" + std::string(nameOf(name.kind)) + "/" + name.name;
}

} // namespace sapphirespan
