/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "membership/icredits.h"
#include "model/deployment.h"
#include "steering/isteering.h"

namespace saltvane::requests {

/// Lets steering query the stored credits by the table indices of services and zones.
class CreditView final : public steering::ICreditView {
public:
    CreditView(const model::Deployment& deployment, const membership::ICreditStore& creditStore, Timestamp now)
        : deployment_(deployment)
        , creditStore_(creditStore)
        , now_(now)
    {
    }

    [[nodiscard]] bool hasCredit(ServiceIndex service, ZoneIndex zone) const override
    {
        return creditStore_.hasCredit(deployment_.service(service).name, deployment_.zone(zone).name, now_);
    }

private:
    const model::Deployment& deployment_;
    const membership::ICreditStore& creditStore_;
    Timestamp now_;
};

} // namespace saltvane::requests
