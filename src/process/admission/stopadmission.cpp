#include "zinniadock/process/admission/stopadmission.h"

namespace zinniadock
{

void StopAdmission::begin(TimePoint end)
{
    m_end = end;
}

bool StopAdmission::isStopping() const
{
    return m_end.load() != TimePoint::max();
}

bool StopAdmission::mayTake(TimePoint latestEnd) const
{
    return latestEnd <= m_end.load();
}

} // namespace zinniadock
