/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gateway/internal/planinstaller.h"

#include <utility>

namespace saltvane::gateway {

namespace {

/// Routes and client accounts parsed in one step: about 8 ms of a core, as long as the other steps of such a plan.
constexpr size_t ItemsPerStep = 2000;
/// Plans up to this size are parsed in one step: about 1 ms of a core.
constexpr size_t SmallPlanBytes = 64 * 1024;

} // namespace

void PlanInstaller::start(InForce plan)
{
    plan_ = std::move(plan);
    stage_ = isSmall() ? Stage::Read : Stage::Unread;
}

bool PlanInstaller::isSmall() const { return plan_ && plan_->content->size() <= SmallPlanBytes; }

void PlanInstaller::step()
{
    if (!plan_)
        return;
    switch (stage_) {
    case Stage::Unread:
        reader_.startReadAhead(*plan_->content);
        stage_ = Stage::Reading;
        break;
    case Stage::Reading:
        if (reader_.readAhead(ItemsPerStep))
            stage_ = Stage::Read;
        break;
    case Stage::Read:
        parsed_ = reader_.read(*plan_->content, "plan");
        stage_ = Stage::Parsed;
        break;
    case Stage::Parsed:
        break;
    }
}

std::optional<PlanInstaller::Parsed> PlanInstaller::popParsed()
{
    if (stage_ != Stage::Parsed || !parsed_)
        return std::nullopt;
    Parsed parsed {.source = *std::exchange(plan_, std::nullopt), .plan = *std::exchange(parsed_, std::nullopt)};
    stage_ = Stage::Unread;
    return parsed;
}

} // namespace saltvane::gateway
