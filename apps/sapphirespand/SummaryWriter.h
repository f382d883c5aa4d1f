#pragma once

#include "sapphirespan_entry/sapphirespan_entry.h"
#include "sapphirespan_net/sapphirespan_net.h"

namespace sapphirespan {

/** Writes what the instances of a data centre have in force to the platform, for `sapphirespan status`.

    The highest-ranked instance of a data centre writes. Each write is conditional on the version last seen, so that
    two writers for a moment, or one that was paused, do not overwrite a newer summary. Thread safety: none.
*/
class SummaryWriter
{
public:
    SummaryWriter(EventLoop &loop, const Endpoint &platform, const EntryInstance &instance, std::string dataCentre);

private:
    void writeIfDue();
    void write(const std::string &value);

    EventLoop &m_loop;
    HttpClient m_client;
    Endpoint m_platform;
    const EntryInstance &m_instance;
    std::string m_dataCentre;
    std::uint64_t m_version = 0;
    std::string m_lastState;
    int m_skipped = 0;
    bool m_isWriting = false;
    EventHandle m_timer;
};

} // namespace sapphirespan
