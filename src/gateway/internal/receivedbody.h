/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/timetypes.h"
#include "requests/exchangetypes.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <optional>

namespace saltvane::gateway {

/// The body of one request, while it arrives and afterwards. BodyReceiver manages it until it is complete.
struct ReceivedBody {
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    requests::HttpHandle handle;
    std::optional<uint64_t> length; ///< No value: chunked.
    SharedBytes bytes;

    uint64_t received = 0; ///< Also of a body that was given up.
    uint64_t window = requests::InitialBodyWindow; ///< Bytes that the caller may send now.
    uint64_t allocated = 0; ///< Memory of `bytes`, counted while the body arrives.
    bool isArriving = false;
    bool isWaiting = false; ///< For memory.
    bool hasWaited = false; ///< Since the last rate check.
    Timestamp progressAt {}; ///< When bytes arrived last, or the window was opened after waiting.
    Timestamp rateCheckAt {};
    uint64_t sizeAtRateCheck = 0; ///< At the last check.
    Hook progressHook; ///< In the list of the bodies that arrive or of those that wait.
    Hook rateHook;
};

template <ReceivedBody::Hook ReceivedBody::*Member>
using ReceivedBodyList
    = boost::intrusive::list<ReceivedBody, boost::intrusive::member_hook<ReceivedBody, ReceivedBody::Hook, Member>,
        boost::intrusive::constant_time_size<false>>;

} // namespace saltvane::gateway
