#!/bin/bash
# Builds what the scripts start beside the system itself. The stand-ins are plain Python that needs
# the standard library only, so there is nothing to build but a check that they compile. None of the
# project's own stand-ins is started.
cd "$(dirname "$0")" && python3 -m py_compile lib/standins.py ./*/case.py && rm -rf lib/__pycache__ ./*/__pycache__
