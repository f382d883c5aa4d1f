#include "sapphirespan_report/logs/JsonLog.h"

#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>

namespace sapphirespan {

std::string compactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

JsonLog::JsonLog(std::string instance, const std::string &level)
    : m_instance(std::move(instance))
    , m_logger(std::make_unique<spdlog::logger>("json", std::make_shared<spdlog::sinks::stdout_sink_st>()))
{
    m_logger->set_pattern("%v");
    m_logger->flush_on(spdlog::level::trace);
    setLevel(level);
}

void JsonLog::setLevel(const std::string &level)
{
    m_logger->set_level(spdlog::level::from_str(level));
}

std::string JsonLog::level() const
{
    const auto name = spdlog::level::to_string_view(m_logger->level());
    return {name.data(), name.size()};
}

void JsonLog::info(const std::string &event, Json::Value members)
{
    write(spdlog::level::info, event, std::move(members));
}

void JsonLog::warning(const std::string &event, Json::Value members)
{
    write(spdlog::level::warn, event, std::move(members));
}

void JsonLog::error(const std::string &event, Json::Value members)
{
    write(spdlog::level::err, event, std::move(members));
}

void JsonLog::write(spdlog::level::level_enum level, const std::string &event, Json::Value members)
{
    if (!m_logger->should_log(level)) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto name = spdlog::level::to_string_view(level);
    members["time_ms"] = Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    members["level"] = std::string(name.data(), name.size());
    members["instance"] = m_instance;
    members["event"] = event;
    m_logger->log(level, compactJson(members));
}

} // namespace sapphirespan
