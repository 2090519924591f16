/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/controltypes.h"

#include <string>

namespace saltvane::host::fakes {

/// The data folder of one control host: acknowledged writes survive a restart.
class FakeDisk {
public:
    explicit FakeDisk(std::string name);
    /// False when the disk is full.
    [[nodiscard]] bool write(const control::StorageWrite& write);
    [[nodiscard]] control::RecoveredState recover() const;
    /// Replaces the disk by an empty one.
    void replace();
    void setFull(bool isFull) { isFull_ = isFull; }
    [[nodiscard]] uint64_t writes() const { return writes_; }

private:
    std::string name_;
    uint64_t disks_ = 1;
    uint64_t writes_ = 0;
    bool isFull_ = false;
    control::RecoveredState state_;
};

} // namespace saltvane::host::fakes
