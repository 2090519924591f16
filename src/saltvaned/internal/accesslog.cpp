/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/accesslog.h"

#include "base/log.h"
#include "base/logtext.h"

namespace saltvane::saltvaned {

void logAccess(const requests::AccessRecord& record)
{
    LOG_TAGGED(INFO, "requests") << "event=" << (record.isOwnerSide ? "dispatched" : "request")
                                 << " request=" << logValue(record.request.value())
                                 << " service=" << logValue(record.service.value())
                                 << " method=" << logValue(record.method)
                                 << " client_region=" << logValue(record.clientRegion.value())
                                 << " zone=" << logValue(record.zone.value())
                                 << " owner=" << logValue(record.owner.value())
                                 << " target=" << logValue(record.target.value()) << " tries=" << record.tries
                                 << " outcome=" << model::toString(record.outcome)
                                 << " reason=" << model::toString(record.reason) << " status=" << record.status
                                 << " total_us="
                                 << std::chrono::duration_cast<std::chrono::microseconds>(record.total).count();
}

} // namespace saltvane::saltvaned
