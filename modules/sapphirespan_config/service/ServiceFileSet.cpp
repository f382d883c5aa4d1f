#include "sapphirespan_config/service/ServiceFileSet.h"

#include "sapphirespan_config/yaml/YamlReader.h"

#include <filesystem>
#include <map>
#include <set>

namespace sapphirespan {

namespace {
constexpr const char *serviceFileName = "sapphirespan.yaml";

void collectFolder(const std::filesystem::path &folder, std::set<std::string> &files, FindingList &findings)
{
    std::error_code error;
    const auto options = std::filesystem::directory_options::skip_permission_denied;
    bool isAny = false;
    for (std::filesystem::recursive_directory_iterator entry(folder, options, error), end; entry != end && !error; entry.increment(error)) {
        if (entry->path().filename() == serviceFileName) {
            files.insert(entry->path().string());
            isAny = true;
        }
    }
    if (!isAny) {
        findings.add({folder.string(), 0, 0}, std::string("a ") + serviceFileName + " below the folder", "none");
    }
}

void checkAgainstEachOther(const std::vector<ParsedServiceFile> &files, FindingList &findings)
{
    std::map<std::string, Place> names;
    std::map<ServiceAddress, Place> addresses;
    for (const auto &file : files) {
        if (const auto [first, isNew] = names.emplace(file.service.name, file.namePlace); !isNew) {
            findings.add(file.namePlace, "each service in one file", "'" + file.service.name + "' also in " + first->second.file);
        }
        for (std::size_t index = 0; index < file.service.addresses.size(); ++index) {
            const auto &address = file.service.addresses[index];
            if (const auto [first, isNew] = addresses.emplace(address, file.addressPlaces[index]); !isNew) {
                findings.add(file.addressPlaces[index], "each address in one service",
                             address.endpoint.toText() + " also at " + first->second.file + ":" + std::to_string(first->second.line));
            }
        }
    }
}
} // namespace

std::vector<std::string> collectServiceFiles(const std::vector<std::string> &paths, FindingList &findings)
{
    std::set<std::string> files;
    for (const auto &path : paths) {
        std::error_code error;
        if (std::filesystem::is_directory(path, error)) {
            collectFolder(path, files, findings);
        } else {
            files.insert(path);
        }
    }
    return {files.begin(), files.end()};
}

std::vector<ParsedServiceFile> loadServiceFiles(const std::vector<std::string> &files, FindingList &findings)
{
    std::vector<ParsedServiceFile> services;
    for (const auto &path : files) {
        const auto text = readTextFile(path, findings);
        if (!text) {
            continue;
        }
        if (auto service = parseServiceFile(path, *text, findings)) {
            services.push_back(std::move(*service));
        }
    }
    checkAgainstEachOther(services, findings);
    return services;
}

} // namespace sapphirespan
