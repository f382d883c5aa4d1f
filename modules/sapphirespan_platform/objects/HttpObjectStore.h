#pragma once

#include "sapphirespan_net/sapphirespan_net.h"
#include "sapphirespan_platform/objects/ObjectStore.h"

namespace sapphirespan {

/** Headers of the object API. */
inline constexpr const char *objectVersionHeader = "Object-Version";
inline constexpr const char *ifVersionHeader = "If-Version";

/** Interprets the outcome of a read. @returns the object, or nothing with the error */
std::optional<StoredObject> readOutcome(const HttpOutcome &outcome, StoreError &error);

/** Interprets the outcome of a conditional write. @returns the new version, or nothing with the error */
std::optional<std::uint64_t> writeOutcome(const HttpOutcome &outcome, StoreError &error);

/** The object API over HTTP; runs the loop while it waits. Thread safety: none. */
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(EventLoop &loop, const Endpoint &platform, Milliseconds deadline);

    std::optional<StoredObject> read(const ObjectName &name, StoreError &error) override;
    std::optional<std::uint64_t> write(const ObjectName &name, std::uint64_t expected, const std::string &value,
                                       StoreError &error) override;
    void pause(Milliseconds time) override;

private:
    HttpOutcome call(HttpMethod method, const ObjectName &name, const std::map<std::string, std::string> &headers, const std::string &body);

    EventLoop &m_loop;
    HttpClient m_client;
    Endpoint m_platform;
    Milliseconds m_deadline;
};

} // namespace sapphirespan
