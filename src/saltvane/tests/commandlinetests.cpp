/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/commandtable.h"
#include "saltvane/internal/exitcodes.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

namespace saltvane::cli::test {

namespace {

const std::string ValidHost = std::string(SALTVANE_SOURCE_DIR) + "/deployments/valoria/hosts/uio-carolina-1.yaml";
const std::string ValidBundle = std::string(SALTVANE_SOURCE_DIR) + "/deployments/valoria/bundles/0001.yaml";
/// No process listens on this reserved port.
const std::string UnusedAddress = "127.0.0.1:1";

class CommandLineTest : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_GE(sodium_init(), 0);
        ::unsetenv("SALTVANE_SERVERS");
        folder_ = std::filesystem::temp_directory_path() / ("saltvane-cli-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
    }
    void TearDown() override { std::filesystem::remove_all(folder_); }

    struct Outcome {
        int exitCode = 0;
        std::string out;
        std::string err;
    };
    static Outcome run(std::vector<std::string> args)
    {
        testing::internal::CaptureStdout();
        testing::internal::CaptureStderr();
        const int exitCode = runCommandLine(std::move(args), "1.2.3");
        std::string out = testing::internal::GetCapturedStdout();
        return {.exitCode = exitCode, .out = std::move(out), .err = testing::internal::GetCapturedStderr()};
    }
    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const
    {
        const std::string path = folder_ / name;
        std::ofstream(path) << text;
        return path;
    }
    static std::string textOf(const std::string& path)
    {
        std::ifstream file(path);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::filesystem::path folder_;
};

} // namespace

TEST_F(CommandLineTest, HelpListsCommandsAndExitCodes)
{
    const Outcome help = run({"--help"});
    EXPECT_EQ(help.exitCode, ExitOk);
    for (const char* text : {"host check", "bundle propose", "bundle status", "rollout start", "rollout status",
             "status", "key new", "exit codes"})
        EXPECT_NE(help.out.find(text), std::string::npos) << text;
    EXPECT_EQ(run({"--version"}).out, "saltvane 1.2.3\n");
}

TEST_F(CommandLineTest, MissingOrUnknownCommandIsAnError)
{
    const Outcome missing = run({});
    EXPECT_EQ(missing.exitCode, ExitUsage);
    EXPECT_TRUE(missing.out.empty());
    EXPECT_NE(missing.err.find("usage:"), std::string::npos);
    const Outcome unknown = run({"bundle", "destroy"});
    EXPECT_EQ(unknown.exitCode, ExitUsage);
    EXPECT_NE(unknown.err.find("bundle destroy"), std::string::npos);
}

TEST_F(CommandLineTest, InvalidOptionsAreErrorsThatNameTheCommand)
{
    for (const std::vector<std::string>& args : {std::vector<std::string> {"bundle", "list", "--nonsense"},
             {"bundle", "revert", "--to", "three"}, {"bundle", "status", "--timeout"}}) {
        const Outcome outcome = run(args);
        EXPECT_EQ(outcome.exitCode, ExitUsage) << args.back();
        EXPECT_NE(outcome.err.find("saltvane bundle"), std::string::npos) << outcome.err;
    }
}

TEST_F(CommandLineTest, CheckPrintsAResultForEachFile)
{
    const Outcome valid = run({"host", "check", ValidHost});
    EXPECT_EQ(valid.exitCode, ExitOk) << valid.err;
    EXPECT_EQ(valid.out, ValidHost + ": ok\n");
    EXPECT_EQ(run({"bundle", "check", ValidBundle}).exitCode, ExitOk);
    EXPECT_EQ(run({"host", "check"}).exitCode, ExitUsage);
}

TEST_F(CommandLineTest, FindingsHaveALocationInTextAndJson)
{
    const std::string unknownField = write("bad.yaml", textOf(ValidHost) + "\nno_such_setting: 1\n");
    const std::string incomplete = write("cut.yaml", "roles: [entry\n");
    const Outcome text = run({"host", "check", unknownField, incomplete, ValidHost});
    EXPECT_EQ(text.exitCode, ExitUsage);
    EXPECT_NE(text.err.find(unknownField + ":"), std::string::npos) << text.err;
    EXPECT_NE(text.err.find("no_such_setting"), std::string::npos) << text.err;
    EXPECT_NE(text.err.find(incomplete + ":"), std::string::npos) << text.err;
    EXPECT_EQ(text.out, ValidHost + ": ok\n");

    const Outcome json = run({"host", "check", "--json", unknownField});
    EXPECT_EQ(json.exitCode, ExitUsage);
    const nlohmann::json findings = nlohmann::json::parse(json.out)["findings"];
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_EQ(findings[0]["source"], unknownField);
    EXPECT_GT(findings[0]["line"].get<int>(), 1);
}

TEST_F(CommandLineTest, RolloutCommandsCheckTheirArguments)
{
    for (const std::vector<std::string>& args : {std::vector<std::string> {"rollout", "start", "quotes"},
             {"rollout", "start", "quotes", "v2"}, {"rollout", "start", "quotes", "v2", "--limit", "0"},
             {"rollout", "start", "quotes", "v2", "v3", "--limit", "60"},
             {"rollout", "start", "quotes", "v2", "--limit", "soon"}, {"rollout", "status"},
             {"rollout", "status", "quotes", "files"}}) {
        const Outcome outcome = run(args);
        EXPECT_EQ(outcome.exitCode, ExitUsage) << args.back();
        EXPECT_NE(outcome.err.find("rollout"), std::string::npos) << outcome.err;
    }
    EXPECT_EQ(run({"rollout", "status", "quotes", "--server", UnusedAddress}).exitCode, ExitNoControl);
}

TEST_F(CommandLineTest, UnreadableFileIsAFinding)
{
    const std::string missing = folder_ / "missing.yaml";
    const Outcome outcome = run({"bundle", "check", missing});
    EXPECT_EQ(outcome.exitCode, ExitUsage);
    EXPECT_NE(outcome.err.find(missing), std::string::npos);
}

TEST_F(CommandLineTest, MissingServerErrorNamesOptionAndVariable)
{
    const Outcome outcome = run({"status"});
    EXPECT_EQ(outcome.exitCode, ExitUsage);
    EXPECT_NE(outcome.err.find("--server"), std::string::npos);
    EXPECT_NE(outcome.err.find("SALTVANE_SERVERS"), std::string::npos);
}

TEST_F(CommandLineTest, UnreachableServersGiveTheNoControlExitCode)
{
    EXPECT_EQ(run({"bundle", "list", "--server", UnusedAddress}).exitCode, ExitNoControl);
    ::setenv("SALTVANE_SERVERS", UnusedAddress.c_str(), 1);
    const Outcome outcome = run({"bundle", "list"});
    EXPECT_EQ(outcome.exitCode, ExitNoControl);
    EXPECT_FALSE(outcome.err.empty());
    EXPECT_TRUE(outcome.out.empty());
}

TEST_F(CommandLineTest, NewKeyFileIsPrivateAndNeverOverwritten)
{
    const std::string path = folder_ / "operator.key";
    const Outcome created = run({"key", "new", path});
    EXPECT_EQ(created.exitCode, ExitOk) << created.err;
    EXPECT_EQ(created.out.rfind("public_key: ", 0), 0U);
    struct stat status { };
    ASSERT_EQ(::stat(path.c_str(), &status), 0);
    EXPECT_EQ(status.st_mode & 0777U, 0600U);
    const std::string key = textOf(path);
    EXPECT_EQ(run({"key", "new", path}).exitCode, ExitUsage);
    EXPECT_EQ(textOf(path), key);
    EXPECT_EQ(run({"key", "new"}).exitCode, ExitUsage);
}

TEST_F(CommandLineTest, SigningRequiresOperatorAndKey)
{
    const Outcome nameless = run({"bundle", "propose", ValidBundle, "--server", UnusedAddress});
    EXPECT_EQ(nameless.exitCode, ExitUsage);
    EXPECT_NE(nameless.err.find("--operator"), std::string::npos) << nameless.err;
    const Outcome keyless
        = run({"bundle", "approve", "1", "--operator", "ana", "--key", folder_ / "no.key", "--server", UnusedAddress});
    EXPECT_EQ(keyless.exitCode, ExitUsage);
    EXPECT_NE(keyless.err.find("no.key"), std::string::npos) << keyless.err;
}

} // namespace saltvane::cli::test
