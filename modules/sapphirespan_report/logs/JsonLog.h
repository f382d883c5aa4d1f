#pragma once

#include <json/value.h>
#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace sapphirespan {

/** Writes log lines as JSON objects with the members time, level, instance, event and those of the event.

    Thread safety: as spdlog's single-threaded sinks: none.
*/
class JsonLog
{
public:
    /** Writes to standard output. @param instance member of every line @param level name of an spdlog level */
    JsonLog(std::string instance, const std::string &level);

    /** Changes the lowest level that is written. */
    void setLevel(const std::string &level);

    /** @returns the name of the lowest level that is written. */
    std::string level() const;

    void info(const std::string &event, Json::Value members = Json::objectValue);
    void warning(const std::string &event, Json::Value members = Json::objectValue);
    void error(const std::string &event, Json::Value members = Json::objectValue);

private:
    void write(spdlog::level::level_enum level, const std::string &event, Json::Value members);

    std::string m_instance;
    std::unique_ptr<spdlog::logger> m_logger;
};

/** @returns JSON text on one line. */
std::string compactJson(const Json::Value &value);

} // namespace sapphirespan
