#include "sapphirespan_platform/catalogue/CatalogueFetcher.h"

#include "sapphirespan_platform/objects/HttpObjectStore.h"

namespace sapphirespan {

namespace {
using namespace std::chrono_literals;
constexpr auto objectDeadline = 2s;
constexpr std::size_t mostOpenRequests = 16;
} // namespace

CatalogueFetcher::CatalogueFetcher(EventLoop &loop, ObjectTexts &texts)
    : m_loop(loop)
    , m_texts(texts)
{
}

void CatalogueFetcher::fetch(const CatalogueHead &head, const Endpoint &source)
{
    if (m_assembly && m_assembly->head().generation >= head.generation) {
        return;
    }
    m_finishedClients.push_back(std::move(m_client));
    m_cleanup = m_loop.after(Milliseconds(0), [this] { m_finishedClients.clear(); });
    m_client = std::make_unique<HttpClient>(m_loop);
    m_assembly.emplace(head, m_texts);
    m_source = source;
    m_openRequests = 0;
    requestWanted();
}

void CatalogueFetcher::requestWanted()
{
    const auto wanted = m_assembly->wanted();
    if (wanted.empty()) {
        auto catalogue = m_assembly->catalogue();
        m_texts = m_assembly->texts();
        m_assembly.reset();
        signalComplete.emit(std::move(catalogue));
        return;
    }
    for (const auto &name : wanted) {
        if (m_openRequests == mostOpenRequests) {
            return;
        }
        ++m_openRequests;
        m_client->send(m_source, HttpMethod::get, objectPath(name), {}, "", objectDeadline,
                       [this, name](const HttpOutcome &outcome) { takeAnswer(name, outcome); });
    }
}

void CatalogueFetcher::takeAnswer(const ObjectName &name, const HttpOutcome &outcome)
{
    if (!m_assembly) {
        return;
    }
    --m_openRequests;
    StoreError error {};
    LastReason reason;
    const auto object = readOutcome(outcome, error);
    if (!object) {
        fail("cannot read " + objectPath(name) + " from " + m_source.toText() + ": " + std::string(nameOf(error)));
        return;
    }
    if (!m_assembly->provide(name, object->value, reason)) {
        fail(reason.text());
        return;
    }
    if (m_openRequests == 0) {
        requestWanted();
    }
}

void CatalogueFetcher::fail(const std::string &reason)
{
    m_assembly.reset();
    signalFailed.emit(reason);
}

} // namespace sapphirespan
