#include "PlatformStandIn.h"

#include "sapphirespan_report/sapphirespan_report.h"

#include <charconv>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr int mostReadsPerSecond = 2000;
constexpr int mostWritesPerSecond = 400;
constexpr std::size_t largestValueBytes = 1 << 20;
constexpr Milliseconds watchGranularity = 50ms;
const std::string objectsPrefix = "/v1/objects/";

std::uint64_t numberOf(const std::map<std::string, std::string> &fields, const std::string &name)
{
    const auto field = fields.find(name);
    std::uint64_t number = 0;
    if (field != fields.end()) {
        std::from_chars(field->second.data(), field->second.data() + field->second.size(), number);
    }
    return number;
}

HttpResponse objectResponse(const StoredObject &object)
{
    return {200, object.value, "application/json", {{objectVersionHeader, std::to_string(object.version)}}};
}

HttpResponse plain(int status)
{
    return {status, "{}", "application/json", {}};
}

} // namespace

PlatformStandIn::PlatformStandIn(EventLoop &loop)
    : m_loop(loop)
{
    m_timer = m_loop.every(watchGranularity, [this] { expireWatches(); });
}

const PlatformStandIn::Objects &PlatformStandIn::readable() const
{
    return m_faults.isStale ? m_stale : m_objects;
}

void PlatformStandIn::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.path.rfind("/admin/", 0) == 0) {
        serveAdmin(request, exchange);
        return;
    }
    if (m_faults.isDown) {
        exchange->abandon();
        return;
    }
    if (m_faults.delay.count() == 0) {
        serve(request, exchange);
        return;
    }
    m_delayed.push_back(m_loop.after(m_faults.delay, [this, request, exchange] { serve(request, exchange); }));
}

void PlatformStandIn::serve(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.path.rfind(objectsPrefix, 0) != 0) {
        exchange->answer(plain(404));
        return;
    }
    const auto key = request.path.substr(objectsPrefix.size());
    if (request.method == HttpMethod::get) {
        ++m_readCalls;
        if (!isWithinRate(m_reads, mostReadsPerSecond)) {
            exchange->answer(plain(429));
        } else if (key.find('/') == std::string::npos) {
            serveList(key, exchange);
        } else {
            serveRead(request, key, exchange);
        }
        return;
    }
    ++m_writeCalls;
    if (!isWithinRate(m_writes, mostWritesPerSecond)) {
        exchange->answer(plain(429));
        return;
    }
    serveWrite(request, key, exchange);
}

void PlatformStandIn::serveRead(const HttpRequest &request, const std::string &key, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto object = readable().find(key);
    const auto after = numberOf(request.query, "after");
    if (object != readable().end() && object->second.version > after) {
        exchange->answer(objectResponse(object->second));
        return;
    }
    const auto wait = numberOf(request.query, "wait");
    if (wait == 0) {
        exchange->answer(plain(404));
        return;
    }
    m_watches.push_back({key, after, m_clock.steadyNow() + Milliseconds(wait), exchange});
}

void PlatformStandIn::serveList(const std::string &kind, const std::shared_ptr<HttpExchange> &exchange)
{
    Json::Value names(Json::arrayValue);
    for (auto object = readable().lower_bound(kind + "/"); object != readable().end() && object->first.rfind(kind + "/", 0) == 0;
         ++object) {
        names.append(object->first.substr(kind.size() + 1));
    }
    exchange->answer({200, compactJson(names), "application/json", {}});
}

void PlatformStandIn::serveWrite(const HttpRequest &request, const std::string &key, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto object = m_objects.find(key);
    const auto current = object != m_objects.end() ? object->second.version : 0;
    if (request.body.size() > largestValueBytes) {
        exchange->answer(plain(413));
        return;
    }
    if (!request.headers.contains("if-version") || numberOf(request.headers, "if-version") != current) {
        exchange->answer(plain(409));
        return;
    }
    if (request.method == HttpMethod::remove) {
        m_objects.erase(key);
    } else {
        m_objects[key] = {current + 1, request.body};
        wakeWatches(key);
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        exchange->abandon();
        return;
    }
    exchange->answer({200, "{}", "application/json", {{objectVersionHeader, std::to_string(current + 1)}}});
}

void PlatformStandIn::wakeWatches(const std::string &key)
{
    m_watches.remove_if([&](const Watch &watch) {
        const auto object = readable().find(key);
        const bool isDue = watch.key == key && object != readable().end() && object->second.version > watch.after;
        if (isDue) {
            watch.exchange->answer(objectResponse(object->second));
        }
        return isDue;
    });
}

void PlatformStandIn::expireWatches()
{
    m_watches.remove_if([this](const Watch &watch) {
        if (m_faults.isDown) {
            watch.exchange->abandon();
            return true;
        }
        if (m_clock.steadyNow() < watch.until) {
            return false;
        }
        const bool exists = readable().contains(watch.key);
        watch.exchange->answer(plain(exists ? 304 : 404));
        return true;
    });
}

void PlatformStandIn::serveAdmin(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.path == "/admin/faults") {
        setFaults(request);
        exchange->answer(plain(200));
        return;
    }
    Json::Value value;
    value["reads"] = Json::UInt64(m_readCalls);
    value["writes"] = Json::UInt64(m_writeCalls);
    value["watches"] = Json::UInt64(m_watches.size());
    exchange->answer({200, compactJson(value), "application/json", {}});
}

void PlatformStandIn::setFaults(const HttpRequest &request)
{
    m_faults.isDown = numberOf(request.query, "down") != 0;
    m_faults.delay = Milliseconds(numberOf(request.query, "delay_ms"));
    m_faults.loseAnswers = static_cast<int>(numberOf(request.query, "lose_answers"));
    const bool wasStale = std::exchange(m_faults.isStale, numberOf(request.query, "stale") != 0);
    if (m_faults.isStale && !wasStale) {
        m_stale = m_objects;
    }
}

bool PlatformStandIn::isWithinRate(Rate &rate, int mostPerSecond)
{
    const auto now = m_clock.steadyNow();
    if (now - rate.second >= 1s) {
        rate = {now, 0};
    }
    return ++rate.calls <= mostPerSecond;
}

} // namespace sapphirespan
