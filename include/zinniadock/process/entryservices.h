#pragma once

#include <atomic>
#include <memory>

#include "zinniadock/connection/callerbudget.h"
#include "zinniadock/process/admission/stopadmission.h"
#include "zinniadock/process/limits/accountlimiter.h"
#include "zinniadock/process/links/linkpool.h"
#include "zinniadock/process/observing/metrics.h"
#include "zinniadock/process/observing/timeline.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/store/claims.h"
#include "zinniadock/process/store/etcdstore.h"
#include "zinniadock/version/version.h"

namespace zinniadock
{

/// References to the objects that all requests of an entry share. The objects outlive every request.
struct EntryServices
{
    const Settings &settings;
    VersionHolder &versions;
    LinkPool &links;
    AccountLimiter &limiter;
    RetryBudget &retries;
    IdempotencyClaims<EtcdStore> &claims;
    EntryMetrics &metrics;
    Timeline &timeline;
    std::atomic<bool> &draining;
    const StopAdmission &stop;
    const std::shared_ptr<CallerBudget> &callerBudget;
};

} // namespace zinniadock
