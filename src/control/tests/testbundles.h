/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "control/icontrolreplica.h"

#include <string>
#include <vector>

namespace saltvane::control::test {

/// An operator whose key pair is derived from the name.
class TestOperator {
public:
    explicit TestOperator(std::string_view name);

    [[nodiscard]] ProposeBundle propose(uint64_t version, std::string_view note = "") const;
    [[nodiscard]] ProposeBundle proposeContent(uint64_t version, std::string_view content) const;
    [[nodiscard]] ApproveBundle approve(uint64_t version, std::string_view note = "") const;
    [[nodiscard]] ApproveBundle approveContent(uint64_t version, std::string_view content) const;
    [[nodiscard]] RevertBundle revert(uint64_t to, uint64_t version) const;
    [[nodiscard]] model::Operator info() const;

private:
    [[nodiscard]] std::string sign(std::string_view text) const;

    OperatorName name_;
    std::string publicKey_;
    std::string secretKey_;
};

/// Bundle content in a test format: "version N|operators a,b|note".
[[nodiscard]] std::string bundleText(
    uint64_t version, std::string_view note = "", std::string_view operators = "ana,ben");
/// Parses the format of bundleText; anything else gives a finding.
[[nodiscard]] Result<model::Bundle, Findings> parseTestBundle(std::string_view content);

} // namespace saltvane::control::test
