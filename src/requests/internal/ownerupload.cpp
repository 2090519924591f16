/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/ownerupload.h"

#include <algorithm>

namespace saltvane::requests {

namespace {

/// Smaller grants are accumulated. The entry host isn't blocked by this, because it stops only when a full window is
/// unacknowledged, which is eight times as much.
constexpr uint64_t MinWindowGrant = InitialBodyWindow / 8;

} // namespace

OwnerUpload::OwnerUpload(std::optional<uint64_t> length)
    : length_(length)
    , isComplete_(length == 0)
{
}

OwnerUpload::AppendResult OwnerUpload::append(const model::ForwardBody& body)
{
    if (isComplete_ || body.offset != received_)
        return AppendResult::OffsetMismatch;
    if (body.bytes.size() > InitialBodyWindow + granted_ - received_)
        return AppendResult::WindowExceeded;
    const uint64_t received = received_ + body.bytes.size();
    if (length_ && (received > *length_ || (body.isLast && received != *length_)))
        return AppendResult::LengthMismatch;
    received_ = received;
    isComplete_ = body.isLast;
    if (received_ > InitialBodyWindow)
        discardRetained();
    if (isRetained_)
        retained_ += body.bytes;
    return AppendResult::Ok;
}

void OwnerUpload::discardRetained()
{
    isRetained_ = false;
    retained_ = std::string();
}

uint64_t OwnerUpload::acknowledge(uint64_t bytes)
{
    acknowledged_ += std::min(bytes, received_ - acknowledged_);
    if (isComplete_ || acknowledged_ < granted_ + MinWindowGrant)
        return 0;
    const uint64_t growth = acknowledged_ - granted_;
    granted_ = acknowledged_;
    return growth;
}

} // namespace saltvane::requests
