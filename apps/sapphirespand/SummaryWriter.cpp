#include "SummaryWriter.h"

#include "sapphirespan_platform/sapphirespan_platform.h"

#include <charconv>

namespace sapphirespan {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds period = 500ms;
constexpr Milliseconds deadline = 2s;
constexpr int refreshEvery = 20; ///< periods after which an unchanged summary is written again
constexpr std::uint64_t summarySubject = 0x73756d6d617279;

/** The part of a summary whose change is worth a write at once. */
Json::Value stateOf(const InstanceStatus &status, const std::string &dataCentre)
{
    Json::Value state;
    state["writer"] = status.name;
    auto &instances = state["instances"];
    instances[status.name]["generation"] = Json::UInt64(status.generation);
    instances[status.name]["phase"] = status.phase;
    instances[status.name]["heard"] = true;
    for (const auto &member : status.members) {
        if (member.dataCentre == dataCentre) {
            instances[member.name]["generation"] = Json::UInt64(member.generation);
            instances[member.name]["phase"] = member.phase;
            instances[member.name]["heard"] = member.isReachable;
            instances[member.name]["control"] = member.control;
        }
    }
    return state;
}

} // namespace

SummaryWriter::SummaryWriter(EventLoop &loop, const Endpoint &platform, const EntryInstance &instance, std::string dataCentre)
    : m_loop(loop)
    , m_client(loop)
    , m_platform(platform)
    , m_instance(instance)
    , m_dataCentre(std::move(dataCentre))
{
    m_timer = m_loop.every(period, [this] { writeIfDue(); });
}

void SummaryWriter::writeIfDue()
{
    if (m_isWriting || !m_instance.isReady() || !m_instance.isAmongFirst(1, summarySubject)) {
        return;
    }
    auto state = stateOf(m_instance.status(), m_dataCentre);
    const auto text = compactJson(state);
    if (text == m_lastState && ++m_skipped < refreshEvery) {
        return;
    }
    m_lastState = text;
    m_skipped = 0;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    state["written_at_ms"] = Json::Int64(std::chrono::duration_cast<Milliseconds>(now).count());
    write(compactJson(state));
}

void SummaryWriter::write(const std::string &value)
{
    m_isWriting = true;
    const ObjectName name {ObjectKind::status, m_dataCentre};
    m_client.send(m_platform, HttpMethod::put, objectPath(name), {{ifVersionHeader, std::to_string(m_version)}}, value, deadline,
                  [this, name](const HttpOutcome &outcome) {
                      m_isWriting = false;
                      StoreError error {};
                      if (const auto version = writeOutcome(outcome, error)) {
                          m_version = *version;
                          return;
                      }
                      m_lastState.clear();
                      m_client.send(m_platform, HttpMethod::get, objectPath(name), {}, "", deadline, [this](const HttpOutcome &read) {
                          StoreError ignored {};
                          if (const auto object = readOutcome(read, ignored)) {
                              m_version = object->version;
                          }
                      });
                  });
}

} // namespace sapphirespan
