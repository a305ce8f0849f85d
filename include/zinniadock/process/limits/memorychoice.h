#pragma once

#include <cstddef>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/process/settings.h"

namespace zinniadock
{

/// Returns the budget for what clients send. It has room for one body of the maximum size and for small requests.
BudgetLimits chooseCallerBudget(const Settings &settings);

/// Maximum numbers of connections of the listeners of a process.
struct ConnectionLimits
{
    std::size_t callers = 0; ///< also for entries at the listener of a sidecar
    std::size_t peers = 0;
    std::size_t pages = 0; ///< for readiness and for metrics, each
};

/// \param descriptorLimit  of the process, as the system states it
ConnectionLimits chooseConnectionLimits(const Settings &settings, std::size_t descriptorLimit);

/// Returns the maximum number of open descriptors of this process.
std::size_t descriptorLimit();

/// Makes the budget of a process of the forwarding interface, which logs its refusals.
std::shared_ptr<CallerBudget> makeCallerBudget(const Settings &settings);

/// Appends what the budget holds and its refusals to \p out in the Prometheus text format.
void appendBudgetMetrics(const CallerBudget &budget, std::string &out);

} // namespace zinniadock
