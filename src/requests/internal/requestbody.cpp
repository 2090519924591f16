/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/requestbody.h"

namespace saltvane::requests {

RequestBody::RequestBody(std::optional<uint64_t> declaredLength)
    : declaredLength_(declaredLength)
    , isComplete_(declaredLength == 0)
{
}

bool RequestBody::append(std::string_view bytes, bool isLast)
{
    if (isComplete_)
        return bytes.empty();
    if (buffered().size() + bytes.size() > InitialBodyWindow)
        return false;
    bytes_.append(bytes);
    if (declaredLength_ && received() > *declaredLength_)
        return false;
    if (!isLast)
        return true;
    isComplete_ = true;
    return !declaredLength_ || received() == *declaredLength_;
}

std::string RequestBody::bytesAt(uint64_t offset, uint64_t count) const
{
    return std::string(buffered().substr(offset - startOffset_, count));
}

uint64_t RequestBody::release(uint64_t offset)
{
    if (offset <= startOffset_ || !mustReleaseEarly())
        return 0;
    const uint64_t count = offset - startOffset_;
    startOffset_ = offset;
    releasedBytes_ += count;
    if (releasedBytes_ >= InitialBodyWindow / 2) {
        bytes_.erase(0, releasedBytes_);
        releasedBytes_ = 0;
    }
    return count;
}

bool RequestBody::mustReleaseEarly() const
{
    if (isComplete_)
        return false;
    if (declaredLength_)
        return *declaredLength_ > InitialBodyWindow;
    return buffered().size() >= InitialBodyWindow / 2;
}

} // namespace saltvane::requests
