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
                                 << " request=" << logWord(record.request.value())
                                 << " service=" << logWord(record.service.value())
                                 << " method=" << logWord(record.method)
                                 << " client_region=" << logWord(record.clientRegion.value())
                                 << " zone=" << logWord(record.zone.value())
                                 << " owner=" << logWord(record.owner.value())
                                 << " target=" << logWord(record.target.value()) << " tries=" << record.tries
                                 << " outcome=" << model::toString(record.outcome)
                                 << " reason=" << model::toString(record.reason) << " status=" << record.status
                                 << " total_us="
                                 << std::chrono::duration_cast<std::chrono::microseconds>(record.total).count();
}

} // namespace saltvane::saltvaned
