/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <glog/logging.h>

/// Structured logging: LOG_TAGGED(INFO, "net") << "event=link_up peer=" << peer;
/// Severities are glog's: INFO, WARNING, ERROR. The text is key=value pairs.
#define LOG_TAGGED(severity, tag) LOG(severity) << "module=" tag " "
