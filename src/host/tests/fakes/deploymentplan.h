/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "host/tests/fakes/faketarget.h"
#include "model/deployment.h"
#include "settings/hostsettings.h"

#include <memory>
#include <string>
#include <vector>

namespace saltvane::host::fakes {

/// An operator and its secret signing key.
struct OperatorKey {
    OperatorName name;
    std::string secretKey; ///< Ed25519, 64 bytes.

    /// Base64 of the signature of `text`.
    [[nodiscard]] std::string sign(const std::string& text) const;
};

/// A deployment as declared in its folder.
struct DeploymentPlan {
    std::string name;
    std::vector<settings::HostSettings> hosts; ///< By id.
    std::vector<std::string> bundles; ///< YAML, first version first.
    std::vector<FakeTargetOptions> targets;
    std::vector<OperatorKey> operators;
    std::shared_ptr<const model::Deployment> first; ///< Compiled from the first bundle; provides the delays.
};

/// Reads deployments/<name> of the source tree; throws std::runtime_error with the findings where it is invalid.
[[nodiscard]] DeploymentPlan loadDeploymentPlan(const std::string& folder);

/// The text of a bundle with the first `from` replaced; throws std::runtime_error where it does not contain `from`.
[[nodiscard]] std::string edited(std::string content, const std::string& from, const std::string& to);

} // namespace saltvane::host::fakes
