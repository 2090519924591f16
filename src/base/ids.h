/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace saltvane {

/// Strongly typed name, as operators write it. Names with different tags do not convert into each other.
template <typename Tag> class Name {
public:
    Name() = default;
    explicit Name(std::string value)
        : value_(std::move(value))
    {
    }
    explicit Name(std::string_view value)
        : value_(value)
    {
    }
    explicit Name(const char* value)
        : value_(value)
    {
    }

    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool isEmpty() const { return value_.empty(); }
    auto operator<=>(const Name&) const = default;

private:
    std::string value_;
};

using HostId = Name<struct HostIdTag>;
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;
using ServiceName = Name<struct ServiceNameTag>;
using TargetId = Name<struct TargetIdTag>;
using OperatorName = Name<struct OperatorNameTag>;
/// Identifies one request on every host that it passes; returned to the caller.
using RequestId = Name<struct RequestIdTag>;

/// Strongly typed unsigned number. Numbers with different tags do not convert into each other.
template <typename Tag> struct Number {
    uint64_t value = 0;
    auto operator<=>(const Number&) const = default;
};

/// Increases with each start of a process; messages of an older incarnation are discarded.
using Incarnation = Number<struct IncarnationTag>;
/// Identifies the frames of one forwarded request in one direction of a link.
using CorrelationId = Number<struct CorrelationIdTag>;
using LogTerm = Number<struct LogTermTag>;
using LogIndex = Number<struct LogIndexTag>;
/// The version that operators assign to a bundle. Bundles are ordered by LogPosition, not by their version.
using BundleVersion = Number<struct BundleVersionTag>;

/// Position of a committed change in the replicated log; it never decreases on a host.
struct LogPosition {
    LogTerm term;
    LogIndex index;
    auto operator<=>(const LogPosition&) const = default;
};

/// Row index into a table of the compiled deployment (model::Deployment); valid for one bundle only.
template <typename Tag> struct TableIndex {
    uint32_t value = 0;
    auto operator<=>(const TableIndex&) const = default;
};

using ZoneIndex = TableIndex<struct ZoneIndexTag>;
using RegionIndex = TableIndex<struct RegionIndexTag>;
using ServiceIndex = TableIndex<struct ServiceIndexTag>;

} // namespace saltvane

template <typename Tag> struct std::hash<saltvane::Name<Tag>> {
    size_t operator()(const saltvane::Name<Tag>& name) const { return std::hash<std::string> {}(name.value()); }
};

template <typename Tag> struct std::hash<saltvane::Number<Tag>> {
    size_t operator()(const saltvane::Number<Tag>& number) const { return std::hash<uint64_t> {}(number.value); }
};
