#include "sapphirespan_config/catalogue/Catalogue.h"

#include <algorithm>

namespace sapphirespan {

const ServiceContent *findService(const Catalogue &catalogue, const std::string &name)
{
    const auto found = std::find_if(catalogue.services.begin(), catalogue.services.end(),
                                    [&name](const auto &content) { return content->service.name == name; });
    return found != catalogue.services.end() ? found->get() : nullptr;
}

std::optional<std::pair<std::string, std::string>> addressClaimedByAnother(const Catalogue &catalogue, const ServiceFile &file)
{
    for (const auto &content : catalogue.services) {
        if (content->service.name == file.name) {
            continue;
        }
        for (const auto &address : content->service.addresses) {
            if (std::find(file.addresses.begin(), file.addresses.end(), address) != file.addresses.end()) {
                return std::pair(content->service.name, address.endpoint.toText());
            }
        }
    }
    return std::nullopt;
}

} // namespace sapphirespan
