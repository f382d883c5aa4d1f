"""What the environment chooses of a run of a case.

REVIEW_PROGRAM  program of the instances, in place of the first word of `run` in deploy/system.toml
REVIEW_SHORT    1: a short run that shows whether the case can run, as CI does; its verdict does not replace that of a full run
TROUBLE         0: without the disruption
"""

import os

IS_SHORT = os.environ.get("REVIEW_SHORT") == "1"


def shortened(full, short):
    """@returns the duration or number for this run"""
    return short if IS_SHORT else full


def command_of(role):
    """@returns the words that start an instance of a role of the deploy file"""
    program, *arguments = role["run"].split()
    return [os.environ.get("REVIEW_PROGRAM", program), *arguments]
