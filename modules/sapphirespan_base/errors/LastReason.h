#pragma once

#include <string>
#include <utility>

namespace sapphirespan {

/** Why the latest failing call returned an empty std::optional.

    A function that can fail returns a std::optional and takes a LastReason by reference. When it returns an empty
    optional, the reason says what was expected and what was found.

    Thread safety: none; one object belongs to one caller.
*/
class LastReason
{
public:
    /** Records why a call failed. @param text one sentence without a closing newline. */
    void set(std::string text)
    {
        m_text = std::move(text);
    }

    /** @returns the text of the latest failure, or an empty string. */
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

} // namespace sapphirespan
