#!/usr/bin/env bash
# The stand-ins of the review cases are Python scripts without dependencies: nothing is built.
