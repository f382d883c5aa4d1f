#include "sapphirespan_platform/catalogue/CatalogueAssembly.h"

namespace sapphirespan {

CatalogueAssembly::CatalogueAssembly(const CatalogueHead &head, ObjectTexts known)
    : m_head(head)
    , m_known(std::move(known))
{
    LastReason reason;
    if (const auto text = m_known.find(head.indexDigest); text != m_known.end()) {
        takeIndex(text->second, reason);
    }
}

bool CatalogueAssembly::takeIndex(const std::string &text, LastReason &reason)
{
    m_index = catalogueIndexFromJson(text, reason);
    if (!m_index) {
        return false;
    }
    if (m_index->generation != m_head.generation) {
        reason.set("the index is of generation " + std::to_string(m_index->generation));
        m_index.reset();
        return false;
    }
    for (const auto &[name, service] : m_index->services) {
        if (const auto known = m_known.find(service.digest); known != m_known.end() && !m_contents.contains(service.digest)) {
            if (auto content = serviceContentFromJson(known->second, reason)) {
                m_contents[service.digest] = std::make_shared<const ServiceContent>(std::move(*content));
            }
        }
    }
    return true;
}

std::vector<ObjectName> CatalogueAssembly::wanted() const
{
    if (!m_index) {
        return {{ObjectKind::index, m_head.indexDigest}};
    }
    std::vector<ObjectName> names;
    for (const auto &[name, service] : m_index->services) {
        if (!m_contents.contains(service.digest)) {
            names.push_back({ObjectKind::content, service.digest});
        }
    }
    return names;
}

bool CatalogueAssembly::provide(const ObjectName &name, const std::string &text, LastReason &reason)
{
    if (digestOf(text) != name.name) {
        reason.set("object " + name.name + " does not match its digest");
        return false;
    }
    if (name.kind == ObjectKind::index) {
        m_known[name.name] = text;
        return takeIndex(text, reason);
    }
    auto content = serviceContentFromJson(text, reason);
    if (!content) {
        return false;
    }
    m_known[name.name] = text;
    m_contents[name.name] = std::make_shared<const ServiceContent>(std::move(*content));
    return true;
}

std::shared_ptr<const Catalogue> CatalogueAssembly::catalogue() const
{
    if (!m_index || !wanted().empty()) {
        return nullptr;
    }
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->head = m_head;
    catalogue->index = *m_index;
    for (const auto &[name, service] : m_index->services) {
        catalogue->services.push_back(m_contents.at(service.digest));
    }
    return catalogue;
}

ObjectTexts CatalogueAssembly::texts() const
{
    ObjectTexts texts;
    const auto keep = [&](const std::string &digest) {
        if (const auto known = m_known.find(digest); known != m_known.end()) {
            texts.insert(*known);
        }
    };
    keep(m_head.indexDigest);
    if (m_index) {
        for (const auto &[name, service] : m_index->services) {
            keep(service.digest);
        }
    }
    return texts;
}

std::shared_ptr<const Catalogue> loadCatalogue(ObjectStore &store, const CatalogueHead &head, ObjectTexts &texts, StoreError &error,
                                               LastReason &reason)
{
    if (head.generation == 0) {
        return std::make_shared<Catalogue>();
    }
    CatalogueAssembly assembly(head, texts);
    for (auto wanted = assembly.wanted(); !wanted.empty(); wanted = assembly.wanted()) {
        for (const auto &name : wanted) {
            const auto object = store.read(name, error);
            if (!object) {
                reason.set("cannot read " + objectPath(name) + ": " + std::string(nameOf(error)));
                return nullptr;
            }
            if (!assembly.provide(name, object->value, reason)) {
                error = StoreError::unreachable;
                return nullptr;
            }
        }
    }
    texts = assembly.texts();
    return assembly.catalogue();
}

} // namespace sapphirespan
