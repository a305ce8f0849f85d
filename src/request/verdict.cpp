#include "zinniadock/request/verdict.h"

namespace zinniadock
{

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

Verdict parseVerdict(std::string_view name)
{
    if (name == "not_run") {
        return Verdict::NotRun;
    }
    if (name == "ran") {
        return Verdict::Ran;
    }
    return Verdict::MayHaveRun;
}

} // namespace zinniadock
