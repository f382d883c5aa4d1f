#include "sapphirespan_platform/objects/HttpObjectStore.h"

#include <charconv>

namespace sapphirespan {

namespace {

constexpr int statusOk = 200;
constexpr int statusMissing = 404;
constexpr int statusConflict = 409;
constexpr int statusOverloaded = 429;

std::optional<std::uint64_t> versionOf(const HttpResponse &response)
{
    const auto header = response.headers.find("object-version");
    std::uint64_t version = 0;
    if (header == response.headers.end()) {
        return std::nullopt;
    }
    const auto &text = header->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc() ? std::optional(version) : std::nullopt;
}

/** An answer that is none of the known ones says nothing about whether a write took effect. */
StoreError errorOf(const HttpOutcome &outcome)
{
    if (!outcome.response) {
        return outcome.wasSent ? StoreError::unknownOutcome : StoreError::unreachable;
    }
    switch (outcome.response->status) {
    case statusMissing:
        return StoreError::missing;
    case statusConflict:
        return StoreError::conflict;
    case statusOverloaded:
        return StoreError::overloaded;
    default:
        return StoreError::unknownOutcome;
    }
}

} // namespace

std::optional<StoredObject> readOutcome(const HttpOutcome &outcome, StoreError &error)
{
    if (outcome.response && outcome.response->status == statusOk) {
        if (const auto version = versionOf(*outcome.response)) {
            return StoredObject {*version, outcome.response->body};
        }
    }
    error = errorOf(outcome);
    return std::nullopt;
}

std::optional<std::uint64_t> writeOutcome(const HttpOutcome &outcome, StoreError &error)
{
    if (outcome.response && outcome.response->status == statusOk) {
        if (const auto version = versionOf(*outcome.response)) {
            return version;
        }
    }
    error = errorOf(outcome);
    return std::nullopt;
}

HttpObjectStore::HttpObjectStore(EventLoop &loop, const Endpoint &platform, Milliseconds deadline)
    : m_loop(loop)
    , m_client(loop)
    , m_platform(platform)
    , m_deadline(deadline)
{
}

HttpOutcome HttpObjectStore::call(HttpMethod method, const ObjectName &name, const std::map<std::string, std::string> &headers,
                                  const std::string &body)
{
    std::optional<HttpOutcome> result;
    m_client.send(m_platform, method, objectPath(name), headers, body, m_deadline,
                  [&result](const HttpOutcome &outcome) { result = outcome; });
    while (!result) {
        m_loop.runOnce();
    }
    return *result;
}

std::optional<StoredObject> HttpObjectStore::read(const ObjectName &name, StoreError &error)
{
    return readOutcome(call(HttpMethod::get, name, {}, ""), error);
}

std::optional<std::uint64_t> HttpObjectStore::write(const ObjectName &name, std::uint64_t expected, const std::string &value,
                                                    StoreError &error)
{
    return writeOutcome(call(HttpMethod::put, name, {{ifVersionHeader, std::to_string(expected)}}, value), error);
}

void HttpObjectStore::pause(Milliseconds time)
{
    bool isOver = false;
    const auto timer = m_loop.after(time, [&isOver] { isOver = true; });
    while (!isOver) {
        m_loop.runOnce();
    }
}

} // namespace sapphirespan
