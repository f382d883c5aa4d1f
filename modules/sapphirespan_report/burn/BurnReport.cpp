#include "sapphirespan_report/burn/BurnReport.h"

#include <algorithm>
#include <cassert>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace sapphirespan {

namespace {

constexpr int chartWidth = 320;
constexpr int barHeight = 18;
constexpr double fullScaleBurn = 4; ///< burn rate at which a bar is as long as the chart

/** Events between two counter values; a fall means that the counter started again from 0. */
std::uint64_t increase(std::uint64_t before, std::uint64_t after)
{
    return after >= before ? after - before : after;
}

BurnWindow windowOf(const std::map<std::string, std::vector<BurnSample>> &byInstance, double objective, Milliseconds length, WallTime end)
{
    BurnWindow window;
    window.length = length;
    for (const auto &[instance, samples] : byInstance) {
        for (std::size_t index = 1; index < samples.size(); ++index) {
            const auto &before = samples[index - 1];
            const auto &after = samples[index];
            if (before.time < end - length) {
                continue;
            }
            window.good += increase(before.good, after.good);
            window.bad += increase(before.bad, after.bad);
            window.covered = std::max(window.covered, std::chrono::duration_cast<Milliseconds>(end - before.time));
        }
    }
    const auto events = static_cast<double>(window.good + window.bad);
    window.burnRate = events > 0 ? static_cast<double>(window.bad) / events / (1 - objective) : 0;
    return window;
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        result += c == '<' ? "&lt;" : c == '&' ? "&amp;" : c == '"' ? "&quot;" : std::string(1, c);
    }
    return result;
}

void appendBar(std::ostringstream &page, const char *name, const BurnWindow &window, int top)
{
    const double width = std::min(1.0, window.burnRate / fullScaleBurn) * chartWidth;
    page << "<text x='0' y='" << top + 13 << "'>" << name << "</text><rect x='60' y='" << top << "' width='" << chartWidth << "' height='"
         << barHeight << "' fill='#eee'/><rect x='60' y='" << top << "' width='" << width << "' height='" << barHeight << "' fill='"
         << (window.burnRate > 1 ? "#c33" : "#393") << "'/><text x='" << chartWidth + 70 << "' y='" << top + 13 << "'>" << window.burnRate
         << "</text>";
}

void appendService(std::ostringstream &page, const ServiceBurn &burn)
{
    page << "<h2>" << escaped(burn.service) << "</h2><p>objective " << burn.objective << ", budget left " << burn.budgetLeft * 100
         << "%. Long window: " << burn.longWindow.good << " good and " << burn.longWindow.bad << " bad new flows over "
         << burn.longWindow.covered.count() / 1000 << " s of " << burn.longWindow.length.count() / 1000
         << " s; short window: " << burn.shortWindow.good << " good, " << burn.shortWindow.bad << " bad over "
         << burn.shortWindow.covered.count() / 1000 << " s. Seen:";
    for (const auto &instance : burn.instancesSeen) {
        page << ' ' << escaped(instance);
    }
    page << "</p><svg width='480' height='60' font-family='sans-serif' font-size='12'>";
    appendBar(page, "short", burn.shortWindow, 2);
    appendBar(page, "long", burn.longWindow, 28);
    page << "</svg>";
}

} // namespace

ServiceBurn computeBurn(const std::string &service, double objective, Milliseconds shortWindow, Milliseconds longWindow,
                        std::vector<BurnSample> samples)
{
    assert(objective > 0 && objective < 1);
    ServiceBurn burn;
    burn.service = service;
    burn.objective = objective;
    std::sort(samples.begin(), samples.end(), [](const BurnSample &a, const BurnSample &b) { return a.time < b.time; });
    std::map<std::string, std::vector<BurnSample>> byInstance;
    for (const auto &sample : samples) {
        if (sample.service == service) {
            byInstance[sample.instance].push_back(sample);
        }
    }
    for (const auto &[instance, list] : byInstance) {
        burn.instancesSeen.push_back(instance);
    }
    const auto end = samples.empty() ? WallTime() : samples.back().time;
    burn.shortWindow = windowOf(byInstance, objective, shortWindow, end);
    burn.longWindow = windowOf(byInstance, objective, longWindow, end);
    burn.budgetLeft = 1 - burn.longWindow.burnRate;
    return burn;
}

std::string burnPage(const std::vector<ServiceBurn> &burns, const std::vector<std::string> &notes)
{
    std::ostringstream page;
    page << std::setprecision(4) << "<!doctype html><html><head><meta charset='utf-8'><title>Service-level burn</title></head><body>"
         << "<h1>Service-level burn</h1>";
    for (const auto &burn : burns) {
        appendService(page, burn);
    }
    page << "<h2>What was and was not seen</h2><ul>";
    for (const auto &note : notes) {
        page << "<li>" << escaped(note) << "</li>";
    }
    page << "</ul></body></html>\n";
    return page.str();
}

} // namespace sapphirespan
