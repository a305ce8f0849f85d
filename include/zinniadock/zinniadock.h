#pragma once

#include "zinniadock/process/entry.h"
#include "zinniadock/process/settings.h"
#include "zinniadock/process/sidecar.h"
#include "zinniadock/request/error.h"
#include "zinniadock/request/verdict.h"
#include "zinniadock/version/version.h"
