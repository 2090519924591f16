/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "membership/icredits.h"
#include "membership/ihostroster.h"
#include "membership/ihosttable.h"
#include "membership/internal/creditissuer.h"
#include "membership/internal/creditstore.h"
#include "membership/internal/hosttable.h"
#include "membership/internal/targetdirectory.h"
#include "membership/itargetdirectory.h"

namespace saltvane::membership {

std::unique_ptr<IHostTable> makeHostTable(const HostTableOptions& options)
{
    return std::make_unique<HostTable>(options);
}

std::unique_ptr<ITargetDirectory> makeTargetDirectory(const TargetDirectoryOptions& options)
{
    return std::make_unique<TargetDirectory>(options);
}

std::unique_ptr<ICreditIssuer> makeCreditIssuer(const CreditOptions& options)
{
    return std::make_unique<CreditIssuer>(options);
}

std::unique_ptr<ICreditStore> makeCreditStore(const CreditOptions& options)
{
    return std::make_unique<CreditStore>(options);
}

} // namespace saltvane::membership
