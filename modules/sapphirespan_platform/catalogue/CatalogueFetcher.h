#pragma once

#include "sapphirespan_net/sapphirespan_net.h"
#include "sapphirespan_platform/catalogue/CatalogueAssembly.h"

namespace sapphirespan {

/** Fetches one generation at a time from the platform or a peer, without blocking the loop.

    A fetch of a higher generation replaces one in progress. Thread safety: none.
*/
class CatalogueFetcher
{
public:
    /** @param texts objects known already; kept up to date with each generation fetched */
    CatalogueFetcher(EventLoop &loop, ObjectTexts &texts);

    /** Starts to fetch a generation, unless that or a higher one is being fetched. */
    void fetch(const CatalogueHead &head, const Endpoint &source);

    /** Emitted with each complete generation. */
    sigc::signal<void(std::shared_ptr<const Catalogue>)> signalComplete;

    /** Emitted when a fetch was given up, with the reason. */
    sigc::signal<void(const std::string &)> signalFailed;

private:
    void requestWanted();
    void takeAnswer(const ObjectName &name, const HttpOutcome &outcome);
    void fail(const std::string &reason);

    EventLoop &m_loop;
    ObjectTexts &m_texts;
    Endpoint m_source;
    std::optional<CatalogueAssembly> m_assembly;
    std::size_t m_openRequests = 0;
    std::unique_ptr<HttpClient> m_client; ///< one for each fetch, so that answers to an earlier one are never heard
    std::vector<std::unique_ptr<HttpClient>> m_finishedClients;
    EventHandle m_cleanup;
};

} // namespace sapphirespan
