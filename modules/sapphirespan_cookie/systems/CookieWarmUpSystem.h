#pragma once

#include "sapphirespan_cookie/placement/UpstreamChoice.h"
#include "sapphirespan_cookie/state/CookieState.h"

namespace sapphirespan {

/** Time for which an upstream that answers again counts as cold if the configuration states a budget but no time. A restarted
    process has an entry of its own in the store by then, as for UpstreamRow::heldBackUntil, which says how long it is cold. */
inline constexpr Milliseconds defaultWarmUpTime {10000};

/** @returns the budget of a cold upstream of the service, in openings a second, if the settings ask for it and the configuration
    states one. */
std::optional<double> coldUpstreamBudget(const CookieState &state, const std::string &service);

/** @returns whether an upstream is cold and its budget is limited. */
bool isLimitedCold(const CookieState &state, const UpstreamRow &row);

/** Adds to a choice that a cold upstream needs a slot of this instance. The upstream that left the opening unanswered needs none if that
    opening used up one: the flow may be open there, and another copy opens no second one. */
void addColdUpstreamCondition(CookieState &state, ChoiceContext &context);

/** Uses up a slot if a cold upstream was chosen, and counts what the budgets did. @param chosen null if there was none
    @pre addColdUpstreamCondition() was called for the same choice */
void noteColdUpstreamChoice(CookieState &state, const ChoiceContext &context, const UpstreamRow *chosen);

/** @returns why the latest choice found no upstream. */
std::string_view reasonWithoutUpstream(const CookieState &state);

/** Takes an upstream that was unreachable and answers again as cold, since it may have restarted; a later entry of the store replaces
    this. */
void noteAnswersAgain(CookieState &state, UpstreamRow &row);

/** @returns whether progress of a flow shows that its upstream did not restart while it was unreachable: the flow was placed before
    and is still there. */
bool showsSameProcess(const FlowRow &flow, const FlowUpdate &update, SteadyTime unreachableSince);

/** Updates the list of known instances and whether this one uses slots; announces once a second for each service that openings were
    kept from its cold upstreams. Called twice a second. */
void updateWarmUp(CookieState &state);

/** @returns the number of cold upstreams by service, of the services with a budget. */
std::map<std::string, std::size_t> countColdUpstreams(const CookieState &state);

} // namespace sapphirespan
