/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/responsestream.h"

#include <utility>

namespace saltvane::requests {

uint64_t StoredResponse::size() const
{
    uint64_t size = body.size();
    for (const model::Header& header : head.headers)
        size += header.name.size() + header.value.size();
    return size;
}

bool ResponseStream::start(ResponseHead head, bool isBodyless)
{
    if (isStarted_)
        return false;
    isStarted_ = true;
    isBodyless_ = isBodyless;
    head_ = std::move(head);
    return true;
}

bool ResponseStream::append(uint64_t offset, std::string_view bytes, bool isLast)
{
    if (!isStarted_ || isLastSeen_ || offset != received_)
        return false;
    if (isBodyless_ && !bytes.empty())
        return false;
    received_ += bytes.size();
    if (head_.bodyLength && received_ > *head_.bodyLength)
        return false;
    isLastSeen_ = isLast;
    if (isRetained_ && (isBuffered() || received_ <= retainLimit_)) {
        retained_.append(bytes);
        return true;
    }
    isRetained_ = false;
    retained_ = {};
    return true;
}

bool ResponseStream::isComplete() const
{
    if (!isStarted_)
        return false;
    if (isBodyless_)
        return received_ == 0;
    if (head_.bodyLength)
        return received_ == *head_.bodyLength;
    return isLastSeen_;
}

bool ResponseStream::isBuffered() const
{
    return isStarted_ && (isBodyless_ || (head_.bodyLength && *head_.bodyLength <= MaxBufferedResponseBytes));
}

StoredResponse ResponseStream::extractStored() { return {.head = head_, .body = std::exchange(retained_, {})}; }

} // namespace saltvane::requests
